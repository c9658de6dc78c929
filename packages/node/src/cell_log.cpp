#include "rattanrack/node/cell_log.h"

#include "rattanrack/base/log.h"
#include "rattanrack/base/milliseconds.h"

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
        constexpr const char* names[] = { "job.taken_over", "job.accepted", "job.ended" };
        return nameOf(event.kind, names);
    }

    std::string operator()(const jobs::RunEvent& event) const
    {
        constexpr const char* names[]
            = { "run.ordered", "run.adopted", "run.stopping", "run.ended", "run.over", "run.over" };
        return nameOf(event.kind, names);
    }

    std::string operator()(const jobs::WorkerEvent& event) const
    {
        constexpr const char* names[]
            = { "worker.heard", "worker.not_heard", "worker.silent", "worker.back", "fence.seen", "ends.acknowledged" };
        return nameOf(event.kind, names);
    }
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
        logEvent(name,
            { { "cell", cell }, { "term", term }, { "job", event.task.job.value() }, { "task", taskName(event.task) },
                { "run", event.run }, { "worker", event.worker.value() }, { "failures", event.failures },
                { "unheard", event.uncontactedWorkers }, { "detail", event.detail },
                { "ageMs", milliseconds(event.age) } });
    }

    void operator()(const jobs::WorkerEvent& event) const
    {
        logEvent(name,
            { { "cell", cell }, { "term", term }, { "worker", event.worker.value() }, { "detail", event.detail },
                { "ageMs", milliseconds(event.age) } });
    }
};

} // namespace

LogRateLimiter* CellLog::limiterFor(const jobs::CellEvent& event)
{
    if (const auto* ofRun = std::get_if<jobs::RunEvent>(&event)) {
        if (ofRun->kind == jobs::RunEvent::Kind::Starting)
            return &m_starts;
        if (ofRun->kind == jobs::RunEvent::Kind::NotStarted)
            return &m_startsWithoutRun;
        const bool isDone = ofRun->kind == jobs::RunEvent::Kind::Ended && ofRun->detail == "done";
        return isDone ? &m_endsDone : nullptr;
    }
    const auto* ofWorker = std::get_if<jobs::WorkerEvent>(&event);
    const bool isAcknowledgement = ofWorker && ofWorker->kind == jobs::WorkerEvent::Kind::EndedRunsAcknowledged;
    return isAcknowledgement ? &m_acknowledgements : nullptr;
}

std::string CellLog::write(const PoolId& cell, jobs::Fence term, const jobs::CellEvent& event)
{
    std::string name = std::visit(EventName {}, event);
    LogRateLimiter* const bound = limiterFor(event);
    if (bound && !bound->admits(m_clock.now()))
        return name;
    const std::size_t leftOut = bound ? bound->takeSuppressedCount() : 0;
    if (leftOut > 0)
        logEvent("log.left_out", { { "kind", name }, { "count", leftOut } }, LogLevel::Warning);
    std::visit(EventLog { cell.value(), term, name }, event);
    return name;
}

} // namespace rattanrack::node
