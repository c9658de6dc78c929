#include "cell_state.h"
#include "free_capacity.h"
#include "resource_math.h"

#include <algorithm>

/// Customers in scheduling passes: whose work goes first when the cell is full, and what their quotas permit. The load
/// pattern is a customer that submits many times its usual, in a turn in which the cell is full without it.
namespace rattanrack::jobs {

namespace {

bool hasBestEffortStep(const Job& job)
{
    return std::any_of(
        job.spec.steps.begin(), job.spec.steps.end(), [](const Step& step) { return step.isBestEffort; });
}

} // namespace

void CellState::configureCustomers(const std::vector<Customer>& configured)
{
    customers.configure(configured);
    customers.removeUnused([&](const CustomerAccount& account) {
        return std::any_of(
            jobs.begin(), jobs.end(), [&](const auto& each) { return each.second->account == &account; });
    });
}

void CellState::countCustomersWithWork(const std::vector<ReadyStep>& ready)
{
    if (customers.isEmpty())
        return;
    customers.beginPass();
    for (const ReadyStep& each : ready) {
        if (each.entry->account)
            each.entry->account->hasWork = true;
    }
    weightWithWork = 0;
    customers.forEach(
        [&](const CustomerAccount& account) { weightWithWork += account.hasWork ? account.settings.weight : 0; });
}

/// Whether the customer uses at least its share of the cell, by the resource of which it uses most. The shares are
/// those of the customers that have work, in proportion to their weights.
bool CellState::isAtFairShare(const JobEntry& entry) const
{
    const CustomerAccount* account = entry.account;
    if (!account || weightWithWork <= 0)
        return false;
    return dominantShare(account->used, listedCapacity) >= account->settings.weight / weightWithWork;
}

int CellState::tasksWithinQuota(const JobEntry& entry, const Step& step, int wanted) const
{
    const CustomerAccount* account = entry.account;
    if (!account)
        return wanted;
    if (!customers.isConfigured())
        return 0;
    if (!account->isLimited())
        return wanted;
    return tasksWithinLimit(account->limit, account->used, step.size, account->settings.quota, wanted);
}

void CellState::recordHeldByQuota(const JobEntry& entry, const Step& step, int tasks)
{
    CustomerAccounts::recordWaiting(*entry.account, step.size, tasks, step.isGang ? step.count : 1);
}

bool CellState::isHeldByQuota(const ReadyStep& ready, const FreeCapacity& capacity)
{
    const Step& step = ready.spec();
    const int least = step.isGang ? step.count : 1;
    if (tasksWithinQuota(*ready.entry, step, least) >= least)
        return false;
    isAnyTaskWaiting = true;
    if (capacity.mayFit(step))
        recordHeldByQuota(*ready.entry, step, ready.entry->startableTasks(ready.occurrence, ready.step));
    return true;
}

/// Gives back the placements that the customer's quota does not permit; of a gang all or none start.
void CellState::limitToQuota(const ReadyStep& ready, std::vector<Placement>& placements, FreeCapacity& capacity)
{
    const int placed = static_cast<int>(placements.size());
    const Step& step = ready.spec();
    int allowed = tasksWithinQuota(*ready.entry, step, placed);
    if (allowed >= placed)
        return;
    allowed = step.isGang ? 0 : allowed;
    recordHeldByQuota(*ready.entry, step, placed - allowed);
    const std::vector<Placement> excess { placements.begin() + allowed, placements.end() };
    capacity.giveBack(excess, step);
    placements.resize(static_cast<std::size_t>(allowed));
}

void Cell::setCustomerLimit(const CustomerId& customer, const CustomerLimit& limit)
{
    m_state->customers.setLimit(customer, limit);
}

/// What waits for the quota is limited to the room that there is, so that a full cell takes nothing that others need.
std::vector<CustomerUse> Cell::customerUse() const
{
    std::vector<CustomerUse> uses = m_state->customers.use();
    if (uses.empty())
        return uses;
    ResourceSize free = m_state->listedCapacity;
    for (const auto& [id, worker] : m_state->workers)
        free -= worker.isListed ? worker.used : ResourceSize {};
    for (CustomerUse& use : uses)
        use.waiting = larger(smaller(use.waiting, larger(free, {})), use.unit);
    return uses;
}

/// Without a bound where the capacity of a worker is not known, and where best-effort tasks, which may use more
/// processors than there are, may run.
ResourceSize Cell::uncontactedCapacity() const
{
    const CellState& state = *m_state;
    ResourceSize total;
    for (const auto& [id, machine] : state.inheritedWorkers) {
        const auto known = state.workers.find(id);
        if (known == state.workers.end() || !known->second.isListed)
            return unlimitedSize;
        total += known->second.description.capacity;
    }
    const bool hasBestEffort = !state.inheritedWorkers.empty()
        && std::any_of(state.unfinishedJobs.begin(), state.unfinishedJobs.end(),
            [](const JobEntry* entry) { return entry->account && hasBestEffortStep(entry->job); });
    return hasBestEffort ? unlimitedSize : total;
}

/// A call without a key, on a route that needs none, is about jobs of its own queue.
bool Cell::isOfOtherCustomer(const JobId& job, const CustomerId& customer, const QueueAddress& queue) const
{
    const JobEntry* entry = m_state->find(job);
    if (!entry || entry->job.customer.isEmpty() || entry->job.customer == customer)
        return false;
    if (customer.isEmpty() && entry->job.queueAddress == queue)
        return false;
    const CustomerAccount* owner = m_state->customers.find(entry->job.customer);
    return owner && owner->isConfigured;
}

} // namespace rattanrack::jobs
