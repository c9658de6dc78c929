#include "rattanrack/node/job_node.h"

#include "job_node_state.h"
#include "rattanrack/jobs/node_process.h"

namespace rattanrack::node {

namespace {

using namespace std::chrono_literals;

constexpr Duration announcementPeriod = 200ms;
constexpr Duration leavePollInterval = 20ms;
/// Within this time after the last announcement of an owner of the machine part, its commands to machines have arrived
/// or their results are known.
constexpr Duration machineCommandTime = 5s;

} // namespace

JobNode::State::State(JobNodeSettings nodeSettings, JobNodePorts nodePorts, Metrics& nodeMetrics)
    : settings(std::move(nodeSettings))
    , ports(nodePorts)
    , metrics(nodeMetrics)
    , self(jobs::processId(settings.name, wallClockMilliseconds()))
    , ownership(self, settings.peerAddress, clock.now(), settings.processorShare)
{
}

JobNode::State::~State()
{
    isStopped = true;
    ports.store.setPeerCall({});
    ports.store.setOnReachable({});
    for (std::thread& watcher : watchers)
        watcher.join();
    storePool.shutdown();
    machinePool.shutdown();
    advisorPool.shutdown();
    control.run([this] {
        cells.clear();
        machineController.reset();
    });
    workerPool.shutdown();
    control.stop();
    network.reset(); // Its thread posts to the control loop, which would otherwise be destroyed first.
}

void JobNode::State::start()
{
    watchers.emplace_back([this] { watchConfiguration(); });
    watchers.emplace_back([this] { watchWorkers(); });
    watchers.emplace_back([this] { watchMembers(); });
    control.post([this] { tick(); });
    ports.store.setPeerCall([this](const peer::StoreRequest& request) { return callPeer(request); });
    ports.store.setOnReachable([this] { control.post([this] { endRelayedReads(); }); });
}

void JobNode::State::tick()
{
    const TimePoint now = clock.now();
    control.at(Deadline::after(now, announcementPeriod), [this] { tick(); });
    jobCalls.expire(now);
    endCallsToUnusablePeers(now);
    expireDeferredCalls(now);
    stallDetector.tick(now);
    ownership.setStoreReachable(ports.store.isReachable());
    takeOverCells();
    for (const auto& [cell, host] : cells)
        host->limitEarlierGrants(ownership);
    if (const auto cell = ownership.cellToHandBack(now))
        handBack(*cell);
    exchangeMachineStatus();
    if (machineController)
        machineController->tick();
    sendAnnouncementIfDue(now);
    reportLoad();
    isReady = !isLeaving && hasConfiguredCells;
    ownsMachinePart = machineController != nullptr;
    ownsAnyPart = !cells.empty() || machineController;
}

void JobNode::State::reportLoad()
{
    const TimePoint now = clock.now();
    if (!loadMonitor.isReportDue(now))
        return;
    const auto connections = network->connections();
    NodeLoadContext context { cells.size() };
    context.announcements = std::exchange(announcementsReceived, 0);
    context.peerConnections = connections.inbound;
    context.connectionLimit = connections.limit;
    context.refusedConnections = connections.refused - std::exchange(reportedRefusals, connections.refused);
    for (const auto& [cell, host] : cells)
        context.commandsInFlight += host->commandsInFlight();
    loadMonitor.report(control.takeDelays(), context, now);
}

void JobNode::State::handBack(const PoolId& cell)
{
    const auto found = cells.find(cell);
    if (found != cells.end())
        found->second->handBack();
    else if (machineController && cell == machinePart)
        machineController->handBack();
}

void JobNode::State::addOwnCells(jobs::NodeAnnouncement& announcement) const
{
    const auto append = [](std::vector<jobs::MachineId>& machines, const std::vector<jobs::MachineId>& more) {
        machines.insert(machines.end(), more.begin(), more.end());
    };
    for (const auto& [cell, host] : cells) {
        announcement.drainedMachines.merge(host->drainedMachines());
        append(announcement.movableMachines, host->movableMachines());
        announcement.loads.push_back(host->load());
    }
}

/// Returns the machines that the owner of the machine part drains. Its last announcement stays valid until its commands
/// can no longer arrive.
std::set<jobs::MachineId> JobNode::State::drainingMachines()
{
    if (machineController)
        return machineController->drainingMachines();
    const TimePoint now = clock.now();
    const auto machineOwner = ownership.owner(machinePart, now);
    for (const jobs::NodeAnnouncement* announcement : ownership.liveAnnouncements(now)) {
        if (!machineOwner || announcement->node != machineOwner->node)
            continue;
        lastDrainingMachines = { announcement->drainingMachines.begin(), announcement->drainingMachines.end() };
        drainingReceivedAt = now;
    }
    if (now - drainingReceivedAt > machineCommandTime)
        lastDrainingMachines.clear();
    return lastDrainingMachines;
}

void JobNode::State::exchangeMachineStatus()
{
    const auto others = ownership.liveAnnouncements(clock.now());
    const auto draining = drainingMachines();
    for (const auto& [cell, host] : cells)
        host->setDrainingMachines(draining);
    const auto machineOwner = ownership.owner(machinePart, clock.now());
    drainingMachinesSequence = machineOwner ? ownership.latestSequenceOf(machineOwner->node, clock.now()) : 0;
    if (!machineController)
        return;
    jobs::NodeAnnouncement total;
    addOwnCells(total);
    jobs::DrainedMachines drained = total.drainedMachines;
    std::set<jobs::MachineId> movable { total.movableMachines.begin(), total.movableMachines.end() };
    for (const jobs::NodeAnnouncement* announcement : others) {
        for (const auto& [machine, worker] : announcement->drainedMachines) {
            if (drainAnnouncements.isKnownAt(machine, announcement->drainingMachinesSequence))
                drained.emplace(machine, worker);
        }
        movable.insert(announcement->movableMachines.begin(), announcement->movableMachines.end());
        total.loads.insert(total.loads.end(), announcement->loads.begin(), announcement->loads.end());
    }
    machineController->setCellStatus(std::move(movable), std::move(drained), total.loads);
}

void JobNode::State::sendAnnouncement()
{
    const TimePoint now = clock.now();
    send(ownership.announcement(), ownership.announcementAddresses(now), now);
}

void JobNode::State::sendAnnouncementIfDue(TimePoint now)
{
    jobs::NodeAnnouncement announcement = ownership.announcement();
    const auto addresses = ownership.announcementAddresses(now);
    if (announcementPacer.isDue(announcement, addresses, now))
        send(std::move(announcement), addresses, now);
}

/// The full announcement goes to the owner of the machine part alone; the other nodes need only the owned cells and the
/// draining machines. `addresses`: of all known nodes.
void JobNode::State::send(jobs::NodeAnnouncement announcement, const std::vector<std::string>& addresses, TimePoint now)
{
    announcementPacer.onSent(announcement, addresses, now);
    if (machineController) {
        const auto machines = machineController->drainingMachines();
        drainAnnouncements.record(machines, announcement.sequence);
        announcement.drainingMachines.assign(machines.begin(), machines.end());
    }
    ownership.complete(announcement, now);
    jobs::NodeAnnouncement fullAnnouncement = announcement;
    fullAnnouncement.drainingMachinesSequence = drainingMachinesSequence;
    addOwnCells(fullAnnouncement);
    if (const auto machineOwner = ownership.owner(machinePart, now))
        machineOwnerAddress = machineOwner->address;
    for (auto& route : ownership.announcementRoutes(machineOwnerAddress, announcement.sequence, now)) {
        const bool isMachineOwner = route.address == machineOwnerAddress;
        announcement.relayTo = std::move(route.relayTo);
        network->send(route.address, isMachineOwner ? fullAnnouncement : announcement);
    }
}

void JobNode::State::received(const jobs::NodeAnnouncement& announcement)
{
    ++announcementsReceived;
    ownership.onAnnouncement(announcement, clock.now());
    passOn(announcement);
}

/// Sends the announcement on to the nodes that it names, and to its sender what that has missed.
void JobNode::State::passOn(const jobs::NodeAnnouncement& announcement)
{
    if (announcement.isPassedOn)
        return;
    jobs::NodeAnnouncement copy = announcement;
    copy.relayTo.clear();
    copy.isPassedOn = true;
    for (const std::string& address : announcement.relayTo)
        network->send(address, copy);
    for (jobs::NodeAnnouncement& missed : ownership.announcementsMissedBy(announcement, clock.now()))
        network->send(announcement.address, std::move(missed));
}

void JobNode::State::receive(const peer::Message& message)
{
    if (!network)
        return; // Arrived while the node was being created; peers repeat their calls and announcements.
    std::visit([this](const auto& each) { received(each); }, message);
}

JobNode::JobNode(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

JobNode::~JobNode() = default;

Result<std::unique_ptr<JobNode>> JobNode::create(JobNodeSettings settings, JobNodePorts ports, Metrics& metrics)
{
    auto state = std::make_unique<State>(std::move(settings), ports, metrics);
    State* raw = state.get();
    const JobNodeSettings& own = raw->settings;
    const std::string& listen = own.peerListen.empty() ? own.peerAddress : own.peerListen;
    BOOST_LEAF_AUTO(network, peer::PeerNetwork::create(listen, [raw](peer::Message message) {
        raw->control.post(
            [raw, shared = std::make_shared<peer::Message>(std::move(message))] { raw->receive(*shared); });
    }));
    raw->control.run([&] { raw->network = std::move(network); });
    raw->start();
    return std::unique_ptr<JobNode>(new JobNode(std::move(state)));
}

std::shared_ptr<const jobs::Configuration> JobNode::configuration() const
{
    const std::lock_guard lock(m_state->configurationMutex);
    return m_state->configuration;
}

bool JobNode::isConfigurationConfirmed() const
{
    return m_state->clock.now() - m_state->watcherRespondedAt.load() <= m_state->settings.longestConfigurationAge;
}

bool JobNode::isReady() const { return m_state->isReady; }

void JobNode::leave(Deadline deadline)
{
    m_state->isReady = false;
    m_state->control.run([state = m_state.get()] {
        state->isLeaving = true;
        state->ownership.leave();
        for (auto& [cell, host] : state->cells)
            host->handBack();
        if (state->machineController)
            state->machineController->handBack();
        state->sendAnnouncement();
    });
    while (m_state->ownsAnyPart && !deadline.hasPassed(m_state->clock.now()))
        std::this_thread::sleep_for(leavePollInterval);
}

} // namespace rattanrack::node
