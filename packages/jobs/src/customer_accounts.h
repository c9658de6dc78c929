#pragma once

#include "rattanrack/base/time.h"
#include "rattanrack/jobs/customer_use.h"
#include "submission_allowance.h"

#include <functional>
#include <map>
#include <vector>

namespace rattanrack::jobs {

/// One customer in a cell.
struct CustomerAccount {
    Customer settings; ///< As configured; the default ones if the configuration does not contain the customer.
    bool isConfigured { false };
    ResourceSize used; ///< By its runs that may be active.
    int runs { 0 }; ///< Number of those.
    ResourceSize waitingForQuota; ///< As in `CustomerUse`, so far in the current pass.
    ResourceSize unit; ///< The same.
    CustomerLimit limit; ///< Applies if the customer has a quota.
    SubmissionAllowance submissions;
    bool hasWork { false }; ///< In the current pass: it has runs, or steps that are ready.

    bool isLimited() const { return isConfigured && settings.hasQuota(); }
};

/// The customers of a cell: what they use there, and what they may use. Accounts stay in place until `removeUnused`.
class CustomerAccounts {
public:
    /// Applies the customers of the configuration in force. Those that it no longer contains lose their quota, and
    /// their accepted work goes on.
    void configure(const std::vector<Customer>& customers);

    /// False until the first call of `configure`: quotas are not known yet.
    bool isConfigured() const { return m_isConfigured; }
    bool isEmpty() const { return m_accounts.empty(); }

    /// Returns the account, which is created if necessary; null for an empty name.
    CustomerAccount* accountOf(const CustomerId& customer);
    const CustomerAccount* find(const CustomerId& customer) const;

    void setLimit(const CustomerId& customer, const CustomerLimit& limit);

    /// Customers with a quota, ascending by name.
    std::vector<CustomerUse> use() const;

    /// Removes accounts that are not configured, and are in no run and no job.
    void removeUnused(const std::function<bool(const CustomerAccount&)>& isInJob);

    void beginPass();

    /// Tasks of `size` each wait for the quota; `unit` of them together can start by themselves.
    static void recordWaiting(CustomerAccount& account, const ResourceSize& size, int tasks, int unit);

    /// Calls `visit(CustomerAccount&)` with each account.
    template <typename Visit> void forEach(Visit visit)
    {
        for (auto& [id, account] : m_accounts)
            visit(account);
    }

private:
    std::map<CustomerId, CustomerAccount> m_accounts;
    bool m_isConfigured { false };
};

/// The largest part that `size` takes of `total`, over the resources; 0 if `total` is empty.
double dominantShare(const ResourceSize& size, const ResourceSize& total);

/// How many tasks of `size` may start beside `used`, at most `wanted`.
int tasksWithinLimit(const CustomerLimit& limit, const ResourceSize& used, const ResourceSize& size,
    const ResourceSize& quota, int wanted);

} // namespace rattanrack::jobs
