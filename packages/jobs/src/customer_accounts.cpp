#include "customer_accounts.h"

#include <algorithm>

namespace rattanrack::jobs {

void CustomerAccounts::configure(const std::vector<Customer>& customers)
{
    m_isConfigured = true;
    for (auto& [id, account] : m_accounts) {
        account.settings = { id };
        account.isConfigured = false;
    }
    for (const Customer& customer : customers) {
        CustomerAccount& account = m_accounts[customer.id];
        account.settings = customer;
        account.isConfigured = true;
    }
}

CustomerAccount* CustomerAccounts::accountOf(const CustomerId& customer)
{
    if (customer.isEmpty())
        return nullptr;
    const auto [found, isNew] = m_accounts.try_emplace(customer);
    if (isNew)
        found->second.settings.id = customer;
    return &found->second;
}

const CustomerAccount* CustomerAccounts::find(const CustomerId& customer) const
{
    const auto found = m_accounts.find(customer);
    return found == m_accounts.end() ? nullptr : &found->second;
}

void CustomerAccounts::setLimit(const CustomerId& customer, const CustomerLimit& limit)
{
    const auto found = m_accounts.find(customer);
    if (found != m_accounts.end())
        found->second.limit = limit;
}

std::vector<CustomerUse> CustomerAccounts::use() const
{
    std::vector<CustomerUse> uses;
    for (const auto& [id, account] : m_accounts) {
        if (account.isLimited())
            uses.push_back({ id, account.settings.quota, account.used, account.waitingForQuota, account.unit });
    }
    return uses;
}

void CustomerAccounts::removeUnused(const std::function<bool(const CustomerAccount&)>& isInJob)
{
    std::erase_if(m_accounts, [&](const auto& each) {
        const CustomerAccount& account = each.second;
        return !account.isConfigured && account.runs == 0 && !isInJob(account);
    });
}

void CustomerAccounts::beginPass()
{
    for (auto& [id, account] : m_accounts) {
        account.waitingForQuota = account.unit = {};
        account.hasWork = account.used != ResourceSize {};
    }
}

void CustomerAccounts::recordWaiting(CustomerAccount& account, const ResourceSize& size, int tasks, int unit)
{
    const auto times = [&](std::int64_t count) {
        return ResourceSize { Millicores { size.processors.count() * count }, Mebibytes { size.memory.count() * count },
            Accelerators { size.accelerators.count() * count } };
    };
    const ResourceSize together = times(unit);
    const bool isSmaller = account.unit == ResourceSize {}
        || together.processors.count() + together.memory.count()
            < account.unit.processors.count() + account.unit.memory.count();
    account.waitingForQuota += times(tasks);
    if (isSmaller)
        account.unit = together;
}

double dominantShare(const ResourceSize& size, const ResourceSize& total)
{
    const auto part = [](std::int64_t used, std::int64_t all) {
        return all > 0 ? static_cast<double>(used) / static_cast<double>(all) : 0;
    };
    return std::max({ part(size.processors.count(), total.processors.count()),
        part(size.memory.count(), total.memory.count()), part(size.accelerators.count(), total.accelerators.count()) });
}

int tasksWithinLimit(const CustomerLimit& limit, const ResourceSize& used, const ResourceSize& size,
    const ResourceSize& quota, int wanted)
{
    std::int64_t tasks = wanted;
    const auto restrict = [&](std::int64_t allowed, std::int64_t inUse, std::int64_t each) {
        if (each > 0)
            tasks = std::min(tasks, std::max<std::int64_t>(allowed - inUse, 0) / each);
    };
    restrict(limit.size.processors.count(), used.processors.count(), size.processors.count());
    restrict(limit.size.memory.count(), used.memory.count(), size.memory.count());
    restrict(limit.size.accelerators.count(), used.accelerators.count(), size.accelerators.count());
    const auto isOver = [](std::int64_t each, std::int64_t all) { return all > 0 && each > all; };
    const bool isLargerThanQuota = isOver(size.processors.count(), quota.processors.count())
        || isOver(size.memory.count(), quota.memory.count())
        || isOver(size.accelerators.count(), quota.accelerators.count());
    if (tasks == 0 && isLargerThanQuota && limit.isWholeQuota && used == ResourceSize {})
        return std::min(wanted, 1);
    return static_cast<int>(tasks);
}

} // namespace rattanrack::jobs
