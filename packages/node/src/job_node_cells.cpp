#include "job_node_state.h"
#include "rattanrack/base/log.h"

/// Cells and the duty over machines: taken, lost, handed back.
namespace rattanrack::node {

void JobNode::State::takeCells()
{
    for (const PoolId& cell : ownership.toTake(clock.now())) {
        if (holds(cell) || !beingTaken.insert(cell).second)
            continue;
        if (cell == machineDutyName)
            takeDuty();
        else
            take(cell);
    }
}

void JobNode::State::take(const PoolId& cell)
{
    const bool isSubmitted = storePool.submit([this, cell] {
        auto takeover = valueOrNothing([&] { return takeOver(ports.store, cell, self); },
            [&](const Error& error) {
                logEvent(
                    "cell.not_taken", { { "cell", cell.value() }, { "error", describe(error) } }, LogLevel::Warning);
            });
        control.post([this, cell, shared = std::make_shared<std::optional<Takeover>>(std::move(takeover))] {
            taken(cell, std::move(*shared));
        });
    });
    if (!isSubmitted)
        taken(cell, std::nullopt);
}

void JobNode::State::taken(const PoolId& cell, std::optional<Takeover> takeover)
{
    beingTaken.erase(cell);
    if (!takeover) {
        ownership.takingFailed(cell, clock.now());
        return;
    }
    logEvent("cell.taken",
        { { "cell", cell.value() }, { "term", takeover->taken.part.term() }, { "jobs", takeover->jobs.size() } });
    CellHost::Parts parts { control, clock, metrics, storePool, workerPool, ports.store, ports.workers, ports.advisor,
        &advisorPool, [this](jobs::CallToken token, bool isStored) { stored(token, isStored); },
        [this, cell] { cellLost(cell); } };
    auto host = std::make_unique<CellHost>(
        std::move(parts), cell, CellTimes { settings.leaseLength, settings.keepEnded }, std::move(*takeover));
    if (configuration)
        host->configure(configuration->queuesOf(cell));
    host->setWorkers(workers);
    ownership.taken(cell, host->term());
    cells[cell] = std::move(host);
    if (isLeaving)
        cells[cell]->handBack();
    sendNews();
}

void JobNode::State::takeDuty()
{
    const bool isSubmitted = storePool.submit([this] {
        auto takeover = valueOrNothing([&] { return takeMachineDuty(ports.store, self); },
            [&](const Error& error) {
                logEvent("machines.not_taken", { { "error", describe(error) } }, LogLevel::Warning);
            });
        control.post([this, shared = std::make_shared<std::optional<MachineDutyTakeover>>(std::move(takeover))] {
            dutyTaken(std::move(*shared));
        });
    });
    if (!isSubmitted)
        dutyTaken(std::nullopt);
}

void JobNode::State::dutyTaken(std::optional<MachineDutyTakeover> takeover)
{
    beingTaken.erase(machineDutyName);
    if (!takeover) {
        ownership.takingFailed(machineDutyName, clock.now());
        return;
    }
    duty = std::make_unique<MachineDuty>(MachineDuty::Parts { control, clock, storePool, ports.store, ports.machines,
                                             ports.fleet, self, [this] { dutyLost(); } },
        std::move(*takeover));
    logEvent("machines.taken", { { "term", duty->term() } });
    if (configuration)
        duty->configure(*configuration);
    duty->setWaves(waves);
    ownership.taken(machineDutyName, duty->term());
    if (isLeaving)
        duty->handBack();
}

void JobNode::State::dutyLost()
{
    logEvent("machines.dropped");
    duty.reset();
    ownership.dropped(machineDutyName);
    ownership.takingFailed(machineDutyName, clock.now());
}

void JobNode::State::cellLost(const PoolId& cell)
{
    logEvent("cell.dropped", { { "cell", cell.value() } });
    cells.erase(cell);
    ownership.dropped(cell);
    ownership.takingFailed(cell, clock.now());
    holdsAny = !cells.empty() || duty;
    sendNews();
}

} // namespace rattanrack::node
