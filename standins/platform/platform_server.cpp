#include "platform_server.h"

#include "json_fields.h"
#include "table_wire.h"
#include "vm_wire.h"

namespace rattanrack::standin {

using namespace platform;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t maxConnections = 512;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusUnavailable = 503;
constexpr std::size_t historyPage = 10000;

json toJson(const CommitRecord& record)
{
    json object = json::parse(encodeTransaction(record.transaction).value_or("{}"));
    object["at"] = record.at;
    object["status"] = record.status == CommitStatus::Done ? "done" : "conflict";
    object["version"] = record.version;
    return object;
}

PlatformFaults withChanges(PlatformFaults faults, const json& changes)
{
    if (changes.value("reset", false))
        faults = {};
    faults.isDown = changes.value("down", faults.isDown);
    faults.delay = milliseconds { changes.value("delayMs", faults.delay.count() / 1000) };
    faults.loseAnswer = changes.value("loseAnswer", faults.loseAnswer);
    faults.applyLate = changes.value("applyLate", faults.applyLate);
    faults.lateBy = milliseconds { changes.value("lateMs", faults.lateBy.count() / 1000) };
    return faults;
}

} // namespace

PlatformServer::PlatformServer(std::vector<VmDescription> vms, std::uint64_t seed)
    : m_list(std::move(vms))
    , m_random(seed)
{
}

Result<std::unique_ptr<PlatformServer>> PlatformServer::create(
    const std::string& address, std::vector<VmDescription> vms, std::uint64_t seed)
{
    std::unique_ptr<PlatformServer> server { new PlatformServer { std::move(vms), seed } };
    BOOST_LEAF_AUTO(
        http, HttpServer::create(address, maxConnections, [&](auto& routes) { server->addRoutes(routes); }));
    server->m_server = std::move(http);
    return server;
}

PlatformServer::~PlatformServer()
{
    m_server.reset();
    for (auto& write : m_lateWrites)
        write.join();
}

void PlatformServer::setFaults(const PlatformFaults& faults)
{
    const std::lock_guard guard { m_mutex };
    m_faults = faults;
}

void PlatformServer::addRoutes(httplib::Server& routes)
{
    routes.Post("/table/commit", faulty(&PlatformServer::commit));
    routes.Post("/table/read", faulty(&PlatformServer::read));
    routes.Post("/table/scan", faulty(&PlatformServer::scan));
    routes.Put("/object", faulty(&PlatformServer::putObject));
    routes.Get("/object", faulty(&PlatformServer::readObject));
    routes.Get("/vms", faulty(&PlatformServer::listVms));
    routes.Post("/vms", plain(&PlatformServer::changeVm));
    routes.Post("/faults", plain(&PlatformServer::changeFaults));
    routes.Get("/history", plain(&PlatformServer::answerHistory));
    routes.Get("/counters", plain(&PlatformServer::answerCounters));
}

httplib::Server::Handler PlatformServer::plain(Handler handler)
{
    return [this, handler](const Request& request, Response& response) { (this->*handler)(request, response); };
}

httplib::Server::Handler PlatformServer::faulty(Handler handler)
{
    return [this, handler](const Request& request, Response& response) {
        const auto current = faults();
        std::this_thread::sleep_for(current.delay);
        if (current.isDown)
            return answerStatus(response, statusUnavailable, "down");
        (this->*handler)(request, response);
    };
}

void PlatformServer::commit(const Request& request, Response& response)
{
    auto transaction = decodeTransaction(request.body);
    if (!transaction)
        return answerStatus(response, statusBadRequest, "malformed");
    const auto current = faults();
    if (happens(current.applyLate)) {
        applyLater(std::move(*transaction), current.lateBy);
        return cutAnswer(response);
    }
    const auto outcome = m_table.commit(*transaction);
    if (happens(current.loseAnswer))
        return cutAnswer(response);
    if (outcome.status == CommitStatus::Conflict)
        return answerStatus(response, statusConflict, "conflict");
    answerJson(response, encodeVersion(outcome.version));
}

void PlatformServer::read(const Request& request, Response& response)
{
    const auto keys = decodeKeys(request.body);
    if (!keys)
        return answerStatus(response, statusBadRequest, "malformed");
    answerJson(response, encodeRows(m_table.read(*keys).value()).value_or(""));
}

void PlatformServer::scan(const Request& request, Response& response)
{
    const auto query = decodeScan(request.body);
    if (!query)
        return answerStatus(response, statusBadRequest, "malformed");
    const auto rows = m_table.scan(query->prefix, query->newerThan, query->limit).value();
    answerJson(response, encodeRows(rows).value_or(""));
}

void PlatformServer::putObject(const Request& request, Response& response)
{
    {
        const std::lock_guard guard { m_mutex };
        m_objects[request.get_param_value("name")] = request.body;
    }
    if (happens(faults().loseAnswer))
        return cutAnswer(response);
    answerJson(response, "{}");
}

void PlatformServer::readObject(const Request& request, Response& response)
{
    const std::lock_guard guard { m_mutex };
    const auto found = m_objects.find(request.get_param_value("name"));
    if (found == m_objects.end())
        return answerStatus(response, statusNotFound, "no such object");
    response.set_content(found->second, "application/octet-stream");
}

void PlatformServer::listVms(const Request&, Response& response)
{
    answerJson(response, encodeVms(m_list.visible(m_clock.now())).value_or(""));
}

void PlatformServer::changeVm(const Request& request, Response& response)
{
    const auto now = m_clock.now();
    if (const auto vms = decodeVms(request.body)) {
        for (const auto& vm : *vms)
            m_list.store(vm, now);
        return answerJson(response, "{}");
    }
    const auto isChanged = decodeJson(request.body, [&](const json& change) {
        if (change.contains("remove"))
            return m_list.remove(VmId { text(change, "remove") }, now);
        const auto state = text(change, "state") == "leaving" ? VmState::Leaving : VmState::Live;
        return m_list.setState(VmId { text(change, "id") }, state, now);
    });
    if (!isChanged.value_or(false))
        return answerStatus(response, statusNotFound, "no such vm, or malformed");
    answerJson(response, "{}");
}

void PlatformServer::changeFaults(const Request& request, Response& response)
{
    const auto changed = decodeJson(request.body, [&](const json& changes) {
        if (changes.contains("listLagMs"))
            m_list.setLag(milliseconds { count(changes, "listLagMs") });
        const std::lock_guard guard { m_mutex };
        m_faults = withChanges(m_faults, changes);
        return true;
    });
    if (!changed)
        return answerStatus(response, statusBadRequest, "malformed");
    answerJson(response, "{}");
}

void PlatformServer::answerHistory(const Request& request, Response& response)
{
    const auto first = std::strtoull(request.get_param_value("first").c_str(), nullptr, 10);
    json list = json::array();
    for (const auto& record : m_table.history(first, historyPage))
        list.push_back(toJson(record));
    answerJson(response, list.dump());
}

void PlatformServer::answerCounters(const Request&, Response& response)
{
    const auto counters = m_table.counters();
    answerJson(response,
        json { { "reads", counters.reads }, { "commits", counters.commits }, { "conflicts", counters.conflicts },
            { "rowsWritten", counters.rowsWritten } }
            .dump());
}

bool PlatformServer::happens(double probability)
{
    const std::lock_guard guard { m_mutex };
    return std::bernoulli_distribution { std::clamp(probability, 0.0, 1.0) }(m_random);
}

PlatformFaults PlatformServer::faults()
{
    const std::lock_guard guard { m_mutex };
    return m_faults;
}

void PlatformServer::applyLater(Transaction transaction, Duration lateBy)
{
    const std::lock_guard guard { m_mutex };
    m_lateWrites.emplace_back([this, transaction = std::move(transaction), lateBy] {
        std::this_thread::sleep_for(lateBy);
        (void)m_table.commit(transaction);
    });
}

} // namespace rattanrack::standin
