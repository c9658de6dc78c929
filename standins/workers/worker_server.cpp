#include "worker_server.h"

#include "worker_wire.h"

#include "rattanrack/base/log.h"

namespace rattanrack::standin {

using namespace platform;

namespace {

constexpr Duration rebootTime = std::chrono::seconds { 3 };
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;

AttemptId attemptOf(const httplib::Request& request) { return AttemptId { request.matches[1].str() }; }

void answerAction(httplib::Response& response, ActionResult result)
{
    switch (result) {
    case ActionResult::Done:
        return answerJson(response, "{}");
    case ActionResult::NotFound:
        return answerStatus(response, statusNotFound, "not running");
    case ActionResult::Refused:
        return answerStatus(response, statusConflict, "refused");
    }
}

} // namespace

WorkerServer::WorkerServer(const VmDescription& vm, TaskLog& log, std::uint64_t seed)
    : m_address(vm.address)
    , m_model(vm, log)
    , m_random(seed)
{
}

Result<std::unique_ptr<WorkerServer>> WorkerServer::create(const VmDescription& vm, TaskLog& log, std::uint64_t seed)
{
    std::unique_ptr<WorkerServer> server { new WorkerServer { vm, log, seed } };
    BOOST_LEAF_CHECK(server->listen());
    return server;
}

WorkerServer::~WorkerServer()
{
    auto faults = m_model.faults();
    faults.isDead = true;
    faults.isPaused = false;
    m_model.setFaults(faults);
    m_model.killAll();
    for (auto thread = takeBackgroundThread(); thread.joinable(); thread = takeBackgroundThread())
        thread.join();
}

std::thread WorkerServer::takeBackgroundThread()
{
    const std::lock_guard guard { m_mutex };
    if (m_background.empty())
        return {};
    auto thread = std::move(m_background.back());
    m_background.pop_back();
    return thread;
}

Result<void> WorkerServer::listen()
{
    const auto connections = static_cast<std::size_t>(m_model.vm().connections);
    BOOST_LEAF_AUTO(
        server, HttpServer::create(m_address, connections, [this](httplib::Server& routes) { addRoutes(routes); }));
    const std::lock_guard guard { m_mutex };
    m_address = server->address();
    m_server = std::move(server);
    return {};
}

void WorkerServer::setFaults(const WorkerFaults& faults)
{
    const bool wasDead = m_model.faults().isDead;
    m_model.setFaults(faults);
    if (faults.isDead && !wasDead)
        die();
    if (!faults.isDead && wasDead)
        revive();
}

void WorkerServer::die()
{
    m_model.killAll();
    const std::lock_guard guard { m_mutex };
    if (!m_server)
        return;
    m_server->stop();
    m_background.emplace_back([server = std::move(m_server)]() mutable { server.reset(); });
}

void WorkerServer::revive()
{
    m_model.boot();
    handle(
        [&]() -> Result<int> {
            BOOST_LEAF_CHECK(listen());
            return 0;
        },
        [](const Error& error) {
            logEvent("standin.listen_failed", { { "error", describe(error) } }, LogLevel::Error);
            return 0;
        });
}

void WorkerServer::reboot()
{
    auto faults = m_model.faults();
    faults.isDead = true;
    setFaults(faults);
    const std::lock_guard guard { m_mutex };
    m_background.emplace_back([this] {
        std::this_thread::sleep_for(rebootTime);
        auto revived = m_model.faults();
        revived.isDead = false;
        setFaults(revived);
    });
}

void WorkerServer::addRoutes(httplib::Server& routes)
{
    const std::string task = R"(/tasks/([A-Za-z0-9._:-]+))";
    routes.Post("/tasks", faulty(&WorkerServer::runTask));
    routes.Get(task, faulty(&WorkerServer::answerAttempt));
    routes.Post(task + "/revoke", faulty(&WorkerServer::revoke));
    routes.Post(task + "/lease", faulty(&WorkerServer::renewLease));
    routes.Post(task + "/stop", faulty(&WorkerServer::stopTask));
    routes.Post("/draining", faulty(&WorkerServer::setDraining));
    routes.Post("/reboot", faulty(&WorkerServer::rebootIfIdle));
    routes.Get("/report", faulty(&WorkerServer::report));
}

httplib::Server::Handler WorkerServer::faulty(Handler handler)
{
    return [this, handler](const Request& request, Response& response) {
        m_model.waitWhilePaused();
        if (m_model.faults().isDead)
            return cutAnswer(response);
        (this->*handler)(request, response);
        const auto faults = m_model.faults();
        std::this_thread::sleep_for(faults.answerDelay);
        m_model.waitWhilePaused();
        if (m_model.faults().isDead)
            cutAnswer(response);
    };
}

void WorkerServer::runTask(const Request& request, Response& response)
{
    const auto received = decodeOrder(request.body);
    if (!received)
        return answerStatus(response, statusBadRequest, "malformed");
    const auto outcome = m_model.run(received->order, received->leaseTime);
    answerFaultily(response, encodeOutcome(received->order.attempt, outcome).value_or(""));
}

void WorkerServer::answerAttempt(const Request& request, Response& response)
{
    const auto id = attemptOf(request);
    answerFaultily(response, encodeAttempt(id, m_model.attempt(id)).value_or(""));
}

void WorkerServer::revoke(const Request& request, Response& response)
{
    const auto id = attemptOf(request);
    answerFaultily(response, encodeAttempt(id, m_model.revoke(id)).value_or(""));
}

void WorkerServer::renewLease(const Request& request, Response& response)
{
    const auto leaseTime = decodeLease(request.body);
    if (!leaseTime)
        return answerStatus(response, statusBadRequest, "malformed");
    answerAction(response, m_model.renewLease(attemptOf(request), *leaseTime));
}

void WorkerServer::stopTask(const Request& request, Response& response)
{
    const auto mode = decodeStop(request.body);
    if (!mode)
        return answerStatus(response, statusBadRequest, "malformed");
    answerAction(response, m_model.stop(attemptOf(request), *mode));
}

void WorkerServer::setDraining(const Request& request, Response& response)
{
    const auto order = decodeDrain(request.body);
    if (!order)
        return answerStatus(response, statusBadRequest, "malformed");
    answerAction(response, m_model.setDraining(order->isDraining, order->poolEpoch, order->bootId));
}

void WorkerServer::rebootIfIdle(const Request& request, Response& response)
{
    const auto order = decodeReboot(request.body);
    if (!order)
        return answerStatus(response, statusBadRequest, "malformed");
    if (!m_model.mayReboot(order->poolEpoch, order->bootId))
        return answerAction(response, ActionResult::Refused);
    answerAction(response, ActionResult::Done);
    const std::lock_guard guard { m_mutex };
    m_background.emplace_back([this] {
        constexpr Duration timeToAnswer = std::chrono::milliseconds { 100 };
        std::this_thread::sleep_for(timeToAnswer);
        reboot();
    });
}

void WorkerServer::report(const Request&, Response& response)
{
    answerFaultily(response, encodeReport(m_model.report()).value_or(""));
}

void WorkerServer::answerFaultily(Response& response, const std::string& body)
{
    const auto faults = m_model.faults();
    std::uniform_real_distribution<double> chance { 0, 1 };
    double drawn = 0;
    {
        const std::lock_guard guard { m_mutex };
        drawn = chance(m_random);
    }
    if (drawn < faults.truncate)
        return truncateAnswer(response, body);
    if (drawn < faults.truncate + faults.doubled)
        return doubleAnswer(response, body);
    answerJson(response, body);
}

} // namespace rattanrack::standin
