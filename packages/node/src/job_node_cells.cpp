#include "job_node_state.h"
#include "rattanrack/base/log.h"

/// Cells and the duty over machines: taken, lost, handed back.
namespace rattanrack::node {

void JobNode::State::takeCells()
{
    if (standstill.isViewOld(clock.now()))
        return;
    for (const PoolId& cell : ownership.toTake(clock.now())) {
        if (owns(cell) || !beingTaken.insert(cell).second)
            continue;
        if (cell == machineDutyName)
            startMachineTakeover();
        else
            startCellTakeover(cell);
    }
}

/// Runs `work`, which takes a part over, on a thread of the store, and `then` with what it brought on the control
/// thread.
template <typename Work, typename Then>
void JobNode::State::takePartBy(const PoolId& part, const char* failure, Work work, Then then)
{
    const auto finish = [this, part, then = std::move(then)](auto takeover) {
        beingTaken.erase(part);
        if (takeover)
            then(*std::move(takeover));
        else
            ownership.takingFailed(part, clock.now());
    };
    using Outcome = decltype(valueOrNothing(work));
    const bool isSubmitted = storePool.submit([this, part, failure, work = std::move(work), finish] {
        auto takeover = valueOrNothing(work, [&](const Error& error) {
            logEvent(failure, { { "cell", part.value() }, { "error", describe(error) } }, LogLevel::Warning);
        });
        control.post([finish, shared = std::make_shared<Outcome>(std::move(takeover))] { finish(std::move(*shared)); });
    });
    if (!isSubmitted)
        finish(Outcome {});
}

void JobNode::State::startCellTakeover(const PoolId& cell)
{
    takePartBy(
        cell, "cell.not_taken",
        [this, cell]() -> Result<Takeover> {
            BOOST_LEAF_AUTO(takeover, takeOverCell(ports.store, clock, cell, self));
            takeover.workers = readWorkers();
            return takeover;
        },
        [this, cell](Takeover takeover) { onCellTakenOver(cell, std::move(takeover)); });
}

void JobNode::State::onCellTakenOver(const PoolId& cell, Takeover takeover)
{
    logEvent("cell.taken",
        { { "cell", cell.value() }, { "term", takeover.partTakeover.part.term() }, { "jobs", takeover.jobs.size() },
            { "workersUsed", takeover.partTakeover.workers.size() } });
    if (takeover.workers)
        workers = *std::move(takeover.workers);
    CellHost::Parts parts { control, clock, metrics, cellLog, nodeLoad, storePool, workerPool, ports.store,
        ports.workers, ports.advisor, &advisorPool,
        [this](jobs::CallToken token, bool isStored) { onCommitOutcome(token, isStored); }, [this, cell] { cellLost(cell); } };
    auto host = std::make_unique<CellHost>(std::move(parts), cell,
        CellTimes { settings.leaseLength, settings.keepEnded, settings.longestStop, settings.longestListAge,
            settings.longestLease },
        std::move(takeover));
    if (configuration)
        host->configure(configuration->queuesOf(cell));
    host->setWorkers(workers);
    host->setDrainingMachines(closingMachines());
    ownership.onCellTaken(cell, host->term());
    cells[cell] = std::move(host);
    if (isLeaving)
        cells[cell]->handBack();
    sendNews();
}

void JobNode::State::startMachineTakeover()
{
    takePartBy(
        machineDutyName, "machines.not_taken", [this] { return takeMachineDuty(ports.store, clock, self); },
        [this](MachineDutyTakeover takeover) { dutyTaken(std::move(takeover)); });
}

void JobNode::State::dutyTaken(MachineDutyTakeover takeover)
{
    duty = std::make_unique<MachineDuty>(MachineDuty::Parts { control, clock, machinePool, ports.store, ports.machines,
                                             ports.fleet, self, [this] { dutyLost(); } },
        std::move(takeover));
    logEvent("machines.taken", { { "term", duty->term() } });
    if (configuration)
        duty->configure(*configuration);
    duty->setWaves(waves);
    ownership.onCellTaken(machineDutyName, duty->term());
    if (isLeaving)
        duty->handBack();
}

void JobNode::State::dutyLost()
{
    logEvent("machines.dropped");
    duty.reset();
    ownership.onCellDropped(machineDutyName);
    ownership.takingFailed(machineDutyName, clock.now());
}

void JobNode::State::cellLost(const PoolId& cell)
{
    logEvent("cell.dropped", { { "cell", cell.value() } });
    cells.erase(cell);
    giveUpWaiting(cell);
    ownership.onCellDropped(cell);
    ownership.takingFailed(cell, clock.now());
    holdsAny = !cells.empty() || duty;
    sendNews();
}

} // namespace rattanrack::node
