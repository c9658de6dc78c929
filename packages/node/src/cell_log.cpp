#include "cell_log.h"

#include "rattanrack/base/log.h"

namespace rattanrack::node {

namespace {

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::string taskName(const jobs::TaskRef& task)
{
    return std::to_string(task.occurrence) + '.' + std::to_string(task.step) + '.' + std::to_string(task.index);
}

template <typename Kind, std::size_t count> const char* nameOf(Kind kind, const char* const (&names)[count])
{
    return names[static_cast<std::size_t>(kind)];
}

struct EventLog {
    const std::string& cell;
    jobs::Fence term;

    std::string operator()(const jobs::JobEvent& event) const
    {
        constexpr const char* names[] = { "job.taken_over", "job.accepted", "job.ended" };
        const char* name = nameOf(event.kind, names);
        logEvent(name,
            { { "cell", cell }, { "term", term }, { "job", event.job.value() }, { "detail", event.detail },
                { "ageMs", milliseconds(event.age) } });
        return name;
    }

    std::string operator()(const jobs::RunEvent& event) const
    {
        constexpr const char* names[] = { "run.ordered", "run.adopted", "run.stopping", "run.ended", "run.over" };
        const char* name = nameOf(event.kind, names);
        logEvent(name,
            { { "cell", cell }, { "term", term }, { "job", event.task.job.value() }, { "task", taskName(event.task) },
                { "run", event.run }, { "worker", event.worker.value() }, { "failures", event.failures },
                { "unheard", event.workersUnheard }, { "detail", event.detail },
                { "ageMs", milliseconds(event.age) } });
        return name;
    }

    std::string operator()(const jobs::WorkerEvent& event) const
    {
        constexpr const char* names[]
            = { "worker.heard", "worker.not_heard", "worker.silent", "worker.back", "fence.seen", "ends.acknowledged" };
        const char* name = nameOf(event.kind, names);
        logEvent(name,
            { { "cell", cell }, { "term", term }, { "worker", event.worker.value() }, { "detail", event.detail },
                { "ageMs", milliseconds(event.age) } });
        return name;
    }
};

} // namespace

std::string logCellEvent(const PoolId& cell, jobs::Fence term, const jobs::CellEvent& event)
{
    return std::visit(EventLog { cell.value(), term }, event);
}

} // namespace rattanrack::node
