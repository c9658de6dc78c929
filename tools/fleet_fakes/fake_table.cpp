#include "fleet_fakes/fake_table.h"

#include "fleet_fakes/fleet_invariants.h"

#include <algorithm>

namespace rattanrack::fakes {

using namespace policy;

namespace {

template <typename Map, typename Id> RecordVersion versionOf(const Map& rows, const Id& id)
{
    const auto found = rows.find(id);
    return found == rows.end() ? 0 : found->second.version;
}

template <typename Map, typename Records> bool allHold(const Map& rows, const Records& records)
{
    return std::all_of(records.begin(), records.end(),
        [&](const auto& record) { return versionOf(rows, record.id) == record.version; });
}

template <typename Map, typename Records> void storeAll(Map& rows, const Records& records, RecordVersion version)
{
    for (const auto& record : records) {
        auto& row = rows[record.id];
        row = record;
        row.version = version;
    }
}

} // namespace

bool FakeTable::conditionsHold(const FleetChange& change) const
{
    for (const auto& borrowing : change.borrowing) {
        if (borrowing.version != m_rows.borrowing.version)
            return false;
    }
    return allHold(m_rows.vms, change.vms) && allHold(m_rows.vms, change.removedVms)
        && allHold(m_rows.pools, change.pools) && allHold(m_rows.rollOuts, change.rollOuts)
        && allHold(m_rows.rollOuts, change.required);
}

void FakeTable::store(const FleetChange& change, TimePoint now)
{
    Before before { {}, m_rows.borrowing };
    const auto keep = [&](const VmRecord& vm) {
        const auto row = m_rows.vms.find(vm.id);
        if (row != m_rows.vms.end())
            before.vms.insert(*row);
    };
    std::for_each(change.vms.begin(), change.vms.end(), keep);
    std::for_each(change.removedVms.begin(), change.removedVms.end(), keep);
    ++m_version;
    storeAll(m_rows.vms, change.vms, m_version);
    storeAll(m_rows.pools, change.pools, m_version);
    storeAll(m_rows.rollOuts, change.rollOuts, m_version);
    for (const auto& vm : change.removedVms) {
        m_rows.vms.erase(vm.id);
        m_stopped.erase(vm.id);
    }
    for (const auto& borrowing : change.borrowing) {
        m_rows.borrowing = borrowing;
        m_rows.borrowing.version = m_version;
    }
    for (const auto& vm : change.vms) {
        if (vm.phase == VmPhase::Serving)
            m_stopped.erase(vm.id);
        else
            m_stopped.try_emplace(vm.id, now);
    }
    m_rowsWritten += change.vms.size() + change.removedVms.size() + change.pools.size() + change.rollOuts.size()
        + change.borrowing.size();
    checkChange(before, m_rows, change);
}

CommitAnswer FakeTable::commit(const FleetChange& change, TimePoint now)
{
    if (!conditionsHold(change)) {
        m_conflicts++;
        return CommitAnswer::Conflict;
    }
    store(change, now);
    return CommitAnswer::Done;
}

void FakeTable::commitLater(const FleetChange& change, TimePoint at) { m_late.push_back({ change, at }); }

void FakeTable::advance(TimePoint now)
{
    const auto due
        = std::stable_partition(m_late.begin(), m_late.end(), [&](const Late& late) { return late.at > now; });
    const std::vector<Late> ripe { due, m_late.end() };
    m_late.erase(due, m_late.end());
    for (const auto& late : ripe)
        commit(late.change, now);
}

TimePoint FakeTable::stoppedServingAt(const VmId& vm) const
{
    const auto found = m_stopped.find(vm);
    return found == m_stopped.end() ? TimePoint::max() : found->second;
}

} // namespace rattanrack::fakes
