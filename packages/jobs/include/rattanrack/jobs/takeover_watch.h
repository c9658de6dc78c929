#pragma once

#include "rattanrack/base/ids.h"
#include "rattanrack/base/time.h"
#include "rattanrack/jobs/ownership.h"
#include "rattanrack/jobs/part_store.h"

#include <map>
#include <optional>
#include <vector>

/// Decides whether a cell may be taken from its former owner. Announcements may be lost between two nodes while the
/// owner runs, so the owner row decides: an owner that runs writes it at least once in `ownerRenewalPeriod`. Only an
/// owner whose announcements reach nobody for seconds is replaced although it runs.
namespace rattanrack::jobs {

/// An owner that has nothing else to write writes its row this often.
constexpr Duration ownerRenewalPeriod = std::chrono::milliseconds { 400 };

/// The owner row of a cell, as read from the store.
struct OwnerSighting {
    NodeId holder; ///< Empty: the cell has been handed back, or never had an owner.
    Fence term { 0 };
    RowVersion version { 0 }; ///< 0: there is no row.
};

/// The condition of a takeover that is permitted.
struct TakeoverCondition {
    /// The row must still have this version when the cell is taken; empty: any.
    std::optional<RowVersion> rowVersion;
    /// The row must still be of this term; empty: of any.
    std::optional<Fence> term;
};

/// Keeps what this node has read of owner rows. Performs no I/O and reads no clock. Not thread-safe.
///
///     if (watch.isReadDue(cell, now)) read(cell);       // then watch.onRead(cell, sighting, readAt, receivedAt)
///     if (const auto condition = watch.condition(cell, ownership, now)) take(cell, *condition);
class TakeoverWatch {
public:
    /// Whether the owner row of a cell that may have lost its owner should be read.
    bool isReadDue(const PoolId& cell, TimePoint now) const;

    /// `readAt`: a time before the read was sent. `receivedAt`: when its response arrived, which may be a second later;
    /// the row is known not to have changed from the first response on, not from the first read.
    void onRead(const PoolId& cell, const OwnerSighting& sighting, TimePoint readAt, TimePoint receivedAt);

    /// A takeover has failed, since another node or the owner has written the row.
    void onTakeFailed(const PoolId& cell, TimePoint now);

    /// Forgets the rows of all other cells: these have an owner.
    void keepOnly(const std::vector<PoolId>& cells);

    /// Condition of a takeover of a cell without an owner by the announcements in `ownership`; empty: not permitted.
    std::optional<TakeoverCondition> condition(const PoolId& cell, const Ownership& ownership, TimePoint now) const;

private:
    struct Watched {
        OwnerSighting sighting;
        TimePoint unchangedSince {};
        TimePoint sameTermSince {};
        TimePoint lastReadAt {};
        bool hasChanged { false }; ///< While the cell had no owner by the announcements.
    };

    std::map<PoolId, Watched> m_watched;
};

} // namespace rattanrack::jobs
