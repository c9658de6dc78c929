#include "rattanrack/policy/fleet_change.h"

#include "counting.h"

#include <algorithm>
#include <array>

namespace rattanrack::policy {

namespace {

template <typename Map, typename Id> const typename Map::mapped_type* findIn(const Map& map, const Id& id)
{
    const auto found = map.find(id);
    return found == map.end() ? nullptr : &found->second;
}

/// What reading one row back says; the most certain of all rows wins.
template <typename Record>
ChangeFate fateOf(const Record& written, const AttemptId& attempt, const Record* readBack, bool isRemoval)
{
    if (!readBack)
        return written.version == 0 ? ChangeFate::Open : isRemoval ? ChangeFate::Applied : ChangeFate::Overtaken;
    if (!isRemoval && readBack->attempt == attempt)
        return ChangeFate::Applied;
    return readBack->version == written.version ? ChangeFate::Open : ChangeFate::Overtaken;
}

} // namespace

std::string_view name(WorkerAction action)
{
    static constexpr std::array<std::string_view, 5> s_names { "stop-taking-work", "take-work", "reboot", "checkpoint",
        "replace" };
    return s_names.at(static_cast<std::size_t>(action));
}

ChangeFate settle(const FleetChange& change, const FleetSnapshot& readBack)
{
    bool isOvertaken = false;
    bool isApplied = false;
    const auto note = [&](ChangeFate fate) {
        isOvertaken |= fate == ChangeFate::Overtaken;
        isApplied |= fate == ChangeFate::Applied;
    };
    for (const auto& vm : change.vms)
        note(fateOf(vm, change.attempt, findIn(readBack.vms, vm.id), false));
    for (const auto& pool : change.pools)
        note(fateOf(pool, change.attempt, findIn(readBack.pools, pool.id), false));
    for (const auto& rollOut : change.rollOuts)
        note(fateOf(rollOut, change.attempt, findIn(readBack.rollOuts, rollOut.id), false));
    for (const auto& borrowing : change.borrowing)
        note(fateOf(borrowing, change.attempt, &readBack.borrowing, false));
    // A removal proves nothing about who removed the row.
    for (const auto& vm : change.removedVms)
        isOvertaken |= fateOf(vm, change.attempt, findIn(readBack.vms, vm.id), true) != ChangeFate::Open;
    if (isApplied)
        return ChangeFate::Applied;
    return isOvertaken ? ChangeFate::Overtaken : ChangeFate::Open;
}

const PoolRecord* FleetEdit::pool(const PoolId& id) const
{
    if (const auto* edited = findIn(m_pools, id))
        return edited;
    return findIn(m_snapshot->pools, id);
}

PoolRecord* FleetEdit::editablePool(const PoolId& id)
{
    const auto* current = pool(id);
    return current ? &m_pools.try_emplace(id, *current).first->second : nullptr;
}

const BorrowingRecord& FleetEdit::borrowing() const
{
    return m_change.borrowing.empty() ? m_snapshot->borrowing : m_change.borrowing.front();
}

void FleetEdit::replace(const BorrowingRecord& borrowing) { m_change.borrowing.assign(1, borrowing); }

void FleetEdit::require(const RollOutRecord& rollOut)
{
    auto& required = m_change.required;
    const auto isSame = [&](const RollOutRecord& record) { return record.id == rollOut.id; };
    if (std::none_of(required.begin(), required.end(), isSame))
        required.push_back(rollOut);
}

bool FleetEdit::touches(const VmId& vm) const
{
    const auto isSame = [&](const VmRecord& record) { return record.id == vm; };
    return std::any_of(m_change.vms.begin(), m_change.vms.end(), isSame)
        || std::any_of(m_change.removedVms.begin(), m_change.removedVms.end(), isSame);
}

void FleetEdit::count(const VmRecord& vm, int sign)
{
    if (auto* pool = editablePool(vm.pool))
        countMember(pool->counts, vm, sign);
}

void FleetEdit::countAway(const VmRecord& vm, int sign)
{
    if (!isAway(vm))
        return;
    const auto step = static_cast<std::uint32_t>(sign);
    if (auto* pool = editablePool(borrowerOf(vm)))
        pool->counts.borrowed += step;
    if (auto* pool = editablePool(vm.homePool))
        pool->counts.lent += step;
    BorrowingRecord changed = borrowing();
    changed.inUse += step;
    replace(changed);
}

void FleetEdit::replace(const VmRecord& after)
{
    VmRecord stored = after;
    const auto* before = findIn(m_snapshot->vms, after.id);
    if (!before || !countsAlike(*before, after)) {
        stored.revision = after.revision + 1;
        if (before)
            count(*before, -1);
        count(stored, 1);
    }
    if (!before || !isAwayAlike(*before, after)) {
        if (before)
            countAway(*before, -1);
        countAway(stored, 1);
    }
    m_change.vms.push_back(std::move(stored));
}

void FleetEdit::remove(const VmRecord& vm)
{
    count(vm, -1);
    countAway(vm, -1);
    m_change.removedVms.push_back(vm);
}

FleetChange FleetEdit::finish(const AttemptId& attempt, std::string reason)
{
    FleetChange change = std::move(m_change);
    m_change = {};
    for (auto& [id, pool] : m_pools)
        change.pools.push_back(std::move(pool));
    m_pools.clear();
    change.attempt = attempt;
    change.reason = std::move(reason);
    const auto stamp = [&](auto& records) {
        for (auto& record : records)
            record.attempt = attempt;
    };
    stamp(change.vms);
    stamp(change.pools);
    stamp(change.rollOuts);
    stamp(change.borrowing);
    return change;
}

} // namespace rattanrack::policy
