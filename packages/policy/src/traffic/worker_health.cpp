#include "traffic/worker_health.h"

#include <algorithm>
#include <utility>

namespace rattanrack::policy {

namespace {

constexpr double workerMemory = 0.25; // weight of the newest end
constexpr double poolMemory = 0.02;
constexpr double suspectBadness = 0.4;
constexpr double ejectBadness = 0.68; // four bad ends in a row
constexpr double excessOverPool = 0.4;
constexpr Duration firstProbe { 5'000'000 };
constexpr Duration suspectInterval { 2'000'000 };
constexpr std::uint32_t maxProbeDoublings = 4;

bool isBadEnd(AttemptEnd end)
{
    return end == AttemptEnd::Failed || end == AttemptEnd::Refused || end == AttemptEnd::Lost;
}

} // namespace

void WorkerHealth::setWorkers(const std::vector<WorkerView>& workers, double maxEjectedShare)
{
    std::unordered_map<VmId, Record> kept;
    m_ejected = 0;
    for (const auto& worker : workers) {
        auto old = m_records.find(worker.id);
        auto& record = kept[worker.id];
        if (old != m_records.end())
            record = old->second;
        m_ejected += record.isEjected ? 1 : 0;
    }
    m_records = std::move(kept);
    const auto share = static_cast<std::size_t>(maxEjectedShare * static_cast<double>(workers.size()));
    m_maxEjected = workers.size() > 1 ? std::max<std::size_t>(share, 1) : 0;
}

bool WorkerHealth::admits(const VmId& worker, TimePoint now) const
{
    auto found = m_records.find(worker);
    if (found == m_records.end())
        return true;
    if (!found->second.isEjected)
        return !isSuspect(found->second) || found->second.tryAt.hasPassed(now);
    return !found->second.isProbing && found->second.probeAt.hasPassed(now);
}

void WorkerHealth::recordDispatch(const VmId& worker, TimePoint now)
{
    auto found = m_records.find(worker);
    if (found == m_records.end())
        return;
    auto& record = found->second;
    if (record.isEjected && record.probeAt.hasPassed(now))
        record.isProbing = true;
    if (!record.isEjected && isSuspect(record))
        record.tryAt = Deadline::after(now, suspectInterval);
}

void WorkerHealth::recordEnd(const VmId& worker, AttemptEnd end, TimePoint now)
{
    auto found = m_records.find(worker);
    if (found == m_records.end())
        return;
    auto& record = found->second;
    if (end == AttemptEnd::Stopped) {
        record.isProbing = false;
        return;
    }
    const bool isBad = isBadEnd(end);
    record.badness += workerMemory * ((isBad ? 1 : 0) - record.badness);
    m_poolBadness += poolMemory * ((isBad ? 1 : 0) - m_poolBadness);
    if (record.isEjected)
        return recordProbe(record, isBad, now);
    const bool isEvident = record.badness > ejectBadness && record.badness > m_poolBadness + excessOverPool;
    if (isEvident && m_ejected < m_maxEjected)
        eject(record, now);
}

bool WorkerHealth::isSuspect(const VmId& worker) const
{
    auto found = m_records.find(worker);
    return found != m_records.end() && isSuspect(found->second);
}

bool WorkerHealth::isSuspect(const Record& record) const { return record.badness > m_poolBadness + suspectBadness; }

void WorkerHealth::eject(Record& record, TimePoint now)
{
    record.isEjected = true;
    record.isProbing = false;
    record.failedProbes = 0;
    record.probeAt = Deadline::after(now, firstProbe);
    ++m_ejected;
}

void WorkerHealth::recordProbe(Record& record, bool isBad, TimePoint now)
{
    if (!record.isProbing)
        return;
    record.isProbing = false;
    if (!isBad) {
        record = {};
        --m_ejected;
        return;
    }
    record.failedProbes = std::min(record.failedProbes + 1, maxProbeDoublings);
    record.probeAt = Deadline::after(now, firstProbe * (1U << record.failedProbes));
}

} // namespace rattanrack::policy
