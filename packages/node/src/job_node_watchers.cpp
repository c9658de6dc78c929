#include "job_node_state.h"
#include "rattanrack/base/log.h"

#include <algorithm>

/// Watchers of the store: the operators' directives, the workers, and the other nodes.
namespace rattanrack::node {

namespace {

using namespace std::chrono_literals;

constexpr Duration membersPeriod = 3s; ///< Between reads of the list of nodes in the store.
constexpr Duration assignmentsPeriod = 9s; ///< Between reads of which cells have which queues.
/// A machine that has moved can be used only once its worker is known.
constexpr Duration workersPeriod = 400ms;
constexpr Duration configurationWait = 1500ms; ///< Of one request for changes of the operators' directives.
constexpr Duration pauseAfterError = 300ms;
constexpr double millisecondsPerSecond = 1000;

const char* nameOf(ConfigurationWay way)
{
    switch (way) {
    case ConfigurationWay::Read:
        return "read";
    case ConfigurationWay::Feed:
        return "feed";
    }
    return "";
}

double seconds(Duration duration) { return std::chrono::duration<double> { duration }.count(); }

} // namespace

template <typename Work> void JobNode::State::loopUntilStopped(Duration period, Work work)
{
    while (!isStopped) {
        work();
        const auto next = Deadline::after(clock.now(), period);
        while (!isStopped && !next.hasPassed(clock.now()))
            std::this_thread::sleep_for(std::min(next.remaining(clock.now()), Duration { 100ms }));
    }
}

void JobNode::State::applyConfiguration(jobs::Configuration next)
{
    const auto current = configuration;
    if (current && current->version >= next.version)
        return;
    auto shared = std::make_shared<const jobs::Configuration>(std::move(next));
    {
        const std::lock_guard lock(configurationMutex);
        configuration = shared;
    }
    queueRoutes = std::make_shared<const jobs::QueueRoutes>(shared->queueRoutes());
    mustReadAssignments = true;
    setCellsInUse();
    hasConfiguredCells = true;
    for (auto& [cell, host] : cells)
        configure(*host);
}

void JobNode::State::configure(CellHost& host) const
{
    host.configure(*configuration);
    host.setRoutes(configuration->version, queueRoutes);
    host.setQueuesOfEarlierRelease(configuration->routes);
}

/// Cells of accepted jobs have an owner until the jobs are removed, whether the configuration has a route to them or
/// not. Until the assignments have been read as of the configuration in force, no cell leaves the set, since one whose
/// last route is gone may have jobs that an older read does not show.
void JobNode::State::setCellsInUse()
{
    if (!configuration)
        return;
    std::set<PoolId> next = jobs::cellsInUse(*configuration, assignments);
    if (assignments.version < directivesVersion)
        next.insert(cellsInUse.begin(), cellsInUse.end());
    cellsInUse = std::move(next);
    std::vector<PoolId> owned { cellsInUse.begin(), cellsInUse.end() };
    owned.push_back(machinePart);
    ownership.setCells(std::move(owned), { machinePart });
    if (machineController)
        machineController->configure(*configuration, cellsInUse);
}

/// Reads arrive out of order, since a takeover does one beside the watcher.
void JobNode::State::setAssignments(const jobs::QueueAssignments& read)
{
    if (read.version < assignments.version)
        return;
    assignments = read;
    setCellsInUse();
    for (auto& [cell, host] : cells)
        host->setAssignments(assignments);
}

void JobNode::State::readAssignmentsIfDue()
{
    const TimePoint now = clock.now();
    if (!mustReadAssignments.exchange(false) && !nextAssignmentsRead.hasPassed(now))
        return;
    nextAssignmentsRead = Deadline::after(now, assignmentsPeriod);
    auto read = valueOrNothing([&] { return jobs::readQueueAssignments(ports.store); },
        [](const Error& error) {
            logEvent("queues.unread", { { "error", describe(error) } }, LogLevel::Warning);
        });
    if (!read) {
        mustReadAssignments = true;
        return;
    }
    control.post(
        [this, shared = std::make_shared<jobs::QueueAssignments>(std::move(*read))] { setAssignments(*shared); });
}

void JobNode::State::reportConfiguration(const jobs::Configuration& next, ConfigurationWay way, Duration silence)
{
    logEvent("configuration.in_force",
        { { "version", next.version }, { "routes", next.routes.size() }, { "customers", next.customers.size() },
            { "keys", next.keys ? next.keys->size() : 0 }, { "way", nameOf(way) }, { "silentMs", silence / 1ms } });
    metrics.setGauge("rattanrack_configuration_version", {}, static_cast<double>(next.version));
    metrics.setGauge("rattanrack_configuration_in_force_since_seconds", {},
        static_cast<double>(wallClockMilliseconds()) / millisecondsPerSecond);
    metrics.setGauge("rattanrack_configuration_silence_seconds", {}, seconds(silence));
    metrics.increment("rattanrack_configurations_total", { { "way", nameOf(way) } });
}

/// Reads arrive out of order, since the watcher is not the only one that reads.
void JobNode::State::applyDirectives(const jobs::FleetDirectives& directives, ConfigurationWay way, Duration silence)
{
    if (directives.version < directivesVersion)
        return;
    directivesVersion = directives.version;
    const auto& next = directives.configuration;
    if (next && (!configuration || configuration->version < next->version)) {
        reportConfiguration(*next, way, silence);
        applyConfiguration(*next);
    }
    waves = directives.waves;
    if (machineController)
        machineController->setWaves(waves);
}

/// Returns false if they could not be read.
bool JobNode::State::readDirectives(ConfigurationWay way)
{
    auto directives = valueOrNothing([&] { return ports.fleet.directives(); },
        [](const Error& error) {
            logEvent("orders.unread", { { "error", describe(error) } }, LogLevel::Warning);
        });
    if (!directives)
        return false;
    watchedVersion = directives->version;
    const Duration silence = clock.now() - watcherRespondedAt.load();
    control.post([this, silence, way, shared = std::make_shared<jobs::FleetDirectives>(std::move(*directives))] {
        applyDirectives(*shared, way, silence);
    });
    return true;
}

/// Waits until directives have changed after `version` or the feed has failed.
ConfigurationWay JobNode::State::waitForDirectives(jobs::RowVersion version)
{
    while (!isStopped) {
        const auto hasChanged = valueOrNothing(
            [&] { return ports.fleet.waitForChange(version, configurationWait); }, [](const Error&) {});
        if (!hasChanged) {
            std::this_thread::sleep_for(pauseAfterError);
            return ConfigurationWay::Read;
        }
        if (*hasChanged)
            return ConfigurationWay::Feed;
        watcherRespondedAt = clock.now();
    }
    return ConfigurationWay::Read;
}

void JobNode::State::watchConfiguration()
{
    ConfigurationWay way = ConfigurationWay::Read;
    while (!isStopped) {
        if (!readDirectives(way)) {
            std::this_thread::sleep_for(pauseAfterError);
            continue;
        }
        watcherRespondedAt = clock.now();
        way = waitForDirectives(watchedVersion);
    }
}

/// Lists arrive out of order, since a takeover reads one beside the watcher. A row of a pool that is neither configured
/// nor has accepted jobs may have been written by something else than a worker, and proves nothing about the machine
/// that it names.
void JobNode::State::setWorkers(WorkerList list)
{
    const auto isOfUnknownPool = [&](const jobs::WorkerDescription& each) {
        return !cellsInUse.contains(each.pool) && !(configuration && configuration->hasPool(each.pool));
    };
    std::erase_if(list.workers, isOfUnknownPool);
    if (list.requestedAt >= workers.requestedAt)
        workers = std::move(list);
}

std::optional<WorkerList> JobNode::State::readWorkers()
{
    const TimePoint askedAt = clock.now();
    auto listed = valueOrNothing([&] { return ports.fleet.workers(); },
        [](const Error& error) {
            logEvent("workers.unread", { { "error", describe(error) } }, LogLevel::Warning);
        });
    if (!listed)
        return std::nullopt;
    return WorkerList { std::move(*listed), askedAt };
}

void JobNode::State::watchWorkers()
{
    loopUntilStopped(workersPeriod, [this] {
        if (!ownsAnyPart)
            return;
        auto list = readWorkers();
        if (!list)
            return;
        control.post([this, shared = std::make_shared<WorkerList>(std::move(*list))] {
            setWorkers(std::move(*shared));
            for (auto& [cell, host] : cells)
                host->setWorkers(workers);
        });
    });
}

void JobNode::State::registerSelf()
{
    nextRegistration = Deadline::after(clock.now(), jobs::nodeRegistrationPeriod);
    const auto outcome = ports.store.commit(jobs::registrationOf(self, settings.peerAddress, wallClockMilliseconds()));
    if (outcome.status == jobs::TransactionStatus::Done)
        return;
    nextRegistration = Deadline::after(clock.now(), Duration {});
    logEvent("node.not_registered", { { "detail", outcome.detail } }, LogLevel::Warning);
}

/// Only the owner of the machine part does this, so that the nodes don't all write the same.
void JobNode::State::removeGoneNodes(const jobs::NodeTable& table)
{
    if (!ownsMachinePart)
        return;
    for (const jobs::PartTransaction& removal : table.removalsOfGoneNodes(clock.now())) {
        const auto outcome = ports.store.commit(removal);
        const bool isRemoved = outcome.status == jobs::TransactionStatus::Done;
        logEvent("nodes.removed",
            { { "rows", removal.writes.size() }, { "first", removal.writes.front().row.key },
                { "outcome", isRemoved ? "done" : "not now" }, { "detail", outcome.detail } });
        metrics.increment("rattanrack_node_rows_removed_total", {}, isRemoved ? removal.writes.size() : 0);
    }
}

void JobNode::State::watchMembers()
{
    registerSelf();
    jobs::NodeTable table;
    loopUntilStopped(membersPeriod, [this, &table] {
        readAssignmentsIfDue();
        const TimePoint requestedAt = clock.now();
        const auto rows = valueOrNothing([&] { return jobs::readAll(ports.store, jobs::nodeTable, jobs::nodePart); });
        if (!rows)
            return;
        table.setRows(rows->rows, requestedAt, wallClockMilliseconds());
        if (!table.contains(settings.peerAddress) || nextRegistration.hasPassed(clock.now()))
            registerSelf();
        removeGoneNodes(table);
        const auto addresses = table.addresses();
        network->setNodeCount(addresses.size());
        metrics.setGauge("rattanrack_node_rows", {}, static_cast<double>(addresses.size()));
        for (const std::string& address : table.removedAddresses())
            network->disconnect(address);
        control.post([this, addresses] { ownership.setListedAddresses(addresses, clock.now()); });
    });
}

} // namespace rattanrack::node
