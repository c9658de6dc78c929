#include "fake_federation.h"

#include <utility>

namespace {

void answer(httplib::Response& response, int status, const nlohmann::json& body)
{
    response.status = status;
    response.set_content(body.dump(), "application/json");
}

/// Promises a body and closes the connection before the first byte of it.
void cutOff(httplib::Response& response)
{
    response.set_content_provider(
        100, "application/json", [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

} // namespace

FakeFederation::FakeFederation()
{
    m_server.set_tcp_nodelay(true);
    route();
    m_port = m_server.bind_to_any_port("127.0.0.1");
    m_thread = std::thread { [this] { m_server.listen_after_bind(); } };
    while (!m_server.is_running())
        std::this_thread::yield();
}

FakeFederation::~FakeFederation()
{
    m_server.stop();
    m_thread.join();
}

void FakeFederation::setFaults(std::vector<ProposalFault> faults)
{
    const std::lock_guard lock { m_mutex };
    m_faults = std::move(faults);
}

void FakeFederation::setDocument(std::uint64_t version, std::string document)
{
    const std::lock_guard lock { m_mutex };
    m_version = version;
    m_document = std::move(document);
}

void FakeFederation::setRival(std::string document)
{
    const std::lock_guard lock { m_mutex };
    m_rival = std::move(document);
}

void FakeFederation::pinReportedVersion(std::uint64_t version)
{
    const std::lock_guard lock { m_mutex };
    m_pinnedVersion = version;
}

std::uint64_t FakeFederation::version()
{
    const std::lock_guard lock { m_mutex };
    return m_version;
}

std::string FakeFederation::document()
{
    const std::lock_guard lock { m_mutex };
    return m_document;
}

std::vector<std::pair<std::string, nlohmann::json>> FakeFederation::changes()
{
    const std::lock_guard lock { m_mutex };
    return m_changes;
}

void FakeFederation::route()
{
    m_server.Get("/v1/admin/status", [this](const httplib::Request&, httplib::Response& response) {
        const std::lock_guard lock { m_mutex };
        answer(response, 200, status());
    });
    m_server.Get("/v1/admin/config", [this](const httplib::Request&, httplib::Response& response) {
        const std::lock_guard lock { m_mutex };
        answer(response, 200, { { "version", m_version }, { "document", m_document } });
    });
    m_server.Get(R"(/v1/admin/config/attempts/(\w+))", [this](const httplib::Request& request, auto& response) {
        const std::lock_guard lock { m_mutex };
        const auto found = m_attempts.find(request.matches[1]);
        if (found == m_attempts.end())
            answer(response, 200, { { "found", false } });
        else
            answer(response, 200, { { "found", true }, { "version", found->second } });
    });
    m_server.Post("/v1/admin/config", [this](const httplib::Request& request, httplib::Response& response) {
        const std::lock_guard lock { m_mutex };
        propose(request, response);
    });
    m_server.Post("/v1/admin/operations", [this](const httplib::Request& request, httplib::Response& response) {
        if (request.body.find("\"reboot\"") != std::string::npos)
            return answer(response, 409,
                { { "changes", { { { "vm", "vm-1" }, { "result", "refused" }, { "reason", "floor" } } } } });
        record(request, response,
            { { "changes",
                { { { "vm", "vm-1" }, { "result", "done" }, { "reason", "" } },
                    { { "vm", "vm-2" }, { "result", "refused" }, { "reason", "floor" } } } } });
    });
    m_server.Post("/v1/admin/rollouts/held/abort", [](const httplib::Request&, httplib::Response& response) {
        answer(response, 409, { { "result", "refused" }, { "reason", "finished" } });
    });
    m_server.Post(R"(/v1/admin/rollouts.*)", [this](const httplib::Request& request, httplib::Response& response) {
        record(request, response, { { "id", "r1" } });
    });
    m_server.Get("/v1/admin/explain/vm/vm-1", [](const httplib::Request&, httplib::Response& response) {
        answer(response, 200, { { "lines", { "pool office", "draining" } } });
    });
    m_server.Get("/v1/admin/explain/vm/vm-9", [](const httplib::Request&, httplib::Response& response) {
        answer(response, 404, { { "reason", "no such VM" } });
    });
}

void FakeFederation::propose(const httplib::Request& request, httplib::Response& response)
{
    const auto body = nlohmann::json::parse(request.body);
    const ProposalFault fault = m_faults.empty() ? ProposalFault::None : m_faults.front();
    if (!m_faults.empty())
        m_faults.erase(m_faults.begin());
    if (fault == ProposalFault::LoseRequest)
        return cutOff(response);
    if (fault == ProposalFault::SayUnavailable)
        return answer(response, 503, { { "outcome", "unavailable" } });
    if (!m_rival.empty()) {
        ++m_version;
        m_document = std::exchange(m_rival, "");
    }
    if (body.at("expectedVersion") != m_version)
        return answer(response, 409, { { "version", m_version }, { "document", m_document } });
    ++m_version;
    m_document = body.at("document");
    m_attempts[body.at("attempt")] = m_version;
    if (fault == ProposalFault::LoseAnswer)
        return cutOff(response);
    if (fault == ProposalFault::SayUnknown)
        return answer(response, 503, { { "outcome", "unknown" } });
    answer(response, 200, { { "version", m_version } });
}

void FakeFederation::record(const httplib::Request& request, httplib::Response& response, const nlohmann::json& body)
{
    const std::lock_guard lock { m_mutex };
    m_changes.emplace_back(request.path, nlohmann::json::parse(request.body));
    answer(response, 200, body);
}

nlohmann::json FakeFederation::status()
{
    const std::uint64_t reported = m_pinnedVersion ? m_pinnedVersion : m_version;
    return {
        { "node", "n1" }, { "configVersion", reported },
        { "nodes",
            { { { "id", "n1" }, { "address", address() }, { "dataCenter", "munich" }, { "configVersion", reported },
                  { "leaving", false } },
                { { "id", "n2" }, { "address", "127.0.0.1:1" }, { "dataCenter", "munich" }, { "configVersion", 0 },
                    { "leaving", true } } } },
        { "pools",
            { { { "id", "office" }, { "workers", 10 }, { "available", 9 }, { "floor", 7 }, { "permitsInUse", 1 },
                { "queued", 3 }, { "running", 4 } } } },
        { "vms",
            { { { "id", "vm-1" }, { "pool", "office" }, { "epoch", 2 }, { "state", "serving" }, { "rack", "r-1" },
                { "dataCenter", "munich" } } } },
        { "rollOuts",
            { { { "id", "spring" }, { "kind", "reboot" }, { "state", "running" }, { "done", 3 }, { "targets", 10 } } } }
    };
}
