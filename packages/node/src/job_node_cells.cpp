#include "job_node_state.h"
#include "rattanrack/base/log.h"
#include "rattanrack/base/milliseconds.h"

/// Takeover, loss and hand-back of cells and of the machine part.
namespace rattanrack::node {

void JobNode::State::takeOverCells()
{
    const TimePoint now = clock.now();
    if (stallDetector.isViewStale(now))
        return;
    watchOwnerRows(now);
    for (const PoolId& cell : ownership.cellsToTake(now)) {
        const auto condition = takeoverWatch.condition(cell, ownership, now);
        if (!condition || owns(cell) || !takeoversInProgress.insert(cell).second)
            continue;
        if (cell == machinePart)
            startMachineTakeover(*condition);
        else
            startCellTakeover(cell, *condition);
    }
}

/// Reads the owner rows of the cells that this node may have to take over soon.
void JobNode::State::watchOwnerRows(TimePoint now)
{
    const auto watched = ownership.cellsToWatch(now);
    takeoverWatch.keepOnly(watched);
    for (const PoolId& cell : watched) {
        const bool isDue = takeoverWatch.isReadDue(cell, now) && !takeoversInProgress.contains(cell);
        if (isDue && ownerReadsInProgress.insert(cell).second)
            readOwnerRow(cell, now);
    }
}

void JobNode::State::readOwnerRow(const PoolId& cell, TimePoint now)
{
    const bool isSubmitted = storePool.submit([this, cell, now] {
        auto sighting = valueOrNothing([&] { return readOwner(ports.store, cell); });
        control.post([this, cell, now, sighting = std::move(sighting)] {
            ownerReadsInProgress.erase(cell);
            if (sighting)
                takeoverWatch.onRead(cell, *sighting, now, clock.now());
        });
    });
    if (!isSubmitted)
        ownerReadsInProgress.erase(cell);
}

/// Announces the cell before its rows are read, which takes time, so that no other node takes it meanwhile.
void JobNode::State::announcePart(const PoolId& cell, const PartTakeover& takeover)
{
    control.post([this, cell, term = takeover.part.term(), previous = previousOwner(takeover)] {
        if (cell != machinePart && previous.term > 0)
            ownership.onPreviousOwner(cell, previous, clock.now());
        ownership.onCellTaken(cell, term, clock.now());
        sendAnnouncement();
    });
}

/// Runs `work`, which takes a part over, on a store thread, and then `then` with its result on the control thread. Logs
/// the event `failureEvent` if `work` fails.
template <typename Work, typename Then>
void JobNode::State::runTakeover(const PoolId& part, const char* failureEvent, Work work, Then then)
{
    const auto finish = [this, part, then = std::move(then)](auto takeover) {
        takeoversInProgress.erase(part);
        if (takeover)
            return then(*std::move(takeover));
        takeoverWatch.onTakeFailed(part, clock.now());
        ownership.onCellDropped(part, clock.now());
        ownership.onTakeFailed(part, clock.now());
    };
    using Outcome = decltype(valueOrNothing(work));
    const bool isSubmitted = storePool.submit([this, part, failureEvent, work = std::move(work), finish] {
        auto takeover = valueOrNothing(work, [&](const Error& error) {
            logEvent(failureEvent, { { "cell", part.value() }, { "error", describe(error) } }, LogLevel::Warning);
        });
        control.post([finish, shared = std::make_shared<Outcome>(std::move(takeover))] { finish(std::move(*shared)); });
    });
    if (!isSubmitted)
        finish(Outcome {});
}

void JobNode::State::startCellTakeover(const PoolId& cell, const jobs::TakeoverCondition& condition)
{
    runTakeover(
        cell, "cell.not_taken",
        [this, cell, condition]() -> Result<CellTakeover> {
            BOOST_LEAF_AUTO(part, takeOverPart(ports.store, clock, cell, self, condition));
            announcePart(cell, part);
            BOOST_LEAF_AUTO(takeover, readCell(ports.store, std::move(part), cell));
            takeover.workers = readWorkers();
            return takeover;
        },
        [this, cell](CellTakeover takeover) { onCellTakenOver(cell, std::move(takeover)); });
}

/// `silentMs`: time since the last announcement of the former owner; -1 if this node has received none.
void JobNode::State::reportTakeover(
    const char* event, const PoolId& cell, const PartTakeover& takeover, std::size_t jobs)
{
    const NodeId& former = takeover.previousHolder;
    const auto silence = ownership.silence(former, clock.now());
    const char* state = former.isEmpty() ? "none" : silence ? "silent" : "unknown";
    metrics.increment("rattanrack_takeovers_total", { { "former", state } });
    logEvent(event,
        { { "cell", cell.value() }, { "term", takeover.part.term() }, { "jobs", jobs },
            { "workersUsed", takeover.workers.size() }, { "from", former.value() },
            { "silentMs", silence ? milliseconds(*silence) : -1 } });
}

void JobNode::State::onCellTakenOver(const PoolId& cell, CellTakeover takeover)
{
    reportTakeover("cell.taken", cell, takeover.partTakeover, takeover.jobs.size());
    if (takeover.workers)
        setWorkers(*std::move(takeover.workers));
    setAssignments(takeover.assignments);
    CellHost::Parts parts { control, clock, metrics, cellLog, loadMonitor, storePool, workerPool, ports.store,
        ports.workers, ports.advisor, &advisorPool, [this](const jobs::CallerReply& reply) { onCallerReply(reply); },
        [this, cell](const jobs::QueueAddress& queue) { handleDeferredCalls(cell, queue); },
        [this, cell] { onCellLost(cell); } };
    auto host = std::make_unique<CellHost>(std::move(parts), cell,
        CellTimeLimits { settings.leaseLength, settings.keepEnded, settings.longestStop, settings.longestListAge,
            settings.longestLease },
        std::move(takeover));
    if (configuration)
        configure(*host);
    host->setWorkers(workers);
    host->setDrainingMachines(drainingMachines());
    cells[cell] = std::move(host);
    if (isLeaving)
        cells[cell]->handBack();
    sendAnnouncement();
}

void JobNode::State::startMachineTakeover(const jobs::TakeoverCondition& condition)
{
    runTakeover(
        machinePart, "machines.not_taken",
        [this, condition]() -> Result<MachineTakeover> {
            BOOST_LEAF_AUTO(part, takeOverPart(ports.store, clock, machinePart, self, condition));
            announcePart(machinePart, part);
            return readMachines(ports.store, std::move(part));
        },
        [this](MachineTakeover takeover) { onMachinesTakenOver(std::move(takeover)); });
}

void JobNode::State::onMachinesTakenOver(MachineTakeover takeover)
{
    reportTakeover("machines.taken", machinePart, takeover.partTakeover, 0);
    machineController
        = std::make_unique<MachineController>(MachineController::Parts { control, clock, machinePool, ports.store,
                                                  ports.machines, ports.fleet, self, [this] { onMachinesLost(); } },
            std::move(takeover));
    if (configuration)
        machineController->configure(*configuration, cellsInUse);
    machineController->setWaves(waves);
    if (isLeaving)
        machineController->handBack();
}

void JobNode::State::onMachinesLost()
{
    logEvent("machines.dropped");
    machineController.reset();
    ownership.onCellDropped(machinePart, clock.now());
    ownership.onTakeFailed(machinePart, clock.now());
}

void JobNode::State::onCellLost(const PoolId& cell)
{
    logEvent("cell.dropped", { { "cell", cell.value() } });
    cells.erase(cell);
    failWaitingCalls(cell);
    ownership.onCellDropped(cell, clock.now());
    ownership.onTakeFailed(cell, clock.now());
    ownsAnyPart = !cells.empty() || machineController;
    sendAnnouncement();
}

} // namespace rattanrack::node
