#pragma once

#include "rattanrack/base/ids.h"
#include "rattanrack/base/time.h"
#include "rattanrack/peer/membership.h"
#include "rattanrack/peer/table_exchange.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Duties: roles that at most one node may have at a time, such as planning for a pool, granting a pool's credits or
/// recording the claims of a shard.
///
/// The row "duty/<name>" names the holder and is written only when the holder changes. Each write that a holder makes
/// on behalf of a duty has `guard` as a condition, so that the write fails once another node holds the duty.
namespace rattanrack::peer {

using DutyName = StrongId<struct DutyNameTag>; ///< Such as "plan/office" or "claims/17".

constexpr const char* dutyRowPrefix = "duty/";
constexpr Duration dutyScanPeriod = std::chrono::seconds { 1 }; ///< Reads only the rows changed since the last scan.
constexpr Duration dutyFullScanPeriod = std::chrono::seconds { 120 };
/// Delay of a takeover for each node that is preferred to this one.
constexpr Duration takeoverStagger = std::chrono::seconds { 2 };
/// A member must be live this long before a rebalance gives it duties.
constexpr Duration stabilizationTime = std::chrono::seconds { 30 };
constexpr Duration rebalancePeriod = std::chrono::seconds { 5 };
constexpr std::size_t maxDutiesPerTransaction = 32; ///< Duties in one transaction of a takeover or a graceful leave.
constexpr std::size_t maxRebalancedDuties = 4;

struct DutiesSettings {
    NodeId self;
    std::vector<DutyName> names; ///< All duties of the federation, the same on each node.
    std::uint32_t randomSeed { 1 };
};

/// A duty's row as last read.
struct DutyRow {
    NodeId holder;
    std::string attempt; ///< Writer of the row and number of its attempt; identifies commits whose response was lost.
    platform::RowVersion version { 0 };
};

enum class DutyEvent : std::uint8_t {
    Taken, ///< This node holds the duty; guarded writes may begin.
    Lost, ///< Another node holds the duty, or this node's lease has expired; its work must stop.
};

struct DutyChange {
    DutyEvent event { DutyEvent::Taken };
    DutyName name;
    platform::RowVersion term { 0 }; ///< Term of the duty: grows with each change of holder.
};

struct DutiesOutput {
    std::vector<DutyChange> changes;
    TableRequests requests;
};

/// Assignment of duties on one node: a state machine without I/O and without a clock. Not thread-safe.
///
///     auto output = duties.tick(membership.liveness(), now);
///     if (auto guard = duties.guard(name))
///         transaction.conditions.push_back(*guard);
class Duties {
public:
    Duties(DutiesSettings settings, TimePoint now);
    ~Duties();
    Duties(Duties&&) noexcept;
    Duties& operator=(Duties&&) noexcept;

    /// Reads the duty rows and commits takeovers and hand-overs. Call at least every 250 ms, and after each change of
    /// membership.
    DutiesOutput tick(const LivenessView& liveness, TimePoint now);

    /// Processes the response to a request of an earlier output.
    DutiesOutput onResponse(const TableResponse& response, TimePoint now);

    /// Call when a write guarded by `name` failed with Conflict. The duty is not held until its row has been read
    /// again.
    DutiesOutput onGuardConflict(const DutyName& name);

    /// Replaces the set of duties after a change of the configuration. Duties that are not in `names` are dropped.
    DutiesOutput setNames(std::vector<DutyName> names);

    /// Condition for each write on behalf of a duty; empty when this node does not hold it.
    std::optional<platform::Condition> guard(const DutyName& name) const;
    bool isHeld(const DutyName& name) const { return guard(name).has_value(); }

    /// The holder as last read, live or not; empty when the duty has never been held.
    NodeId holder(const DutyName& name) const;

    /// The holder's term, which is the version of the duty's row as last read; 0 when the duty has never been held.
    platform::RowVersion term(const DutyName& name) const;

    /// Number of duties that this node holds. Zero once a graceful leave has handed over all of them.
    std::size_t heldCount() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace rattanrack::peer
