#pragma once

#include "rattanrack/platform/circuit_breaker.h"
#include "rattanrack/platform/table.h"
#include "rattanrack/platform/token_bucket.h"

#include <mutex>

namespace rattanrack::platform {

/// What one node may use of the table service, in calls a second.
struct TableShare {
    double writesPerSecond { 50 };
    double readsPerSecond { 250 };
    double burstSeconds { 1 }; ///< Calls of so many seconds may come at once.
};

struct RateLimitedTableCounters {
    std::uint64_t reads { 0 }; ///< Calls that went to the service.
    std::uint64_t writes { 0 };
    std::uint64_t failures { 0 }; ///< Calls that ended as Unavailable or Unknown.
    std::uint64_t overShare { 0 }; ///< Calls held back by the share.
    std::uint64_t rejectedByBreaker { 0 };
    std::uint64_t breakerOpenCount { 0 };
};

/// Keeps a node within its share of the table service, and away from a service that fails. A call that is held back
/// ends at once as Unavailable; nothing waits or retries here. After an outage the share starts from empty buckets, so
/// that all nodes together come back at the federation's rate. Safe from several threads.
///
///     GovernedTable governed { httpTable, clock, share, seed };
///     auto outcome = governed.commit(transaction);
class RateLimitedTable final : public Table {
public:
    /// `inner` and `clock` must outlive it. Nodes should have different seeds.
    RateLimitedTable(Table& inner, const Clock& clock, const TableShare&, std::uint64_t seed);
    RateLimitedTable(
        Table& inner, const Clock& clock, const TableShare&, const CircuitBreaker::Limits&, std::uint64_t seed);

    CommitOutcome commit(const Transaction&) override;
    Result<Rows> read(const std::vector<std::string>& keys) override;
    Result<Rows> scan(const std::string& prefix, RowVersion newerThan, std::size_t limit) override;

    /// False while the service is thought to be down.
    bool isServiceUp() const;
    RateLimitedTableCounters counters() const;

private:
    using Counter = std::uint64_t RateLimitedTableCounters::*;

    std::optional<CircuitBreaker::Permission> tryAcquire(TokenBucket&, Counter);
    void recordResult(CircuitBreaker::Permission, bool isGood);
    template <typename Call> Result<Rows> limitRead(const char* step, Call call);

    Table& m_inner;
    const Clock& m_clock;
    mutable std::mutex m_mutex;
    TokenBucket m_writes;
    TokenBucket m_reads;
    CircuitBreaker m_breaker;
    RateLimitedTableCounters m_counters;
};

} // namespace rattanrack::platform
