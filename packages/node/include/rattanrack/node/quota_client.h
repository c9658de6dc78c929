#pragma once

#include "rattanrack/base/metrics.h"
#include "rattanrack/jobs/cell.h"
#include "rattanrack/jobs/cell_quotas.h"
#include "rattanrack/node/control_loop.h"
#include "rattanrack/node/elastic_thread_pool.h"

#include <functional>
#include <memory>

namespace rattanrack::node {

/// Reads and writes the store's rows of quotas for one cell, and sets what customers may use in the cell. Control
/// thread only.
class QuotaClient {
public:
    struct Parts {
        ControlLoop& control;
        const Clock& clock;
        Metrics& metrics;
        ElasticThreadPool& threads;
        jobs::PartStore& store;
        std::function<void()> onChange; ///< A read or transaction has ended: limits may have changed.
    };

    /// `term`: of the owner of the cell.
    QuotaClient(Parts parts, const PoolId& cell, jobs::Fence term);
    ~QuotaClient();
    QuotaClient(const QuotaClient&) = delete;
    QuotaClient& operator=(const QuotaClient&) = delete;

    void configure(const jobs::QuotaCells& cells) { m_quotas.configure(cells); }

    /// To be called before each scheduling pass. Costs nothing where no customer has a quota.
    void update(jobs::Cell& cell);

private:
    void read();
    void send(const jobs::PartTransaction& transaction);
    void report(const std::vector<jobs::CustomerUse>& uses, TimePoint now);

    Parts m_parts;
    PoolId m_cell;
    jobs::Fence m_term;
    jobs::CellQuotas m_quotas;
    jobs::TransactionStatus m_latestStatus { jobs::TransactionStatus::Done };
    TimePoint m_nextReportAt {};
    std::shared_ptr<bool> m_isAlive;
};

} // namespace rattanrack::node
