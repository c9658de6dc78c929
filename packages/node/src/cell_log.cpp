#include "rattanrack/node/cell_log.h"

#include "rattanrack/base/log.h"
#include "rattanrack/base/milliseconds.h"

#include <vector>

namespace rattanrack::node {

namespace {

std::string taskName(const jobs::TaskRef& task)
{
    return std::to_string(task.occurrence) + '.' + std::to_string(task.step) + '.' + std::to_string(task.index);
}

template <typename Kind, std::size_t count> const char* nameOf(Kind kind, const char* const (&names)[count])
{
    return names[static_cast<std::size_t>(kind)];
}

struct EventName {
    std::string operator()(const jobs::JobEvent& event) const
    {
        constexpr const char* names[]
            = { "job.taken_over", "job.accepted", "job.ended", "job.given_up", "job.refused", "job.not_storable" };
        return nameOf(event.kind, names);
    }

    std::string operator()(const jobs::RunEvent& event) const
    {
        constexpr const char* names[] = { "run.ordered", "run.adopted", "run.stopping", "run.ended", "run.over",
            "run.over", "run.suspected", "run.cleared" };
        return nameOf(event.kind, names);
    }

    std::string operator()(const jobs::WorkerEvent& event) const
    {
        constexpr const char* names[]
            = { "worker.heard", "worker.not_heard", "worker.silent", "worker.back", "fence.seen", "ends.acknowledged" };
        return nameOf(event.kind, names);
    }

    std::string operator()(const jobs::MissingRunEvent&) const { return "task.without_run"; }

    std::string operator()(const jobs::TrialQueueEvent&) const { return "trials.state"; }
};

struct EventLog {
    const std::string& cell;
    jobs::Fence term;
    const std::string& name;

    void operator()(const jobs::JobEvent& event) const
    {
        logEvent(name,
            { { "cell", cell }, { "term", term }, { "job", event.job.value() }, { "detail", event.detail },
                { "ageMs", milliseconds(event.age) } });
    }

    void operator()(const jobs::RunEvent& event) const
    {
        const bool isPresumedEnd = event.kind == jobs::RunEvent::Kind::PresumedEnded;
        std::vector<LogField> fields { { "cell", cell }, { "term", term }, { "job", event.task.job.value() },
            { "task", taskName(event.task) }, { "run", event.run }, { "worker", event.worker.value() },
            { "failures", event.failures }, { "unheard", event.uncontactedWorkers }, { "detail", event.detail },
            { "ageMs", milliseconds(event.age) } };
        if (isPresumedEnd || event.followsPresumedEnd)
            fields.push_back({ "confirmedMs", milliseconds(event.ownershipAge) });
        if (isPresumedEnd)
            fields.push_back({ "overMs", milliseconds(event.overSince) });
        logEvent(name, std::span<const LogField> { fields });
    }

    void operator()(const jobs::WorkerEvent& event) const
    {
        logEvent(name,
            { { "cell", cell }, { "term", term }, { "worker", event.worker.value() }, { "detail", event.detail },
                { "ageMs", milliseconds(event.age) } });
    }

    void operator()(const jobs::MissingRunEvent& event) const
    {
        logEvent(name,
            { { "cell", cell }, { "term", term }, { "job", event.task.job.value() }, { "task", taskName(event.task) },
                { "run", event.run }, { "worker", event.worker.value() }, { "detail", describe(event.reason) },
                { "ageMs", milliseconds(event.age) }, { "workers", event.workers } });
    }

    void operator()(const jobs::TrialQueueEvent& event) const
    {
        logEvent(name,
            { { "cell", cell }, { "term", term }, { "suspects", event.suspects }, { "waiting", event.waiting },
                { "likelyCauses", event.likelyCauses }, { "trials", event.trials }, { "cleared", event.cleared },
                { "givenUp", event.givenUp }, { "losses", event.losses },
                { "longestWaitMs", milliseconds(event.longestWait) }, { "kept", event.keptWorkers },
                { "heldByWindow", event.heldByWindow }, { "heldByLimit", event.heldByLimit },
                { "heldByRoom", event.heldByRoom }, { "lateFirstStarts", event.lateFirstStarts } });
    }
};

} // namespace

LogRateLimiter* CellLog::limiterFor(const jobs::CellEvent& event)
{
    if (const auto* runEvent = std::get_if<jobs::RunEvent>(&event)) {
        if (runEvent->kind == jobs::RunEvent::Kind::Starting)
            return &m_starts;
        if (runEvent->kind == jobs::RunEvent::Kind::NotStarted)
            return &m_unsuccessfulStarts;
        const bool isDone = runEvent->kind == jobs::RunEvent::Kind::Ended && runEvent->detail == "done";
        return isDone ? &m_doneRuns : nullptr;
    }
    if (std::holds_alternative<jobs::MissingRunEvent>(event))
        return &m_missingRuns;
    const auto* workerEvent = std::get_if<jobs::WorkerEvent>(&event);
    const bool isAcknowledgement = workerEvent && workerEvent->kind == jobs::WorkerEvent::Kind::EndedRunsAcknowledged;
    return isAcknowledgement ? &m_acknowledgements : nullptr;
}

std::string CellLog::write(const PoolId& cell, jobs::Fence term, const jobs::CellEvent& event)
{
    std::string name = std::visit(EventName {}, event);
    LogRateLimiter* const limiter = limiterFor(event);
    if (limiter && !limiter->admits(m_clock.now()))
        return name;
    const std::size_t suppressedCount = limiter ? limiter->takeSuppressedCount() : 0;
    if (suppressedCount > 0)
        logEvent("log.left_out", { { "kind", name }, { "count", suppressedCount } }, LogLevel::Warning);
    std::visit(EventLog { cell.value(), term, name }, event);
    return name;
}

} // namespace rattanrack::node
