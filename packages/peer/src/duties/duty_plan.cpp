#include "duty_plan.h"

#include "duty_row.h"

#include "rattanrack/peer/rendezvous.h"

#include <algorithm>
#include <set>

namespace rattanrack::peer {

namespace {

constexpr std::size_t maxStaggeredRank = 5; ///< Nodes of a higher rank wait as long as one of this rank.

std::vector<NodeId> liveOthers(const LivenessView& liveness)
{
    std::vector<NodeId> nodes;
    for (const Member& member : liveness.members)
        if (member.state == MemberState::Live && !member.isLeaving)
            nodes.push_back(member.id);
    return nodes;
}

std::vector<NodeId> stableOthers(const LivenessView& liveness, TimePoint now)
{
    std::vector<NodeId> nodes;
    for (const Member& member : liveness.members) {
        const bool isStable = member.state == MemberState::Live && !member.isLeaving
            && now - member.liveSince >= stabilizationTime && member.rowVersion != 0 && !member.row.isFenced
            && member.rowAge() < nodeLease;
        if (isStable)
            nodes.push_back(member.id);
    }
    return nodes;
}

const Member* findMember(const LivenessView& liveness, const NodeId& id)
{
    const auto found = std::find_if(
        liveness.members.begin(), liveness.members.end(), [&](const Member& member) { return member.id == id; });
    return found == liveness.members.end() ? nullptr : &*found;
}

/// A dead holder of duties, and the version of its node row that shows this.
struct DeadHolder {
    platform::RowVersion rowVersion { 0 };
    NodeRow fencedRow;
    bool mustFence { false };
};

std::optional<DeadHolder> findDeadHolder(const NodeId& holder, const DutyPlanInput& input)
{
    const Member* member = findMember(input.liveness, holder);
    const auto known = input.nodeRows.find(holder);
    if (known != input.nodeRows.end() && (!member || known->second.version > member->rowVersion)) {
        if (!known->second.isFenced)
            return std::nullopt;
        return DeadHolder { known->second.version, {}, false };
    }
    if (!member)
        return DeadHolder {}; // No scan has returned a row, so the transaction depends on there being none.
    if (member->rowVersion != 0 && member->row.isFenced)
        return DeadHolder { member->rowVersion, {}, false };
    const Duration lease = member->state == MemberState::Live ? nodeLeaseWhenReachable : nodeLease;
    if (member->rowAge() < lease)
        return std::nullopt;
    DeadHolder dead { member->rowVersion, member->row, member->rowVersion != 0 };
    dead.fencedRow.isFenced = true;
    return dead;
}

} // namespace

platform::Transaction DutyPlan::transaction(const std::string& attempt) const
{
    platform::Transaction transaction;
    for (const Assignment& assignment : assignments) {
        const std::string key = dutyRowKey(assignment.name);
        transaction.conditions.push_back({ key, assignment.expectedRowVersion });
        transaction.writes.push_back({ key, encodeDutyRow({ assignment.newHolder, attempt, 0 }) });
    }
    if (!deadHolder.isEmpty())
        transaction.conditions.push_back({ nodeRowKey(deadHolder), deadHolderRowVersion });
    if (mustFence)
        transaction.writes.push_back({ nodeRowKey(deadHolder), encodeNodeRow(fencedRow) });
    return transaction;
}

DutyPlan planLeave(const DutyPlanInput& input)
{
    DutyPlan plan;
    const std::vector<NodeId> candidates = liveOthers(input.liveness);
    if (candidates.empty())
        return plan;
    for (const auto& [name, row] : input.rows)
        if (row.holder == input.self && plan.assignments.size() < maxDutiesPerTransaction)
            plan.assignments.push_back({ name, row.version, rendezvousChoice(name.value(), candidates) });
    return plan;
}

DutyPlan planRebalance(const DutyPlanInput& input)
{
    DutyPlan plan;
    std::vector<NodeId> candidates = stableOthers(input.liveness, input.now);
    candidates.push_back(input.self);
    for (const auto& [name, duty] : input.held) {
        if (input.now - duty.since < stabilizationTime)
            continue;
        NodeId preferred = rendezvousChoice(name.value(), candidates);
        if (preferred == input.self)
            continue;
        plan.assignments.push_back({ name, duty.term, std::move(preferred) });
        if (plan.assignments.size() == maxRebalancedDuties)
            break;
    }
    return plan;
}

bool TakeoverPlanner::isDue(const DutyName& name, const DutyPlanInput& input, const std::vector<NodeId>& candidates)
{
    const TimePoint vacantSince = m_vacantSince.try_emplace(name, input.now).first->second;
    const std::size_t rank = std::min(rendezvousRank(name.value(), input.self, candidates), maxStaggeredRank);
    return input.now >= vacantSince + rank * takeoverStagger;
}

DutyPlan TakeoverPlanner::plan(const DutyPlanInput& input)
{
    DutyPlan plan;
    const DutyRow vacant;
    std::map<NodeId, std::optional<DeadHolder>> deadHolders;
    const std::vector<NodeId> candidates = liveOthers(input.liveness);
    for (const DutyName& name : input.names) {
        const auto row = input.rows.find(name);
        const DutyRow& known = row == input.rows.end() ? vacant : row->second;
        std::optional<DeadHolder> dead { DeadHolder {} };
        if (known.holder == input.self)
            dead = std::nullopt;
        else if (!known.holder.isEmpty()) {
            auto [found, isNew] = deadHolders.try_emplace(known.holder);
            if (isNew)
                found->second = findDeadHolder(known.holder, input);
            dead = found->second;
        }
        if (!dead) {
            m_vacantSince.erase(name);
            continue;
        }
        const bool fitsPlan = plan.isEmpty() || plan.deadHolder == known.holder;
        if (!isDue(name, input, candidates) || !fitsPlan || plan.assignments.size() == maxDutiesPerTransaction)
            continue;
        plan.assignments.push_back({ name, known.version, input.self });
        plan.deadHolder = known.holder;
        plan.deadHolderRowVersion = dead->rowVersion;
        plan.fencedRow = dead->fencedRow;
        plan.mustFence = dead->mustFence;
    }
    return plan;
}

} // namespace rattanrack::peer
