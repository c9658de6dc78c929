#include "play.h"

#include "../../packages/node/tests/free_port.h"
#include "rattanrack/base/milliseconds.h"

#include <csignal>

namespace rattanrack::tools {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t fewestNodes = 3;
constexpr int attempts = 3;
constexpr Duration grace = 6s; ///< From SIGTERM to SIGKILL.
constexpr Duration settleTime = 14s; ///< After the last trouble, until all jobs must be in order.
/// After `settleTime`, until all jobs that crash workers must be shown as failed: five starts, each with a lease of 4.5
/// s that may have to expire.
constexpr Duration crashSettleTime = 25s;
constexpr Duration stopTime = 400ms;
constexpr Duration shortestDrain = 2500ms;
constexpr Duration entryLife = 1500ms; ///< Of a worker that is silent.
constexpr Duration tickStep = 5ms;
constexpr std::size_t waveSize = 2;

constexpr Duration usualLease = 4500ms;
constexpr std::array longestLeases { usualLease, Duration { 6s }, Duration { 10s } };

constexpr std::uint64_t firstVersion = 7;
constexpr std::array queuePrefixes { "/jobs/", "/work/" };

std::string routeText(std::size_t queue, const std::string& pool)
{
    return R"({"name":"q)" + std::to_string(queue + 1) + R"(","host":"a.example","path_prefix":")"
        + queuePrefixes[queue]
        + R"(","type":"non_idempotent","timeout_ms":3000,"target_latency_ms":600,"priority":0,"backend":")" + pool
        + R"(","attempts":3,"stretch":1.6})";
}

/// `poolOfQueue`: empty for a queue without a route.
std::string configurationText(std::uint64_t version, const std::array<std::string, 2>& poolOfQueue)
{
    std::string routes;
    for (std::size_t queue = 0; queue < poolOfQueue.size(); ++queue) {
        if (!poolOfQueue[queue].empty())
            routes += (routes.empty() ? "" : ",") + routeText(queue, poolOfQueue[queue]);
    }
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes + R"(],
        "backends":[{"name":"poolA","enforces_capacity":true,"standby":false},
            {"name":"poolB","enforces_capacity":true,"standby":false}],
        "limits":{"max_body_bytes":5000}})";
}

} // namespace

Play::Play(PlaySettings settings)
    : m_settings(std::move(settings))
    , m_recorder(attempts)
    , m_version(firstVersion)
{
    if (m_settings.longestLease == Duration::zero())
        m_settings.longestLease = m_settings.troubles == Troubles::Mixed
            ? usualLease
            : longestLeases[m_settings.seed % longestLeases.size()];
    m_store.onWorkerRowRead
        = [this](const std::string& key, const std::string& value) { m_recorder.served(key, value); };
    putConfiguration();
    addWorkers();
    addNodes();
}

void Play::addWorkers()
{
    std::vector<adapter::standin::StandinWorker*> all;
    for (std::size_t number = 0; number < m_settings.workers; ++number) {
        m_workers.push_back(std::make_unique<adapter::standin::StandinWorker>(
            m_store, "w" + std::to_string(number), poolNames[number % poolNames.size()], "r1"));
        m_workers.back()->setLongestLease(m_settings.longestLease);
        m_workerLinks.push_back(std::make_unique<LoopbackProxy>(m_workers.back()->address()));
        m_workers.back()->setObserver(m_recorder, stopTime, m_workerLinks.back()->address());
        all.push_back(m_workers.back().get());
    }
    m_taskCrashes = std::make_unique<TaskCrashes>(m_recorder, m_workers);
    m_machines = std::make_unique<adapter::standin::StandinMachineList>(all);
}

void Play::addNodes()
{
    const std::size_t count = m_settings.daemons > 0 ? m_settings.daemons : fewestNodes + m_settings.seed % 3;
    for (std::size_t number = 0; number < count; ++number) {
        auto entry = std::make_unique<Entry>();
        entry->node = "n" + std::to_string(number);
        entry->port = node::tests::freePort();
        entry->readinessPort = node::tests::freePort();
        Node node { m_store.addEndpoint() };
        node.storeLink = std::make_unique<LoopbackProxy>(node.store->server->address());
        if (m_settings.troubles == Troubles::Links)
            addWorkerLinks(node);
        const int peerPort = node::tests::freePort();
        if (m_settings.troubles == Troubles::Peers)
            node.peerLink = std::make_unique<LoopbackProxy>("127.0.0.1:" + std::to_string(peerPort));
        node.daemon = std::make_unique<Daemon>(
            m_settings.program, m_settings.directory, entry->node, settingsOf(node, *entry, peerPort));
        if (!node.daemon->start())
            m_faults.push_back(entry->node + " can't be started");
        m_nodes.push_back(std::move(node));
        m_entries.push_back(std::move(entry));
    }
}

std::string Play::settingsOf(const Node& node, const Entry& entry, int peerPort) const
{
    const std::string host = "127.0.0.1:";
    const std::string announced = node.peerLink ? "\npeerAnnounce: " + node.peerLink->address() : "";
    return "node: " + entry.node + "\nlisten: " + host + std::to_string(entry.port) + "\nreadiness: " + host
        + std::to_string(entry.readinessPort) + "\npeerListen: " + host + std::to_string(peerPort) + announced
        + "\nstore: " + node.storeLink->address() + "\nmachineList: " + m_machines->address()
        + "\nlongestLease: " + std::to_string(milliseconds(m_settings.longestLease))
        + "ms\nkeepEnded: 120s\nlongestStop: 900ms\ndrainBound: 2000ms\nstopGrace: 6s\n"
          "logLevel: info\n";
}

void Play::later(Duration after, std::function<void()> action)
{
    m_due.emplace(m_recorder.now() + after, std::move(action));
}

void Play::perform(const Step& step)
{
    switch (step.action) {
    case Action::Terminate:
        return end(m_nodes[step.target], SIGTERM, step);
    case Action::Kill:
        return end(m_nodes[step.target], SIGKILL, step);
    case Action::Freeze:
        return freeze(m_nodes[step.target], step.length);
    case Action::Reload:
        return reload(m_nodes[step.target]);
    case Action::StoreLink:
        return troubleStoreLink(m_nodes[step.target], step);
    case Action::WorkerLink:
        return trouble(*m_workerLinks[step.target], step, { "worker link", m_workers[step.target]->id() });
    case Action::Drain:
        return drain(*m_workers[step.target], step.length);
    case Action::Crash:
        return crash(step, false);
    case Action::Death:
        return crash(step, true);
    case Action::TerminateOwner:
    case Action::KillOwner:
    case Action::FreezeOwner:
    case Action::OwnerStoreLink:
    case Action::OwnerStoreRefusal:
    case Action::OwnerPeerLink:
        return performOnOwner(step);
    case Action::PeerLink:
        return troublePeerLink(m_nodes[step.target], step);
    case Action::OwnerWorkerLink:
    case Action::OtherWorkerLinks:
        return performOnWorkerLinks(step);
    case Action::StoreDown:
        return turnAway(m_store.isDown, step, "all");
    case Action::Wave:
        return orderWave(step.target);
    case Action::MoveRoute:
        return moveRoute(step.target, step.length);
    }
}

void Play::end(Node& node, int signal, const Step& step)
{
    if (node.isLeaving || node.isKilled || node.daemon->process() == 0)
        return;
    const bool isPlanned = signal == SIGTERM;
    node.trouble = m_recorder.beginTrouble(isPlanned ? "SIGTERM" : "SIGKILL", node.daemon->name(), true, isPlanned);
    node.restartAfter = step.restartAfter;
    node.isLeaving = signal == SIGTERM;
    node.isKilled = signal == SIGKILL;
    node.killAt = m_recorder.now() + grace;
    node.daemon->signal(signal);
}

void Play::freeze(Node& node, Duration length)
{
    const pid_t process = node.daemon->process();
    if (process == 0 || node.isLeaving || node.isKilled)
        return;
    const std::size_t number = m_recorder.beginTrouble("SIGSTOP", node.daemon->name(), true, false);
    node.daemon->signal(SIGSTOP);
    later(length, [this, &node, process, number] {
        if (node.daemon->process() == process)
            node.daemon->signal(SIGCONT);
        m_recorder.endTrouble(number);
    });
}

void Play::reload(Node& node)
{
    m_recorder.endTrouble(m_recorder.beginTrouble("SIGHUP", node.daemon->name(), true, true));
    node.daemon->signal(SIGHUP);
}

void Play::drain(adapter::standin::StandinWorker& worker, Duration length)
{
    if (worker.isDraining())
        return;
    const std::size_t number = m_recorder.beginTrouble("drain", worker.id(), false, true);
    worker.drain(shortestDrain);
    later(shortestDrain + length, [this, &worker, number] {
        if (worker.isDraining())
            worker.replace();
        m_recorder.endTrouble(number);
    });
}

void Play::performOnOwner(const Step& step)
{
    Node* owner = ownerOf(step.target);
    if (!owner)
        return;
    switch (step.action) {
    case Action::TerminateOwner:
        return end(*owner, SIGTERM, step);
    case Action::KillOwner:
        return end(*owner, SIGKILL, step);
    case Action::FreezeOwner:
        return freeze(*owner, step.length);
    case Action::OwnerStoreRefusal:
        return turnAway(owner->store->isUnavailable, step, owner->daemon->name());
    case Action::OwnerPeerLink:
        return troublePeerLink(*owner, step);
    default:
        return troubleStoreLink(*owner, step);
    }
}

/// With a silent link the worker's host seems to be gone; otherwise its connections are closed.
void Play::crash(const Step& step, bool isReplaced)
{
    adapter::standin::StandinWorker& worker = *m_workers[step.target];
    LoopbackProxy& link = *m_workerLinks[step.target];
    const std::size_t number = m_recorder.beginTrouble(isReplaced ? "death" : "crash", worker.id(), false, false);
    worker.crash();
    link.setMode(step.mode);
    later(entryLife, [&worker] { worker.removeRow(); });
    later(step.length, [this, &worker, &link, number, isReplaced] {
        link.setMode(LinkMode::Pass);
        if (isReplaced)
            worker.replace();
        else
            worker.restart();
        m_recorder.endTrouble(number);
    });
}

void Play::orderWave(std::size_t first)
{
    const std::string number = std::to_string(++m_waves);
    std::string machines;
    for (std::size_t each = 0; each < waveSize; ++each)
        machines += (each == 0 ? "\"" : ",\"") + m_workers[(first + each) % m_workers.size()]->machine() + "\"";
    m_recorder.endTrouble(m_recorder.beginTrouble("wave", number, false, true));
    m_store.put("op", "wave/" + number,
        R"({"wave":)" + number + R"(,"machines":[)" + machines + R"(],"duration_s":15,"cap":1})");
}

void Play::putConfiguration() { m_store.put("op", "config", configurationText(m_version++, m_poolOfQueue)); }

/// The queue has no route for `absence`.
void Play::moveRoute(std::size_t queue, Duration absence)
{
    std::string& pool = m_poolOfQueue[queue];
    if (pool.empty())
        return;
    const std::string next = pool == poolNames[0] ? poolNames[1] : poolNames[0];
    const std::string target = queuePrefixes[queue] + (" to " + next);
    m_recorder.endTrouble(m_recorder.beginTrouble("route moves", target, false, true));
    pool = absence > Duration::zero() ? "" : next;
    putConfiguration();
    if (pool.empty())
        later(absence, [this, queue, next] {
            m_poolOfQueue[queue] = next;
            putConfiguration();
        });
}

void Play::supervise(Node& node)
{
    if (node.isLeaving && !node.isKilled && m_recorder.now() >= node.killAt) {
        node.isKilled = true;
        ++m_killedAtGrace;
        node.daemon->signal(SIGKILL);
    }
    const auto status = node.daemon->takeEnd();
    if (!status)
        return;
    const bool wasAsked = node.isLeaving || node.isKilled;
    if (!wasAsked || (!node.isKilled && *status != 0))
        m_faults.push_back(node.daemon->name() + " ended with wait status " + std::to_string(*status));
    later(node.restartAfter, [this, &node, wasAsked] {
        if (!node.daemon->start())
            m_faults.push_back(node.daemon->name() + " can't be started");
        node.isLeaving = false;
        node.isKilled = false;
        if (wasAsked)
            m_recorder.endTrouble(node.trouble);
    });
}

void Play::tick()
{
    while (!m_due.empty() && m_due.begin()->first <= m_recorder.now()) {
        const auto action = std::move(m_due.begin()->second);
        m_due.erase(m_due.begin());
        action();
    }
    for (Node& node : m_nodes)
        supervise(node);
    for (const auto& worker : m_workers)
        worker->advance();
    m_taskCrashes->update();
    std::this_thread::sleep_for(tickStep);
}

void Play::playUntil(TimePoint until)
{
    const auto isAnyDown = [&] {
        return std::any_of(
            m_nodes.begin(), m_nodes.end(), [](const Node& node) { return node.isLeaving || node.isKilled; });
    };
    while (m_recorder.now() < until || !m_due.empty() || isAnyDown())
        tick();
}

void Play::askForJobs(bool thatCrashWorkers)
{
    for (const auto& [job, record] : m_recorder.history().jobs) {
        if (!record.acceptedAt || record.cancelSentAt || record.crashesWorkers != thatCrashWorkers)
            continue;
        std::optional<std::string> state;
        for (std::size_t tries = 0; tries < m_entries.size() && !state; ++tries)
            state = askState(m_entries[tries]->port, job);
        m_recorder.shown(job, state.value_or("silent"));
    }
}

std::vector<Step> Play::schedule() const
{
    const FleetSize fleet { m_nodes.size(), m_workers.size(), poolNames.size() };
    switch (m_settings.troubles) {
    case Troubles::Mixed:
        return mixedSchedule(m_settings.seed, m_settings.length, fleet);
    case Troubles::Deaths:
        return deathsSchedule(m_settings.seed, m_settings.length, fleet);
    case Troubles::Crashes:
        return crashesSchedule(m_settings.seed, m_settings.length, fleet);
    case Troubles::Routes:
        return routesSchedule(m_settings.seed, m_settings.length, fleet);
    case Troubles::Links:
        return linksSchedule(m_settings.seed, m_settings.length, fleet);
    case Troubles::Peers:
        return peersSchedule(m_settings.seed, m_settings.length, fleet);
    }
    return {};
}

History Play::run()
{
    const bool hasCrashes = m_settings.troubles == Troubles::Crashes;
    for (const Step& step : schedule())
        later(step.at, [this, step] { perform(step); });
    {
        const TrafficKind traffic = hasCrashes       ? TrafficKind::Crashing
            : m_settings.troubles == Troubles::Links ? TrafficKind::LongRuns
                                                     : TrafficKind::Usual;
        const Callers callers { m_recorder, m_entries, m_settings.seed, traffic };
        playUntil(m_recorder.now() + m_settings.length);
    }
    playUntil(m_recorder.now() + settleTime);
    askForJobs(false);
    if (hasCrashes) {
        playUntil(m_recorder.now() + crashSettleTime);
        askForJobs(true);
    }
    return m_recorder.history();
}

} // namespace rattanrack::tools
