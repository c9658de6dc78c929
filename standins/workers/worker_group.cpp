#include "worker_group.h"

#include "json_fields.h"

namespace rattanrack::standin {

using namespace platform;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t controlConnections = 16;
constexpr std::size_t logPage = 10000;
constexpr int statusBadRequest = 400;

bool isSelected(const json& select, const VmDescription& vm)
{
    return select.value("vm", vm.id.value()) == vm.id.value()
        && select.value("rack", vm.rack.value()) == vm.rack.value()
        && select.value("dataCenter", vm.dataCenter.value()) == vm.dataCenter.value();
}

WorkerFaults withChanges(WorkerFaults faults, const json& changes)
{
    const auto toMilliseconds = [](Duration duration) { return duration.count() / 1000; };
    faults.isDead = changes.value("dead", faults.isDead);
    faults.isPaused = changes.value("paused", faults.isPaused);
    faults.failsEverything = changes.value("failsEverything", faults.failsEverything);
    faults.truncate = changes.value("truncate", faults.truncate);
    faults.doubled = changes.value("double", faults.doubled);
    faults.answerDelay = milliseconds { changes.value("lateMs", toMilliseconds(faults.answerDelay)) };
    faults.runTimeFactor = changes.value("runTimeFactor", faults.runTimeFactor);
    faults.usageFactor = changes.value("usageFactor", faults.usageFactor);
    faults.reportLag = milliseconds { changes.value("reportLagMs", toMilliseconds(faults.reportLag)) };
    return faults;
}

json toJson(const TaskEntry& entry)
{
    return { { "vm", entry.vm.value() }, { "attempt", entry.attempt.value() }, { "request", entry.request.value() },
        { "kind", entry.kind.value() }, { "payload", entry.payload }, { "started", entry.started },
        { "ended", entry.ended }, { "state", entry.state } };
}

json toJson(const RefusalCounters& counters)
{
    return { { "busy", counters.busy }, { "draining", counters.draining }, { "epoch", counters.epoch },
        { "revoked", counters.revoked }, { "tooLarge", counters.tooLarge }, { "repeated", counters.repeated } };
}

} // namespace

Result<std::unique_ptr<WorkerGroup>> WorkerGroup::create(
    const std::string& controlAddress, const std::vector<VmDescription>& vms, std::uint64_t seed)
{
    std::unique_ptr<WorkerGroup> group { new WorkerGroup };
    for (const auto& vm : vms) {
        BOOST_LEAF_AUTO(worker, WorkerServer::create(vm, group->m_log, seed++));
        group->m_workers.push_back(std::move(worker));
    }
    BOOST_LEAF_AUTO(control, HttpServer::create(controlAddress, controlConnections, [&](httplib::Server& routes) {
        auto* self = group.get();
        routes.Post("/faults", [self](const auto& request, auto& response) { self->changeFaults(request, response); });
        routes.Get("/log", [self](const auto& request, auto& response) { self->answerLog(request, response); });
        routes.Get("/refused", [self](const auto& request, auto& response) { self->answerRefused(request, response); });
    }));
    group->m_control = std::move(control);
    return group;
}

void WorkerGroup::changeFaults(const Request& request, Response& response)
{
    const auto isApplied = decodeJson(request.body, [&](const json& command) {
        applyFaults(command);
        return true;
    });
    if (!isApplied)
        return answerStatus(response, statusBadRequest, "malformed");
    answerJson(response, "{}");
}

void WorkerGroup::applyFaults(const json& command)
{
    const auto select = command.value("select", json::object());
    const auto changes = command.value("set", json::object());
    for (auto& worker : m_workers) {
        if (!isSelected(select, worker->model().vm()))
            continue;
        const bool isReset = command.value("reset", false);
        worker->setFaults(withChanges(isReset ? WorkerFaults {} : worker->model().faults(), changes));
        if (command.value("reboot", false))
            worker->reboot();
    }
}

void WorkerGroup::answerLog(const Request& request, Response& response) const
{
    const auto first = std::strtoull(request.get_param_value("first").c_str(), nullptr, 10);
    json list = json::array();
    for (const auto& entry : m_log.entries(first, logPage))
        list.push_back(toJson(entry));
    answerJson(response, list.dump());
}

void WorkerGroup::answerRefused(const Request&, Response& response) const
{
    json counters = json::object();
    for (const auto& worker : m_workers)
        counters[worker->model().vm().id.value()] = toJson(worker->model().refusals());
    answerJson(response, counters.dump());
}

} // namespace rattanrack::standin
