#include "rattanrack/jobs/takeover_watch.h"

#include <algorithm>

namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

/// An owner whose row has not changed for this long does not run, or does not reach the store.
constexpr Duration watchTime = 700ms;
constexpr Duration longestRenewalDelay = 250ms; ///< Between two passes of an owner that has nothing to do.
/// The same for an owner whose row has changed although its announcements did not arrive: it runs and is not reachable
/// from here.
constexpr Duration watchTimeOfRunningOwner = 1500ms;
constexpr Duration readPeriod = 600ms;
/// An owner that writes its row but whose announcements have not reached this node, directly or through others, for
/// this long can't be reached by callers.
constexpr Duration isolationTimeout = 3s;

static_assert(watchTime > ownerRenewalPeriod + longestRenewalDelay);

} // namespace

bool TakeoverWatch::isReadDue(const PoolId& cell, TimePoint now) const
{
    const auto watched = m_watched.find(cell);
    return watched == m_watched.end() || now - watched->second.lastReadAt >= readPeriod;
}

void TakeoverWatch::onRead(const PoolId& cell, const OwnerSighting& sighting, TimePoint readAt, TimePoint receivedAt)
{
    const auto [watched, isNew] = m_watched.try_emplace(cell, Watched { sighting, receivedAt, receivedAt, readAt });
    if (isNew || readAt < watched->second.lastReadAt)
        return;
    if (watched->second.sighting.version != sighting.version) {
        watched->second.unchangedSince = receivedAt;
        watched->second.hasChanged = true;
    }
    if (watched->second.sighting.term != sighting.term)
        watched->second.sameTermSince = receivedAt;
    watched->second.sighting = sighting;
    watched->second.lastReadAt = readAt;
}

void TakeoverWatch::onTakeFailed(const PoolId& cell, TimePoint now)
{
    const auto watched = m_watched.find(cell);
    if (watched == m_watched.end())
        return;
    watched->second.unchangedSince = now;
    watched->second.hasChanged = true;
    watched->second.lastReadAt = {};
}

void TakeoverWatch::keepOnly(const std::vector<PoolId>& cells)
{
    std::erase_if(m_watched,
        [&](const auto& watched) { return std::find(cells.begin(), cells.end(), watched.first) == cells.end(); });
}

std::optional<TakeoverCondition> TakeoverWatch::condition(
    const PoolId& cell, const Ownership& ownership, TimePoint now) const
{
    const auto found = m_watched.find(cell);
    if (found == m_watched.end())
        return std::nullopt;
    const OwnerSighting& sighting = found->second.sighting;
    const TakeoverCondition ifUnchanged { sighting.version, std::nullopt };
    const Duration needed = found->second.hasChanged ? watchTimeOfRunningOwner : watchTime;
    const bool isWatchedForLong = now - found->second.unchangedSince >= needed;
    if (sighting.holder.isEmpty() || ownership.hasEnded(sighting.holder) || isWatchedForLong)
        return ifUnchanged;
    const Duration silence = std::min(now - found->second.sameTermSince, ownership.silenceOfOwner(cell, now));
    if (silence >= isolationTimeout && ownership.receivesMostNodes(now))
        return TakeoverCondition { std::nullopt, sighting.term };
    return std::nullopt;
}

} // namespace rattanrack::jobs
