#pragma once

#include "rattanrack/jobs/cell.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <set>

namespace rattanrack::jobs::tests {

using namespace std::chrono_literals;

constexpr Duration longestLease = 6s; ///< Workers shorten longer leases to this length.

/// A cell of two workers; the test supplies the results of its commands.
class CellHarness {
public:
    /// As the first owner, after both workers have responded.
    CellHarness()
        : CellHarness(1, {})
    {
        answerAllPolls();
        confirmOwnership();
        m_now += 1ms; // What follows is later than that transaction.
    }

    /// As an owner that has just taken the cell over with these jobs, and has contacted no worker yet.
    CellHarness(Fence fence, std::vector<StoredJob> jobs, const OutstandingLeases& leasesAtHandBack = {})
        : m_cell({ PoolId { "p" }, fence, 4500ms, 10500ms, 120s, 900ms, longestLease }, std::move(jobs),
            inheritedWorkers(fence), m_now, unixMs(), leasesAtHandBack)
    {
        m_cell.configure({ { QueueId { "q" }, PoolId { "p" }, 0, 3, 1.6, 600ms } });
        std::vector<WorkerDescription> workers;
        for (const char* name : { "w1", "w2" }) {
            WorkerDescription worker { WorkerId { name }, MachineId { name }, PoolId { "p" }, "10.0.0.1:1" };
            worker.capacity = { Millicores { 1000 }, Mebibytes { 1000 }, {} };
            worker.incarnationUnixMs = 1;
            workers.push_back(worker);
        }
        listWorkers(workers);
        confirmOwnership();
        advance(10ms);
    }

    /// Answers all polls: nothing runs, nothing has ended.
    void answerAllPolls()
    {
        for (const PollCommand& poll : takeCommands<PollCommand>())
            respond(poll, {});
    }

    void listWorkers(std::vector<WorkerDescription> workers)
    {
        m_listed = std::move(workers);
        m_cell.setWorkers(m_listed, m_now, m_now);
    }
    void listWorkersAsOf(const std::vector<WorkerDescription>& workers, TimePoint requestedAt)
    {
        m_cell.setWorkers(workers, requestedAt, m_now);
    }
    std::vector<WorkerDescription> listed() const { return m_listed; }

    /// Answers the poll of one worker; polls of other workers stay in flight.
    void answerPoll(const char* worker, std::vector<RunningRun> running, std::vector<EndedRun> endedRuns = {})
    {
        std::optional<PollCommand> poll;
        std::erase_if(m_commands, [&](const WorkerCommand& command) {
            const auto* typed = std::get_if<PollCommand>(&command);
            const bool isMatch = typed && typed->worker.value() == worker;
            if (isMatch)
                poll = *typed;
            return isMatch;
        });
        ASSERT_TRUE(poll.has_value()) << "no poll in flight for " << worker;
        respond(*poll, std::move(running), std::move(endedRuns));
    }

    /// Answers the poll of a worker whose first incarnation began at that time.
    void respondAs(const char* worker, std::int64_t incarnationUnixMs)
    {
        m_laterIncarnations[WorkerId { worker }] = { incarnationUnixMs, unixMs() };
        answerPoll(worker, {});
    }

    /// A transaction is sent now and succeeds.
    void confirmOwnership()
    {
        const WorkerMachines workers = m_cell.workersInUse();
        const std::set<MachineId> drained = m_cell.drainedMachinesToStore(m_now);
        m_cell.onWorkerListSent(workers, m_now);
        m_cell.onDrainedMachinesSent(drained);
        m_cell.onWorkerListStored(workers);
        m_cell.onDrainedMachinesStored(drained);
    }

    Cell& cell() { return m_cell; }
    TimePoint now() const { return m_now; }

    void submitAndStore(const std::string& id, Millicores size = Millicores { 800 })
    {
        Job job { JobId { id }, QueueId { "q" }, unixMs(), { "text", { {} }, {} } };
        job.spec.steps[0].size = { size, Mebibytes { 100 }, {} };
        job.spec.steps[0].declaredRunTime = 500ms;
        EXPECT_EQ(m_cell.submit(job, 1, m_now), Acceptance::Pending);
        storeChanges();
    }

    /// Submits a job and returns the start of its only task.
    StartCommand submitAndTakeStart(const std::string& id)
    {
        submitAndStore(id);
        advance(10ms);
        return takeCommands<StartCommand>().at(0);
    }

    void storeChanges()
    {
        if (m_cell.takeCommit(unixMs()))
            m_cell.onCommitted(unixMs());
    }

    void advance(Duration time, Authority authority = Authority::Full)
    {
        m_now += time;
        CellOutput output = m_cell.advance(m_now, unixMs(), authority);
        std::move(output.commands.begin(), output.commands.end(), std::back_inserter(m_commands));
        std::move(output.events.begin(), output.events.end(), std::back_inserter(m_events));
        std::move(output.adviceRequests.begin(), output.adviceRequests.end(), std::back_inserter(m_adviceRequests));
    }

    /// Returns the commands of one type that have been issued since the last call.
    template <typename CommandType> std::vector<CommandType> takeCommands()
    {
        std::vector<CommandType> taken;
        std::erase_if(m_commands, [&](const WorkerCommand& command) {
            const auto* typed = std::get_if<CommandType>(&command);
            if (typed)
                taken.push_back(*typed);
            return typed != nullptr;
        });
        return taken;
    }

    /// Returns the requests for tickets that have been issued since the last call.
    std::vector<AdviceRequest> takeAdviceRequests() { return std::exchange(m_adviceRequests, {}); }

    void respond(const PollCommand& poll, std::vector<RunningRun> running, std::vector<EndedRun> endedRuns = {})
    {
        const TimePoint sentAt = m_now;
        m_now += 2ms;
        m_cell.onResult(poll,
            { CommandStatus::Done, RefusalReason::None,
                { incarnationOf(poll.worker).incarnationUnixMs, clockMs(poll.worker), std::move(running),
                    std::move(endedRuns) },
                poll.ackedThrough, m_isBound },
            sentAt, m_now);
    }
    /// From now on workers keep their connections: no command reaches a later incarnation than it is meant for.
    void bindCommands() { m_isBound = true; }

    void respond(const StartCommand& command, CommandStatus status, RefusalReason refusal = RefusalReason::None)
    {
        const std::int64_t shownClockMs = status == CommandStatus::NoResponse ? 0 : clockMs(command.worker);
        m_cell.onResult(command, { status, refusal, shownClockMs, m_isBound }, m_now);
    }
    /// The worker's process ends while the poll waits.
    void endConnection(const PollCommand& poll)
    {
        PollResult result;
        result.isConnectionEnded = true;
        result.receivedAt = m_now;
        result.isBound = m_isBound;
        m_cell.onResult(poll, result, m_now, m_now);
    }

    /// The worker's process ends before it has answered the start.
    void endConnection(const StartCommand& command)
    {
        CommandResult result;
        result.isConnectionEnded = true;
        result.receivedAt = m_now;
        result.isBound = m_isBound;
        m_cell.onResult(command, result, m_now);
    }

    /// The worker responds until it has survived the start, and runs nothing else.
    void surviveStart(const StartCommand& start)
    {
        for (int polls = 0; polls < 2; ++polls) {
            advance(300ms);
            answerPoll(start.worker.value().c_str(), { { start.task, start.run, "", 0 } });
        }
    }

    /// Run events of one kind so far.
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

    template <typename EventType> std::vector<EventType> eventsOf() const
    {
        std::vector<EventType> found;
        for (const CellEvent& event : m_events) {
            if (const auto* each = std::get_if<EventType>(&event))
                found.push_back(*each);
        }
        return found;
    }

    std::vector<MissingRunEvent> missingRunEvents() const { return eventsOf<MissingRunEvent>(); }

    void dropPoll(const PollCommand& poll)
    {
        PollResult result;
        result.isBound = m_isBound;
        m_cell.onResult(poll, result, m_now, m_now);
    }

    void dropPolls()
    {
        for (const PollCommand& poll : takeCommands<PollCommand>())
            dropPoll(poll);
    }

    /// The workers' clock in their first incarnation.
    std::int64_t clockMs() const { return unixMs() - 900'000; }

    /// The worker crashes and restarts at once under its id: it runs nothing, and its clock starts anew.
    void restartWorker(const WorkerId& worker, Duration initialClock = {})
    {
        m_laterIncarnations[worker]
            = { incarnationOf(worker).incarnationUnixMs + 1, unixMs() - initialClock.count() / 1000 };
    }

    /// Restarts all workers; the list shows it.
    void restartAllWorkers(Duration initialClock = {})
    {
        for (const WorkerDescription& worker : m_listed)
            restartWorker(worker.id, initialClock);
        listIncarnations();
    }

    /// Lists the current incarnations.
    void listIncarnations()
    {
        for (WorkerDescription& worker : m_listed)
            worker.incarnationUnixMs = incarnationOf(worker.id).incarnationUnixMs;
        listWorkers(m_listed);
    }

private:
    struct Incarnation {
        std::int64_t incarnationUnixMs { 1 };
        std::int64_t clockStartMs { 900'000 };
    };
    Incarnation incarnationOf(const WorkerId& worker) const
    {
        const auto later = m_laterIncarnations.find(worker);
        return later == m_laterIncarnations.end() ? Incarnation {} : later->second;
    }
    std::int64_t clockMs(const WorkerId& worker) const { return unixMs() - incarnationOf(worker).clockStartMs; }

    static WorkerMachines inheritedWorkers(Fence fence)
    {
        if (fence == 1)
            return {};
        return { { WorkerId { "w1" }, MachineId { "w1" } }, { WorkerId { "w2" }, MachineId { "w2" } } };
    }

    std::int64_t unixMs() const { return m_now.time_since_epoch().count() / 1000; }
    TimePoint m_now { 1000s };
    Cell m_cell;
    std::vector<WorkerCommand> m_commands;
    std::vector<WorkerDescription> m_listed;
    std::vector<CellEvent> m_events;
    std::vector<AdviceRequest> m_adviceRequests;
    bool m_isBound { false };
    std::map<WorkerId, Incarnation> m_laterIncarnations; ///< Incarnations after the first.
};

} // namespace rattanrack::jobs::tests
