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

/// Who does what there must be only one of: planning for a pool, the home of a pool's credits, a shard of claims.
///
/// The row "duty/<name>" names the holder and changes only when the holder changes. Each write that a holder makes on
/// behalf of a duty carries `guard` as a condition, so that it fails once somebody else holds the duty.
namespace rattanrack::peer {

using DutyName = StrongId<struct DutyNameTag>; ///< Such as "plan/office" or "claims/17".

constexpr const char* dutyRowPrefix = "duty/";
constexpr Duration dutyScanPeriod = std::chrono::seconds { 1 }; ///< Only rows that have changed are read.
constexpr Duration dutyFullScanPeriod = std::chrono::seconds { 120 };
constexpr Duration takeoverStagger = std::chrono::seconds { 2 }; ///< Head start of each better placed challenger.
constexpr Duration stabilizationTime
    = std::chrono::seconds { 30 }; ///< A member is live this long before it is handed duties.
constexpr Duration rebalancePeriod = std::chrono::seconds { 5 };
constexpr std::size_t maxDutiesPerTransaction = 32; ///< Duties in one transaction of a takeover or a graceful leave.
constexpr std::size_t maxRebalancedDuties = 4;

struct DutiesSettings {
    NodeId self;
    std::vector<DutyName> names; ///< All duties of the federation, the same on each node.
    std::uint32_t randomSeed { 1 };
};

/// A duty's row as last seen.
struct DutyRow {
    NodeId holder;
    std::string attempt; ///< Who wrote the row, and in which try: settles lost answers.
    platform::RowVersion version { 0 };
};

enum class DutyEvent : std::uint8_t {
    Taken, ///< This node holds the duty; guarded writes may begin.
    Lost, ///< Another node holds it, or this node's lease has passed. Stop acting on it.
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

/// One node's part in sharing out duties. Pure: no I/O, no clock. Not thread-safe.
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

    /// Call at least every 250 ms, and after each change of membership.
    DutiesOutput tick(const LivenessView& liveness, TimePoint now);
    DutiesOutput onResponse(const TableResponse& answer, TimePoint now);

    /// A guarded write failed with Conflict on `name`: stops acting on it until its row has been read again.
    DutiesOutput onGuardConflict(const DutyName& name);

    /// The set of duties changed with the configuration. Duties that are no longer named are dropped.
    DutiesOutput setNames(std::vector<DutyName> names);

    /// Condition for each write on behalf of a duty; empty when this node does not hold it.
    std::optional<platform::Condition> guard(const DutyName& name) const;
    bool isHeld(const DutyName& name) const { return guard(name).has_value(); }

    /// Holder as last seen, live or not; empty when nobody has ever held it.
    NodeId holder(const DutyName& name) const;

    /// Version of the duty's row as last seen, which is the term of its holder; 0 when nobody has ever held it.
    platform::RowVersion term(const DutyName& name) const;

    /// Duties that this node holds. Zero after a graceful leave has handed over all of them.
    std::size_t heldCount() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace rattanrack::peer
