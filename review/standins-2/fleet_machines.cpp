#include "fleet.h"

#include <algorithm>

/// The machines of the workers: their list, moves, waves of upkeep, and what these end.
namespace review {

namespace {

constexpr Milliseconds noticeTime { 4'500 }; ///< `notice_ms`
constexpr int ok = 200;
constexpr int badRequest = 400;
constexpr int conflict = 409;

} // namespace

HttpMessage Fleet::answerMachineCall(const HttpMessage& request)
{
    const std::lock_guard lock(m_mutex);
    if (request.method == "POST") {
        const Json body = Json::parse(request.body);
        const auto name = body.at("machine").get<std::string>();
        const auto found = std::find_if(
            m_workers.begin(), m_workers.end(), [&](const auto& each) { return each.second->machine == name; });
        if (found == m_workers.end())
            return jsonResponse(badRequest, Json::object());
        if (request.path == "/rattanrack/machine-move")
            return move(*found->second, body.at("pool").get<std::string>());
        return upkeep(*found->second, body.at("wave").get<int>());
    }
    Json machines = Json::array();
    for (const auto& [name, worker] : m_workers) {
        const WorkerSettings& own = worker->settings;
        const bool isOff = m_standbyPools.contains(own.pool);
        const char* state = worker->state == MachineState::Moving ? "moving"
            : worker->state == MachineState::Upkeep               ? "upkeep"
            : worker->isUp || isOff                               ? "up"
                                                                  : "down";
        machines.push_back({ { "machine", worker->machine }, { "pool", own.pool }, { "state", state }, { "zone", "z" },
            { "labels", { own.kind, own.rack } },
            { "capacity", { { "cpu", own.cpu }, { "mem_mb", own.memory }, { "gpu", 0 } } },
            { "id", worker->isUp ? Json(own.id) : Json(nullptr) } });
    }
    return jsonResponse(ok, { { "machines", machines }, { "next_token", nullptr } });
}

HttpMessage Fleet::move(Worker& worker, const std::string& pool)
{
    if (!m_limits.canMove)
        return jsonResponse(badRequest, Json::object());
    if (worker.settings.pool == pool)
        return jsonResponse(ok, Json::object());
    if (worker.state != MachineState::Up)
        return jsonResponse(conflict, { { "reason", "busy" } });
    takeDown(worker, "move to " + pool, m_limits.moveTime);
    worker.state = MachineState::Moving;
    worker.settings.pool = pool;
    return jsonResponse(ok, Json::object());
}

HttpMessage Fleet::upkeep(Worker& worker, int wave)
{
    if (!m_waves[wave].contains(worker.machine))
        return jsonResponse(conflict, { { "reason", "wave" } });
    if (worker.upkeeps.contains(wave))
        return jsonResponse(ok, Json::object());
    if (worker.state != MachineState::Up)
        return jsonResponse(conflict, { { "reason", "busy" } });
    takeDown(worker, "upkeep", m_limits.upkeepTime);
    worker.state = MachineState::Upkeep;
    worker.upkeeps.insert(wave);
    return jsonResponse(ok, Json::object());
}

/// A subtask is away if an order has ended it and it is not back, or if it has not been at work for `notice_ms`.
void Fleet::recordBreaches(const Worker& worker, const std::string& order)
{
    const TimePoint now = Clock::now();
    for (const auto& [task, run] : worker.runs) {
        if (!run.step.isLongRunning || run.step.mayMiss == 0)
            continue;
        const TaskName name = TaskName::parse(task);
        AvailabilityBreach breach { m_record.now(), task, worker.machine, order, {} };
        for (int index = 0; index < run.step.count; ++index) {
            const std::string other = name.group() + '.' + std::to_string(index);
            const auto atWork = m_atWorkUntil.find(other);
            const bool isLongAway = atWork != m_atWorkUntil.end() && now - atWork->second >= noticeTime;
            if (index != name.index && (m_endedByOrder.contains(other) || isLongAway))
                breach.othersAway.push_back(other);
        }
        if (static_cast<int>(breach.othersAway.size()) < run.step.mayMiss)
            continue;
        std::string line = "BROKEN AVAIL: ";
        line.append(order).append(" of ").append(worker.machine).append(" ends ").append(task);
        m_record.add(line.append(" while away: ").append(Json(breach.othersAway).dump()));
        m_breaches.push_back(std::move(breach));
    }
}

void Fleet::takeDown(Worker& worker, const std::string& order, Milliseconds time)
{
    m_record.add("order: " + order + " of " + worker.machine + " in " + worker.settings.pool
        + ", runs there: " + std::to_string(worker.runs.size()));
    recordBreaches(worker, order);
    for (const auto& [task, run] : worker.runs) {
        std::string line = order;
        m_record.add(line.append(" ends ").append(task).append(" run ").append(std::to_string(run.number)));
        if (run.step.isLongRunning)
            m_endedByOrder[task] = Clock::now();
    }
    worker.runs.clear();
    worker.isUp = false;
    worker.backAt = Clock::now() + time;
    m_oldEntries[worker.settings.id] = worker.lastPingAt;
    worker.server->setClosed(true);
    m_hasEnd.notify_all();
}

/// The machine's next worker joins the pool.
void Fleet::bringBack(Worker& worker)
{
    worker.backAt.reset();
    worker.state = MachineState::Up;
    if (m_standbyPools.contains(worker.settings.pool))
        return;
    worker.settings.id = worker.machine.substr(2) + '-' + std::to_string(++worker.lives);
    begin(worker);
    m_record.add(worker.settings.id + " joins " + worker.settings.pool);
}

void Fleet::removeOldEntries(TimePoint now)
{
    std::erase_if(m_oldEntries, [&](const auto& each) {
        const bool isDue = now - each.second >= silenceBeforeRemoval;
        if (isDue)
            m_store.remove("servers", each.first);
        return isDue;
    });
}

void Fleet::requestWave(int number, const std::vector<std::string>& machines, int cap, int seconds)
{
    const std::lock_guard lock(m_mutex);
    m_waves[number] = { machines.begin(), machines.end() };
    m_store.put("op", "wave/" + std::to_string(number),
        { { "wave", number }, { "machines", machines }, { "duration_s", seconds }, { "cap", cap } });
    m_record.add("wave " + std::to_string(number) + " of " + std::to_string(machines.size()) + " machines, at most "
        + std::to_string(cap) + " at once");
}

std::vector<std::string> Fleet::machines()
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> names;
    for (const auto& [name, worker] : m_workers)
        names.push_back(worker->machine);
    return names;
}

std::vector<AvailabilityBreach> Fleet::breaches()
{
    const std::lock_guard lock(m_mutex);
    return m_breaches;
}

} // namespace review
