#pragma once

#include "traffic/admission.h"
#include "traffic/credit_asker.h"
#include "traffic/credit_holder.h"
#include "traffic/credit_home.h"
#include "traffic/kind_estimates.h"
#include "traffic/pool_queue.h"
#include "traffic/request_table.h"
#include "traffic/retry_budget.h"
#include "traffic/usage_guard.h"
#include "traffic/worker_health.h"

#include <cstdint>
#include <vector>

namespace rattanrack::policy {

/// The live nodes as the core last heard of them.
struct Peers {
    NodeId self;
    std::vector<NodeId> live; ///< Sorted; includes `self`.

    std::size_t selfIndex() const;
    bool contains(const NodeId&) const;
};

/// The traffic of one pool on one node: its queue, its credits, its workers' health, and its home if it sits here.
class PoolTraffic {
public:
    PoolTraffic(PoolId, RequestTable&, const Peers&, std::uint64_t seed);

    void setPolicy(const PoolPolicy&, const std::vector<KindPolicy>&, const std::vector<TeamPolicy>&);

    /// `workers` are those of this pool, sorted by id.
    void setWorkers(const std::vector<WorkerView>& workers);
    void peersChanged();
    void setHome(const NodeId&, std::uint64_t term);

    bool knows(const WorkKind& kind) const { return m_queue.knows(kind); }
    void submit(const RequestSpec&);
    void cancel(Request&);
    void attemptEnded(Request&, AttemptEnd);
    void usageReported(Request&, const ResourceSize&);
    void asked(const CreditAsk&);
    void granted(const CreditGrant&);

    /// The request's wake time has come: it has waited or run as long as it may.
    void wake(Request&);

    /// Ends a queued request for this reason.
    void giveUp(Request&, NotRunReason);

    /// Dispatches, asks and grants whatever is possible now.
    void run();

    Deadline nextWake() const;

private:
    double capacity() const;
    TimePoint now() const { return m_table.now(); }
    bool makeRoom(const Request& newcomer);
    bool isFull(const RequestSpec&) const;
    void dispatchAll();
    bool dispatchFirst(PoolQueue::Blocked&);
    const CreditHolder::Worker* workerFor(const Request&) const;
    void dispatch(Request&, const WorkerView&);
    void settle(Request&, AttemptEnd, bool isWorkerSuspect);
    bool canRetry(const Request&);
    bool hasUntriedWorker(const Request&) const;
    void deliver(const CreditHome::Grants&);
    void stop(Request&);

    PoolPolicy m_policy;
    RequestTable& m_table;
    const Peers& m_peers;
    PoolQueue m_queue;
    CreditHolder m_credits;
    CreditAsker m_asker;
    CreditHome m_home;
    KindEstimates m_estimates;
    WorkerHealth m_health;
    RetryBudget m_retries;
    UsageGuard m_usage;
    Admission m_admission;
    const Request* m_blocked { nullptr }; // waits although credits are idle; valid until the next event
};

} // namespace rattanrack::policy
