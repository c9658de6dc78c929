#include "rattanrack/jobs/ownership.h"

#include "rattanrack/jobs/node_process.h"

#include <algorithm>

/// Which process has owned a cell when, and until when earlier owners may have granted leases.
namespace rattanrack::jobs {

namespace {

constexpr std::size_t keptTenures = 6; ///< Of each cell.

} // namespace

void Ownership::recordOwned(const OwnedCell& owned, const NodeId& process, TimePoint now)
{
    auto& tenures = m_tenures[owned.cell];
    tenures.try_emplace(owned.term, Tenure { now, process, std::nullopt, std::nullopt });
    if (tenures.size() > keptTenures)
        tenures.erase(tenures.begin());
}

void Ownership::recordReleased(const OwnedCell& released, TimePoint now)
{
    const auto tenures = m_tenures.find(released.cell);
    if (tenures == m_tenures.end())
        return;
    const auto tenure = tenures->second.find(released.term);
    if (tenure != tenures->second.end() && !tenure->second.releasedAt)
        tenure->second.releasedAt = now;
}

/// The process runs, so that all earlier ones of its node have ended.
void Ownership::recordEndedBefore(const NodeId& process)
{
    for (auto& [cell, tenures] : m_tenures) {
        for (auto& [term, tenure] : tenures) {
            if (!tenure.releasedAt && hasReplaced(process, tenure.process))
                tenure.releasedAt = m_processes.at(process);
        }
    }
}

/// By the order in which both were first seen as well, since the wall clock in their ids may step back.
bool Ownership::hasReplaced(const NodeId& later, const NodeId& earlier) const
{
    const auto seen = m_processes.find(earlier);
    const bool isSeenInOrder = seen == m_processes.end() || seen->second < m_processes.at(later);
    return isSeenInOrder && isLaterProcess(later, earlier);
}

/// `before`, `after`: the cells of two successive announcements of one process; `after` is empty if it has ended.
void Ownership::recordAnnouncedCells(
    const NodeId& process, const std::vector<OwnedCell>& before, const std::vector<OwnedCell>& after, TimePoint now)
{
    for (const OwnedCell& each : after)
        recordOwned(each, process, now);
    for (const OwnedCell& each : before) {
        if (std::find(after.begin(), after.end(), each) == after.end())
            recordReleased(each, now);
    }
}

TimePoint Ownership::latestEarlierGrant(
    const PoolId& cell, Fence term, TimePoint takenOverAt, Duration ownershipTimeout) const
{
    if (term <= 1)
        return {};
    const TimePoint longest = takenOverAt + ownershipTimeout;
    const auto tenures = m_tenures.find(cell);
    const Fence earlier = term - 1;
    if (tenures == m_tenures.end() || !tenures->second.contains(earlier))
        return longest;
    const Tenure& tenure = tenures->second.at(earlier);
    const TimePoint own = std::min(tenure.releasedAt.value_or(longest), longest);
    const TimePoint before = latestEarlierGrant(cell, earlier, tenure.firstSeenAt, ownershipTimeout);
    return std::max(own, std::min(before, tenure.earlierGrantsEndAt.value_or(before)));
}

void Ownership::onPreviousOwner(const PoolId& cell, const PreviousOwner& previous, TimePoint now)
{
    recordOwned({ cell, previous.term }, previous.process, now);
    auto& tenures = m_tenures[cell];
    const auto found = tenures.find(previous.term);
    if (found == tenures.end()) // Later terms have been seen.
        return;
    Tenure& tenure = found->second;
    // With nothing left they had ended before the previous owner wrote its row.
    tenure.earlierGrantsEndAt
        = previous.earlierGrantsLeft > Duration {} ? now + previous.earlierGrantsLeft : TimePoint {};
    // What another process has announced before may be older than the row; its next announcement is not.
    const bool isHandedBack = previous.process.isEmpty();
    const bool isOwnEarlierProcess = previous.process != m_self && areOfOneNode(previous.process, m_self);
    if (!tenure.releasedAt && (isHandedBack || isOwnEarlierProcess))
        tenure.releasedAt = isHandedBack ? now : m_startedAt;
}

} // namespace rattanrack::jobs
