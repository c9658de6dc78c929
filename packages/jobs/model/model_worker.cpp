#include "model_worker.h"

#include <algorithm>

namespace rattanrack::jobs::model {

std::int64_t ModelWorker::clockMs(TimePoint now) const
{
    return 1000 + static_cast<std::int64_t>(static_cast<double>((now - m_bornAt).count()) * m_clockRate / 1000);
}

void ModelWorker::end(const TaskRef& task, EndKind kind)
{
    const auto run = m_runs.find(task);
    m_ends.push_back({ ++m_lastEnd, task, run->second.number, kind, {} });
    m_highest[task] = std::max(m_highest[task], run->second.number);
    m_runs.erase(run);
}

void ModelWorker::advance(TimePoint now)
{
    if (!m_isUp)
        return;
    std::vector<std::pair<TaskRef, EndKind>> over;
    const bool hasLapsed = clockMs(now) >= m_leaseUntilMs;
    for (const auto& [task, run] : m_runs) {
        if (!run.isLasting && now >= run.endsAt)
            over.emplace_back(task, run.willFail ? EndKind::Failed : EndKind::Done);
        else if (run.stopsAt && now >= *run.stopsAt)
            over.emplace_back(task, EndKind::Stopped);
        else if (hasLapsed)
            over.emplace_back(task, EndKind::Lapsed);
    }
    for (const auto& [task, kind] : over)
        end(task, kind);
}

bool ModelWorker::accepts(Fence fence)
{
    if (fence < m_fence)
        return false;
    m_fence = fence;
    return true;
}

CallAnswer ModelWorker::start(const StartOrder& order, const ModelWork& work, bool fails, TimePoint now)
{
    advance(now);
    const auto refuse = [&](Refusal refusal) { return CallAnswer { CallStatus::Refused, refusal, clockMs(now) }; };
    if (!accepts(order.fence))
        return refuse(Refusal::Fence);
    if (order.leaseUntilWorkerMs <= clockMs(now))
        return refuse(Refusal::Late);
    m_leaseUntilMs = std::max(m_leaseUntilMs, order.leaseUntilWorkerMs);
    const auto present = m_runs.find(order.task);
    if (present != m_runs.end() && present->second.number == order.run)
        return { CallStatus::Done, Refusal::None, clockMs(now) };
    const auto highest = m_highest.find(order.task);
    if (present != m_runs.end() || (highest != m_highest.end() && order.run <= highest->second))
        return refuse(Refusal::Old);
    ResourceSize free = m_description.capacity;
    for (const auto& [task, run] : m_runs)
        free -= run.size;
    if (!fits(work.size, free))
        return refuse(Refusal::Room);
    m_runs[order.task] = { order.run, now + work.time, fails || work.alwaysFails, work.isLasting, work.size };
    return { CallStatus::Done, Refusal::None, clockMs(now) };
}

CallAnswer ModelWorker::stop(const StopOrder& order, TimePoint now)
{
    advance(now);
    if (!accepts(order.fence))
        return { CallStatus::Refused, Refusal::Fence, clockMs(now) };
    const auto present = m_runs.find(order.task);
    if (present != m_runs.end() && present->second.number == order.run && !present->second.stopsAt)
        present->second.stopsAt = now + m_stopTime;
    m_highest[order.task] = std::max(m_highest[order.task], order.run);
    advance(now);
    return { CallStatus::Done, Refusal::None, clockMs(now) };
}

LookAnswer ModelWorker::look(const LookOrder& order, TimePoint now)
{
    advance(now);
    if (!accepts(order.fence))
        return { CallStatus::Refused, Refusal::Fence, {} };
    m_leaseUntilMs = std::max(m_leaseUntilMs, order.leaseUntilWorkerMs);
    std::erase_if(m_ends, [&](const EndEntry& each) { return each.number <= order.ackedThrough; });
    LookAnswer answer { CallStatus::Done, Refusal::None, { m_description.bornUnixMs, clockMs(now), {}, m_ends } };
    for (const auto& [task, run] : m_runs)
        answer.report.running.push_back({ task, run.number, {}, run.isLasting ? 100 : 0, 0 });
    return answer;
}

void ModelWorker::crash()
{
    m_isUp = false;
    m_runs.clear();
    m_highest.clear();
    m_ends.clear();
    m_lastEnd = 0;
    m_leaseUntilMs = 0;
    m_fence = 0;
}

void ModelWorker::rise(std::int64_t bornUnixMs, TimePoint now)
{
    m_isUp = true;
    m_bornAt = now;
    m_description.bornUnixMs = bornUnixMs;
}

} // namespace rattanrack::jobs::model
