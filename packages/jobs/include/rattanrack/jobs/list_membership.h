#pragma once

#include "rattanrack/base/time.h"

#include <algorithm>

namespace rattanrack::jobs {

/// Whether an item is in a list that is read again and again, and whether its absence proves that it is gone. A list
/// lags behind what it shows, and it may have been requested before the item came. An item is therefore gone only if it
/// is missing from a list that was requested long enough after the item was last known to exist.
///
///     membership.recordKnown(now);                       // Something names the item.
///     membership.recordMissing(listRequestedAt);         // A later list does not contain it.
///     if (membership.isGone(4s)) ...
class ListMembership {
public:
    /// The item exists at that time, as something else than the list shows.
    void recordKnown(TimePoint at) { m_knownAt = std::max(m_knownAt, at); }

    /// A list that was received at that time contains the item.
    void recordListed(TimePoint receivedAt)
    {
        recordKnown(receivedAt);
        m_isListed = true;
    }

    /// A list that was requested at that time, and read to its end, does not contain the item.
    void recordMissing(TimePoint requestedAt)
    {
        m_missingAsOf = std::max(m_missingAsOf, requestedAt);
        m_isListed = false;
    }

    /// Whether the latest list contains the item.
    bool isListed() const { return m_isListed; }

    /// `delay`: lists that are requested this long after the item has come contain it. Above zero.
    bool isGone(Duration delay) const { return !m_isListed && m_missingAsOf - m_knownAt >= delay; }

private:
    TimePoint m_knownAt {};
    TimePoint m_missingAsOf {};
    bool m_isListed { false };
};

} // namespace rattanrack::jobs
