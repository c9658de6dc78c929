#include "rattanrack/node/job_node.h"

#include "job_node_state.h"

namespace rattanrack::node {

namespace {

using namespace std::chrono_literals;

constexpr Duration newsPeriod = 200ms;
constexpr Duration pollStep = 20ms;
constexpr Duration ordersSettle = 5s; ///< After the last word of a holder, orders to machines have come or are known.

} // namespace

JobNode::State::State(JobNodeSettings nodeSettings, JobNodePorts nodePorts, Metrics& nodeMetrics)
    : settings(std::move(nodeSettings))
    , ports(nodePorts)
    , metrics(nodeMetrics)
    , self(settings.name + '-' + std::to_string(wallClockMilliseconds()))
    , ownership(self, settings.peerAddress, clock.now(), settings.processorShare)
{
}

JobNode::State::~State()
{
    isStopped = true;
    ports.store.setPeerCall({});
    for (std::thread& watcher : watchers)
        watcher.join();
    storePool.shutdown();
    machinePool.shutdown();
    advisorPool.shutdown();
    control.run([this] {
        cells.clear();
        duty.reset();
    });
    workerPool.shutdown();
    control.stop();
    network.reset(); // Its thread hands messages to the control loop, which goes first otherwise.
}

void JobNode::State::start()
{
    watchers.emplace_back([this] { watchConfiguration(); });
    watchers.emplace_back([this] { watchWorkers(); });
    watchers.emplace_back([this] { watchMembers(); });
    control.post([this] { tick(); });
    ports.store.setPeerCall([this](const peer::StoreRequest& request) { return callPeer(request); });
}

void JobNode::State::tick()
{
    const TimePoint now = clock.now();
    control.at(Deadline::after(now, newsPeriod), [this] { tick(); });
    jobCalls.expire(now);
    storeCalls.expire(now);
    stallDetector.tick(now);
    ownership.setStoreReachable(ports.store.isReachable());
    takeOverCells();
    if (const auto cell = ownership.cellToHandBack(now))
        handBack(*cell);
    exchangeMachineStatus();
    if (duty)
        duty->tick();
    sendAnnouncementIfDue(now);
    reportLoad();
    isReady = !isLeaving && hasCells;
    ownsAnyPart = !cells.empty() || duty;
}

void JobNode::State::reportLoad()
{
    const TimePoint now = clock.now();
    if (!loadMonitor.isReportDue(now))
        return;
    NodeLoadContext context { cells.size() };
    for (const auto& [cell, host] : cells)
        context.commandsInFlight += host->commandsInFlight();
    loadMonitor.report(control.takeDelays(), context, now);
}

void JobNode::State::handBack(const PoolId& cell)
{
    const auto held = cells.find(cell);
    if (held != cells.end())
        held->second->handBack();
    else if (duty && cell == machinePart)
        duty->handBack();
}

void JobNode::State::addOwnCells(jobs::NodeAnnouncement& news) const
{
    const auto append = [](std::vector<jobs::MachineId>& all, const std::vector<jobs::MachineId>& more) {
        all.insert(all.end(), more.begin(), more.end());
    };
    for (const auto& [cell, host] : cells) {
        append(news.drainedMachines, host->drainedMachines());
        append(news.movableMachines, host->movableMachines());
        news.loads.push_back(host->load());
    }
}

/// What the holder of the duty over machines closes. Its last word holds until its orders can't arrive any more.
std::set<jobs::MachineId> JobNode::State::drainingMachines()
{
    if (duty)
        return duty->drainingMachines();
    const TimePoint now = clock.now();
    const auto holder = ownership.owner(machinePart, now);
    for (const jobs::NodeAnnouncement* news : ownership.liveAnnouncements(now)) {
        if (!holder || news->node != holder->node)
            continue;
        lastDrainingMachines = { news->drainingMachines.begin(), news->drainingMachines.end() };
        drainingReceivedAt = now;
    }
    if (now - drainingReceivedAt > ordersSettle)
        lastDrainingMachines.clear();
    return lastDrainingMachines;
}

void JobNode::State::exchangeMachineStatus()
{
    const auto others = ownership.liveAnnouncements(clock.now());
    const auto closing = drainingMachines();
    for (const auto& [cell, host] : cells)
        host->setDrainingMachines(closing);
    const auto holder = ownership.owner(machinePart, clock.now());
    drainingMachinesSequence = holder ? ownership.latestSequenceOf(holder->node, clock.now()) : 0;
    if (!duty)
        return;
    jobs::NodeAnnouncement all;
    addOwnCells(all);
    std::set<jobs::MachineId> emptied { all.drainedMachines.begin(), all.drainedMachines.end() };
    std::set<jobs::MachineId> movable { all.movableMachines.begin(), all.movableMachines.end() };
    for (const jobs::NodeAnnouncement* news : others) {
        for (const jobs::MachineId& machine : news->drainedMachines) {
            if (drainAnnouncements.isKnownAt(machine, news->drainingMachinesSequence))
                emptied.insert(machine);
        }
        movable.insert(news->movableMachines.begin(), news->movableMachines.end());
        all.loads.insert(all.loads.end(), news->loads.begin(), news->loads.end());
    }
    duty->setCellStatus(std::move(movable), std::move(emptied), all.loads);
}

void JobNode::State::sendAnnouncement()
{
    const TimePoint now = clock.now();
    send(ownership.announcement(), ownership.announcementAddresses(now), now);
}

void JobNode::State::sendAnnouncementIfDue(TimePoint now)
{
    jobs::NodeAnnouncement news = ownership.announcement();
    const auto addresses = ownership.announcementAddresses(now);
    if (announcementPace.isDue(news, addresses, now))
        send(std::move(news), addresses, now);
}

/// Whole news goes to the holder of the duty over machines alone; the others need to know what is owned and closing.
void JobNode::State::send(jobs::NodeAnnouncement news, const std::vector<std::string>& addresses, TimePoint now)
{
    announcementPace.onSent(news, addresses, now);
    if (duty) {
        const auto machines = duty->drainingMachines();
        drainAnnouncements.record(machines, news.sequence);
        news.drainingMachines.assign(machines.begin(), machines.end());
    }
    jobs::NodeAnnouncement whole = news;
    whole.drainingMachinesSequence = drainingMachinesSequence;
    addOwnCells(whole);
    if (const auto holder = ownership.owner(machinePart, now))
        machineOwnerAddress = holder->address;
    for (const std::string& address : addresses)
        network->send(address, address == machineOwnerAddress ? whole : news);
}

void JobNode::State::receive(const peer::Message& message)
{
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
    BOOST_LEAF_AUTO(network, peer::PeerNetwork::create(raw->settings.peerAddress, [raw](peer::Message message) {
        raw->control.post(
            [raw, shared = std::make_shared<peer::Message>(std::move(message))] { raw->receive(*shared); });
    }));
    raw->network = std::move(network);
    raw->start();
    return std::unique_ptr<JobNode>(new JobNode(std::move(state)));
}

std::shared_ptr<const jobs::Configuration> JobNode::configuration() const
{
    const std::lock_guard lock(m_state->configurationMutex);
    return m_state->configuration;
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
        if (state->duty)
            state->duty->handBack();
        state->sendAnnouncement();
    });
    while (m_state->ownsAnyPart && !deadline.hasPassed(m_state->clock.now()))
        std::this_thread::sleep_for(pollStep);
}

} // namespace rattanrack::node
