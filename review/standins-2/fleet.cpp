#include "fleet.h"

#include <algorithm>
#include <sstream>

namespace review {

namespace {

constexpr Milliseconds tick { 4 };
constexpr std::int64_t firstClockMs = 5'000; ///< A worker's clock at its start.
constexpr std::size_t mostListedEnds = 500;
constexpr int percentDone = 100;
constexpr int ok = 200;
constexpr int badRequest = 400;
constexpr int conflict = 409;
constexpr int wrongWorker = 421;

/// "EVENT TASK run NUMBER"
std::string describe(std::string event, const std::string& task, std::int64_t run)
{
    event.append(1, ' ').append(task).append(" run ").append(std::to_string(run));
    return event;
}

HttpMessage noResponse()
{
    HttpMessage none;
    none.status = 0;
    return none;
}

} // namespace

TaskName TaskName::parse(const std::string& text)
{
    std::istringstream parts(text);
    std::string job;
    std::getline(parts, job, '.');
    TaskName name { job };
    char dot = '.';
    parts >> name.occurrence >> dot >> name.step >> dot >> name.index;
    return name;
}

std::string TaskName::group() const { return job + '.' + std::to_string(occurrence) + '.' + std::to_string(step); }

std::int64_t Fleet::Worker::clockMs(TimePoint now) const
{
    return firstClockMs + std::chrono::duration_cast<Milliseconds>(now - bornAt).count();
}

std::int64_t Fleet::Worker::usedCpu() const
{
    std::int64_t used = 0;
    for (const auto& [task, run] : runs)
        used += run.step.cpu;
    return used;
}

std::int64_t Fleet::Worker::usedMemory() const
{
    std::int64_t used = 0;
    for (const auto& [task, run] : runs)
        used += run.step.memory;
    return used;
}

Fleet::Fleet(Store& store, Record& record, FleetLimits limits)
    : m_store(store)
    , m_record(record)
    , m_limits(limits)
    , m_machines([this](const HttpMessage& request) { return answerMachineCall(request); })
    , m_thread([this] { advance(); })
{
}

Fleet::~Fleet()
{
    m_isStopping = true;
    m_thread.join();
    for (const auto& [id, worker] : m_workers)
        worker->server.reset();
}

void Fleet::addJob(const std::string& id, std::vector<StepModel> steps)
{
    const std::lock_guard lock(m_mutex);
    m_jobs[id] = std::move(steps);
}

void Fleet::addStandbyPool(const std::string& pool)
{
    const std::lock_guard lock(m_mutex);
    m_standbyPools.insert(pool);
}

void Fleet::addWorker(const WorkerSettings& settings)
{
    const std::lock_guard lock(m_mutex);
    auto worker = std::make_unique<Worker>();
    worker->settings = settings;
    worker->machine = "m-" + settings.id;
    worker->server = std::make_unique<HttpServer>(
        [this, raw = worker.get()](const HttpMessage& request) { return handle(*raw, request); });
    worker->isUp = !m_standbyPools.contains(settings.pool);
    if (worker->isUp)
        begin(*worker);
    m_workers[settings.id] = std::move(worker);
}

void Fleet::writeRow(Worker& worker)
{
    worker.lastPingAt = Clock::now();
    const WorkerSettings& own = worker.settings;
    m_store.put("servers", own.id,
        { { "backend", own.pool }, { "address", worker.server->address() }, { "zone", "z" }, { "version", "v1" },
            { "slots", 8 }, { "state", "ready" }, { "cold_remaining_ms", 0 },
            { "capacity", { { "cpu", own.cpu }, { "mem_mb", own.memory }, { "gpu", 0 } } },
            { "labels", { own.kind, own.rack } }, { "machine", worker.machine }, { "born", worker.bornUnixMs },
            { "clock_ms", worker.clockMs(Clock::now()) }, { "sequence", ++worker.sequence } });
}

void Fleet::crash(const std::string& id)
{
    Worker* worker = nullptr;
    {
        const std::lock_guard lock(m_mutex);
        worker = m_workers.at(id).get();
        worker->isUp = false;
        for (const auto& [task, run] : worker->runs)
            m_record.add(describe(id + " crashes under", task, run.number));
        m_record.add(id + " crashes");
        worker->runs.clear();
    }
    worker->server->setClosed(true);
    m_hasEnd.notify_all();
}

void Fleet::loseForGood(const std::string& id)
{
    crash(id);
    const std::lock_guard lock(m_mutex);
    const Worker& worker = *m_workers.at(id);
    m_oldEntries[worker.settings.id] = worker.lastPingAt;
}

void Fleet::restart(const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    Worker& worker = *m_workers.at(id);
    begin(worker);
    m_record.add(id + " is back");
}

/// A worker begins, and holds nothing of before.
void Fleet::begin(Worker& worker)
{
    worker.isUp = true;
    worker.bornUnixMs = unixMilliseconds();
    worker.bornAt = Clock::now();
    worker.fence = worker.leaseUntilMs = worker.ends = 0;
    worker.highestEnded.clear();
    worker.listed.clear();
    worker.server->setClosed(false);
    writeRow(worker);
}

void Fleet::setCutFromStore(const std::string& id, bool isCut)
{
    const std::lock_guard lock(m_mutex);
    Worker& worker = *m_workers.at(id);
    worker.cutSince = isCut ? std::optional { Clock::now() } : std::nullopt;
    m_record.add(id + (isCut ? " is cut off from the store" : " reaches the store again"));
    if (!isCut)
        writeRow(worker);
}

std::vector<RunStart> Fleet::starts()
{
    const std::lock_guard lock(m_mutex);
    return m_starts;
}

std::vector<RunEnd> Fleet::ends()
{
    const std::lock_guard lock(m_mutex);
    return m_ends;
}

std::map<std::string, std::int64_t> Fleet::runningTasks(const std::string& job)
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, std::int64_t> found;
    for (const auto& [id, worker] : m_workers) {
        for (const auto& [task, run] : worker->runs) {
            if (task.starts_with(job + '.'))
                found[task] = run.number;
        }
    }
    return found;
}

double Fleet::usedShare(const std::string& pool)
{
    const std::lock_guard lock(m_mutex);
    std::int64_t all = 0;
    std::int64_t used = 0;
    for (const auto& [id, worker] : m_workers) {
        if (worker->settings.pool != pool || !worker->isUp)
            continue;
        all += worker->settings.cpu;
        used += worker->usedCpu();
    }
    return all > 0 ? static_cast<double>(used) / static_cast<double>(all) : 0;
}

void Fleet::holdNextStart(Milliseconds time)
{
    const std::lock_guard lock(m_mutex);
    m_nextStartHeldFor = time;
}

Milliseconds Fleet::timeOnTheWay(const HttpMessage& request)
{
    const std::lock_guard lock(m_mutex);
    if (!m_nextStartHeldFor || request.path != "/rattanrack/run-start")
        return {};
    m_record.add("held on the way: " + request.body);
    const Milliseconds time = *m_nextStartHeldFor;
    m_nextStartHeldFor.reset();
    return time;
}

HttpMessage Fleet::handle(Worker& worker, const HttpMessage& request)
{
    const Milliseconds time = timeOnTheWay(request);
    std::this_thread::sleep_for(m_limits.commandTime + time);
    if (time > Milliseconds {})
        m_record.add("arrives after " + std::to_string(time.count()) + " ms on the way: " + request.body);
    HttpMessage response = carryOut(worker, request);
    if (!m_limits.areConnectionsKept)
        response.headers["Connection"] = "close";
    return response;
}

HttpMessage Fleet::carryOut(Worker& worker, const HttpMessage& request)
{
    const Json body = Json::parse(request.body);
    std::unique_lock lock(m_mutex);
    if (!worker.isUp)
        return noResponse();
    const auto addressee = request.headers.find("x-expect-instance");
    if (addressee != request.headers.end() && addressee->second != worker.settings.id)
        return jsonResponse(wrongWorker, Json::object());
    if (request.path == "/rattanrack/run-start")
        return start(worker, body);
    if (request.path == "/rattanrack/run-stop")
        return stop(worker, body);
    if (request.path == "/rattanrack/hold")
        return hold(worker, body, lock);
    return jsonResponse(ok, { { "clock_ms", worker.clockMs(Clock::now()) } });
}

HttpMessage Fleet::reject(const Worker& worker, const char* reason)
{
    m_record.add(worker.settings.id + " rejects a command: " + reason);
    return jsonResponse(conflict, { { "clock_ms", worker.clockMs(Clock::now()) }, { "reason", reason } });
}

bool Fleet::acceptFence(Worker& worker, const Json& body)
{
    const std::int64_t fence = body.value("fence", std::int64_t { 0 });
    const bool isAccepted = fence >= worker.fence;
    worker.fence = std::max(worker.fence, fence);
    return isAccepted;
}

void Fleet::extendLease(Worker& worker, const Json& body)
{
    const std::int64_t longest = worker.clockMs(Clock::now()) + m_limits.longestLease.count();
    const std::int64_t until = std::min(body.value("until_ms", std::int64_t { 0 }), longest);
    worker.leaseUntilMs = std::max(worker.leaseUntilMs, until);
}

const StepModel* Fleet::modelOf(const std::string& task) const
{
    const TaskName name = TaskName::parse(task);
    const auto job = m_jobs.find(name.job);
    const bool isKnown = job != m_jobs.end() && name.step < static_cast<int>(job->second.size());
    return isKnown ? &job->second[static_cast<std::size_t>(name.step)] : nullptr;
}

HttpMessage Fleet::start(Worker& worker, const Json& body)
{
    const auto task = body.at("task").get<std::string>();
    const auto number = body.at("run").get<std::int64_t>();
    const StepModel* step = modelOf(task);
    if (!step)
        return jsonResponse(badRequest, { { "clock_ms", worker.clockMs(Clock::now()) } });
    if (!acceptFence(worker, body))
        return reject(worker, "fence");
    const auto present = worker.runs.find(task);
    const auto ended = worker.highestEnded.find(task);
    if (present != worker.runs.end() && present->second.number == number) {
        extendLease(worker, body);
        return jsonResponse(ok, { { "clock_ms", worker.clockMs(Clock::now()) } });
    }
    if (present != worker.runs.end() || (ended != worker.highestEnded.end() && number <= ended->second)) {
        extendLease(worker, body);
        return reject(worker, "old");
    }
    if (body.at("until_ms").get<std::int64_t>() <= worker.clockMs(Clock::now()))
        return reject(worker, "late");
    extendLease(worker, body);
    const bool hasRoom = worker.usedCpu() + step->cpu <= worker.settings.cpu
        && worker.usedMemory() + step->memory <= worker.settings.memory;
    if (!hasRoom)
        return reject(worker, "room");
    beginRun(worker, task, body, *step);
    return jsonResponse(ok, { { "clock_ms", worker.clockMs(Clock::now()) } });
}

void Fleet::beginRun(Worker& worker, const std::string& task, const Json& body, const StepModel& step)
{
    const TimePoint now = Clock::now();
    Run run;
    run.number = body.at("run").get<std::int64_t>();
    run.step = step;
    run.startedAt = now;
    run.isWaiting = step.isGang;
    if (!step.isGang && !step.isLongRunning)
        run.endsAt = now + step.runTime;
    worker.runs[task] = run;
    const auto fence = body.value("fence", std::int64_t { 0 });
    m_starts.push_back({ m_record.now(), worker.settings.id, task, run.number, fence });
    m_record.add(worker.settings.id + " starts " + task + " run " + std::to_string(run.number) + " fence "
        + std::to_string(fence));
    if (step.isGang)
        completeGang(TaskName::parse(task), run.number);
}

/// The subtasks of a gang begin to work once all of one run are there.
void Fleet::completeGang(const TaskName& name, std::int64_t number)
{
    std::vector<Run*> members;
    for (const auto& [id, worker] : m_workers) {
        for (auto& [task, run] : worker->runs) {
            if (run.number == number && task.starts_with(name.group() + '.'))
                members.push_back(&run);
        }
    }
    if (members.empty() || static_cast<int>(members.size()) < members.front()->step.count)
        return;
    for (Run* member : members) {
        member->isWaiting = false;
        member->endsAt = Clock::now() + member->step.runTime;
    }
}

/// To be called after one member of a gang at work has ended otherwise than as done.
void Fleet::breakGang(const TaskName& name, std::int64_t number)
{
    for (const auto& [id, worker] : m_workers) {
        std::vector<std::string> broken;
        for (const auto& [task, run] : worker->runs) {
            if (run.number == number && !run.isWaiting && task.starts_with(name.group() + '.'))
                broken.push_back(task);
        }
        for (const std::string& task : broken)
            endRun(*worker, task, "broken");
    }
}

void Fleet::endRun(Worker& worker, const std::string& task, const std::string& how)
{
    const auto found = worker.runs.find(task);
    if (found == worker.runs.end())
        return;
    const Run run = found->second;
    worker.runs.erase(found);
    worker.highestEnded[task] = std::max(worker.highestEnded[task], run.number);
    m_ends.push_back({ m_record.now(), worker.settings.id, task, run.number, how });
    worker.listed.push_back({ ++worker.ends, task, run.number, how, m_ends.size() - 1 });
    m_record.add(worker.settings.id + " ends " + task + " run " + std::to_string(run.number) + " " + how);
    if (run.step.isLongRunning && how == "stopped")
        m_endedByOrder[task] = Clock::now();
    if (run.step.isGang && !run.isWaiting && how != "done" && how != "broken")
        breakGang(TaskName::parse(task), run.number);
    m_hasEnd.notify_all();
}

HttpMessage Fleet::stop(Worker& worker, const Json& body)
{
    const auto task = body.at("task").get<std::string>();
    const auto number = body.at("run").get<std::int64_t>();
    if (!acceptFence(worker, body))
        return reject(worker, "fence");
    const auto run = worker.runs.find(task);
    if (run != worker.runs.end() && run->second.number <= number) {
        if (!run->second.stopsAt)
            run->second.stopsAt = Clock::now() + m_limits.stopTime;
    } else {
        worker.highestEnded[task] = std::max(worker.highestEnded[task], number);
    }
    return jsonResponse(ok, { { "clock_ms", worker.clockMs(Clock::now()) } });
}

HttpMessage Fleet::hold(Worker& worker, const Json& body, std::unique_lock<std::mutex>& lock)
{
    if (!acceptFence(worker, body))
        return reject(worker, "fence");
    extendLease(worker, body);
    const auto acked = body.at("acked_through").get<std::int64_t>();
    while (!worker.listed.empty() && worker.listed.front().number <= acked) {
        m_ends[worker.listed.front().index].isNoted = true;
        worker.listed.pop_front();
    }
    const std::int64_t bornUnixMs = worker.bornUnixMs;
    const auto isDue
        = [&] { return !worker.listed.empty() || !worker.isUp || worker.bornUnixMs != bornUnixMs || m_isStopping; };
    m_hasEnd.wait_for(lock, Milliseconds { body.value("wait_ms", 0) }, isDue);
    if (!worker.isUp || worker.bornUnixMs != bornUnixMs)
        return noResponse();
    const TimePoint now = Clock::now();
    Json running = Json::array();
    for (const auto& [task, run] : worker.runs)
        running.push_back(
            Json::array({ task, run.number, "", run.isWaiting ? 0 : (run.step.isLongRunning ? percentDone : 1), 0 }));
    Json finished = Json::array();
    for (const ListedEnd& end : worker.listed) {
        if (finished.size() < mostListedEnds)
            finished.push_back(Json::array({ end.number, end.task, end.run, end.how, "" }));
    }
    return jsonResponse(ok,
        { { "clock_ms", worker.clockMs(now) }, { "born", worker.bornUnixMs }, { "running", running },
            { "finished", finished } });
}

void Fleet::advance(Worker& worker, TimePoint now)
{
    std::vector<std::pair<std::string, std::string>> ended;
    const bool hasLease = worker.clockMs(now) <= worker.leaseUntilMs;
    for (const auto& [task, run] : worker.runs) {
        if (!hasLease)
            ended.emplace_back(task, "lapsed");
        else if (run.stopsAt && now >= *run.stopsAt)
            ended.emplace_back(task, "stopped");
        else if (run.endsAt && now >= *run.endsAt)
            ended.emplace_back(task, "done");
        else if (run.isWaiting && now - run.startedAt >= m_limits.gangTime)
            ended.emplace_back(task, "alone");
    }
    for (const auto& [task, run] : worker.runs) {
        if (run.step.isLongRunning && hasLease) {
            m_atWorkUntil[task] = now;
            m_endedByOrder.erase(task);
        }
    }
    for (const auto& [task, how] : ended)
        endRun(worker, task, how);
}

void Fleet::advance()
{
    TimePoint nextHeartbeat = Clock::now() + heartbeat;
    while (!m_isStopping) {
        std::this_thread::sleep_for(tick);
        const std::lock_guard lock(m_mutex);
        const TimePoint now = Clock::now();
        const bool isHeartbeatDue = now >= nextHeartbeat;
        if (isHeartbeatDue)
            nextHeartbeat = now + heartbeat;
        removeOldEntries(now);
        for (const auto& [id, worker] : m_workers) {
            if (worker->backAt && now >= *worker->backAt)
                bringBack(*worker);
            if (!worker->isUp)
                continue;
            advance(*worker, now);
            if (worker->cutSince && now - *worker->cutSince >= silenceBeforeRemoval)
                m_store.remove("servers", worker->settings.id);
            else if (isHeartbeatDue && !worker->cutSince)
                writeRow(*worker);
        }
    }
}

} // namespace review
