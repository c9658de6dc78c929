#pragma once

#include "rattanrack/jobs/cell.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>

namespace rattanrack::jobs::tests {

using namespace std::chrono_literals;

constexpr Duration longestLease = 6s; ///< Workers shorten leases that are longer.

/// A cell of two workers whose answers a test gives by hand.
class CellHarness {
public:
    /// As the first owner, who has heard both workers.
    CellHarness()
        : CellHarness(1, {})
    {
        answerAllPolls();
    }

    /// As an owner who has just taken the cell over with these jobs, and has heard no worker yet.
    CellHarness(Fence fence, std::vector<StoredJob> jobs, const OutstandingLeases& held = {})
        : m_cell({ PoolId { "p" }, fence, 4500ms, 10500ms, 120s, 900ms, longestLease }, std::move(jobs),
            earlierWorkers(fence), m_now, unixMs(), held)
    {
        m_cell.configure({ { QueueId { "q" }, PoolId { "p" }, 0, 3, 1.6, 600ms } });
        std::vector<WorkerDescription> workers;
        for (const char* name : { "w1", "w2" }) {
            WorkerDescription worker { WorkerId { name }, MachineId { name }, PoolId { "p" }, "10.0.0.1:1" };
            worker.capacity = { Millicores { 1000 }, Mebibytes { 1000 }, {} };
            worker.incarnationUnixMs = 1;
            workers.push_back(worker);
        }
        list(workers);
        confirm();
        step(10ms);
    }

    /// Answers all looks: nothing runs, nothing has ended.
    void answerAllPolls()
    {
        for (const PollCommand& look : take<PollCommand>())
            answer(look, {});
    }

    void list(std::vector<WorkerDescription> workers)
    {
        m_listed = std::move(workers);
        m_cell.setWorkers(m_listed, m_now, m_now);
    }
    void listAsOf(const std::vector<WorkerDescription>& workers, TimePoint askedAt)
    {
        m_cell.setWorkers(workers, askedAt, m_now);
    }
    std::vector<WorkerDescription> listed() const { return m_listed; }

    /// Answers the look at one worker; others that are on their way stay unanswered.
    void hear(const char* worker, std::vector<RunningRun> running, std::vector<EndedRun> ends = {})
    {
        std::optional<PollCommand> look;
        std::erase_if(m_orders, [&](const WorkerCommand& order) {
            const auto* one = std::get_if<PollCommand>(&order);
            const bool isIt = one && one->worker.value() == worker;
            if (isIt)
                look = *one;
            return isIt;
        });
        ASSERT_TRUE(look.has_value()) << "no look at " << worker;
        answer(*look, std::move(running), std::move(ends));
    }

    /// A transaction is sent now and succeeds.
    void confirm()
    {
        const WorkerMachines workers = m_cell.workersInUse();
        m_cell.onWorkerListSent(workers, m_now);
        m_cell.onWorkerListStored(workers);
    }

    Cell& cell() { return m_cell; }
    TimePoint now() const { return m_now; }

    void submitAndStore(const std::string& id, Millicores size = Millicores { 800 })
    {
        Job job { JobId { id }, QueueId { "q" }, unixMs(), { "text", { {} }, {} } };
        job.spec.steps[0].size = { size, Mebibytes { 100 }, {} };
        job.spec.steps[0].declaredRunTime = 500ms;
        EXPECT_EQ(m_cell.submit(job, 1, m_now), Acceptance::Pending);
        store();
    }

    /// The start of the only subtask of a new job.
    StartCommand startOf(const std::string& id)
    {
        submitAndStore(id);
        step(10ms);
        return take<StartCommand>().at(0);
    }

    void store()
    {
        if (m_cell.takeCommit(unixMs()))
            m_cell.onCommitted(unixMs());
    }

    void step(Duration time, Authority authority = Authority::Full)
    {
        m_now += time;
        CellOutput output = m_cell.advance(m_now, unixMs(), authority);
        std::move(output.commands.begin(), output.commands.end(), std::back_inserter(m_orders));
        std::move(output.events.begin(), output.events.end(), std::back_inserter(m_events));
    }

    /// The orders of one kind that have been given since the last time.
    template <typename OrderType> std::vector<OrderType> take()
    {
        std::vector<OrderType> taken;
        std::erase_if(m_orders, [&](const WorkerCommand& order) {
            const auto* one = std::get_if<OrderType>(&order);
            if (one)
                taken.push_back(*one);
            return one != nullptr;
        });
        return taken;
    }

    void answer(const PollCommand& look, std::vector<RunningRun> running, std::vector<EndedRun> ends = {})
    {
        const TimePoint sentAt = m_now;
        m_now += 2ms;
        m_cell.onResult(look,
            { CommandStatus::Done, RefusalReason::None,
                { lifeOf(look.worker).incarnationUnixMs, clockMs(look.worker), std::move(running), std::move(ends) },
                look.ackedThrough },
            sentAt, m_now);
    }
    void answer(const StartCommand& order, CommandStatus status, RefusalReason refusal = RefusalReason::None)
    {
        m_cell.onResult(
            order, { status, refusal, status == CommandStatus::NoResponse ? 0 : clockMs(order.worker) }, m_now);
    }
    /// What the cell has told of its runs so far.
    std::vector<RunEvent> runEvents(RunEvent::Kind kind) const
    {
        std::vector<RunEvent> found;
        for (const CellEvent& event : m_events) {
            const auto* ofRun = std::get_if<RunEvent>(&event);
            if (ofRun && ofRun->kind == kind)
                found.push_back(*ofRun);
        }
        return found;
    }

    void dropPolls()
    {
        for (const PollCommand& look : take<PollCommand>())
            m_cell.onResult(look, { CommandStatus::NoResponse }, m_now, m_now);
    }

    /// The workers' clock in their first life.
    std::int64_t clockMs() const { return unixMs() - 900'000; }

    /// The worker crashes and is there again at once, under its id: runs nothing, and its clock starts anew.
    void restartWorker(const WorkerId& worker) { m_later[worker] = { lifeOf(worker).incarnationUnixMs + 1, unixMs() }; }

    /// All workers do so, and the list tells.
    void restartAllWorkers()
    {
        for (const WorkerDescription& worker : m_listed)
            restartWorker(worker.id);
        listIncarnations();
    }

    /// The list tells of the lives that are there now.
    void listIncarnations()
    {
        for (WorkerDescription& worker : m_listed)
            worker.incarnationUnixMs = lifeOf(worker.id).incarnationUnixMs;
        list(m_listed);
    }

private:
    struct Life {
        std::int64_t incarnationUnixMs { 1 };
        std::int64_t clockBeganMs { 900'000 };
    };
    Life lifeOf(const WorkerId& worker) const
    {
        const auto later = m_later.find(worker);
        return later == m_later.end() ? Life {} : later->second;
    }
    std::int64_t clockMs(const WorkerId& worker) const { return unixMs() - lifeOf(worker).clockBeganMs; }

    static WorkerMachines earlierWorkers(Fence fence)
    {
        if (fence == 1)
            return {};
        return { { WorkerId { "w1" }, MachineId { "w1" } }, { WorkerId { "w2" }, MachineId { "w2" } } };
    }

    std::int64_t unixMs() const { return m_now.time_since_epoch().count() / 1000; }
    TimePoint m_now { 1000s };
    Cell m_cell;
    std::vector<WorkerCommand> m_orders;
    std::vector<WorkerDescription> m_listed;
    std::vector<CellEvent> m_events;
    std::map<WorkerId, Life> m_later; ///< Lives after the first.
};

} // namespace rattanrack::jobs::tests
