#pragma once

#include "rattanrack/platform/circuit_breaker.h"
#include "rattanrack/platform/table.h"
#include "rattanrack/platform/token_bucket.h"

#include <mutex>

namespace rattanrack::platform {

/// Share of the table service that one node may use, in calls per second.
struct TableShare {
    double writesPerSecond { 50 };
    double readsPerSecond { 250 };
    double burstSeconds { 1 }; ///< Size of a burst, in seconds of the rate.
};

struct RateLimitedTableCounters {
    std::uint64_t reads { 0 }; ///< Calls that were sent to the service.
    std::uint64_t writes { 0 };
    std::uint64_t failures { 0 }; ///< Calls that ended as Unavailable or Unknown.
    std::uint64_t overShare { 0 }; ///< Calls rejected because the share was used up.
    std::uint64_t rejectedByBreaker { 0 };
    std::uint64_t breakerOpenCount { 0 };
};

/// Limits a node to its share of the table service, and stops calls to a service that fails. A rejected call ends at
/// once as Unavailable; calls neither wait nor are retried here. After an outage the share starts from empty buckets,
/// so that all nodes together resume at the federation's rate. Thread-safe.
///
///     RateLimitedTable limited { httpTable, clock, share, seed };
///     auto outcome = limited.commit(transaction);
class RateLimitedTable final : public Table {
public:
    /// `inner` and `clock` must outlive this object. Nodes should have different seeds.
    RateLimitedTable(Table& inner, const Clock& clock, const TableShare&, std::uint64_t seed);
    RateLimitedTable(
        Table& inner, const Clock& clock, const TableShare&, const CircuitBreaker::Limits&, std::uint64_t seed);

    CommitOutcome commit(const Transaction&) override;
    Result<Rows> read(const std::vector<std::string>& keys) override;
    Result<Rows> scan(const std::string& prefix, RowVersion newerThan, std::size_t limit) override;

    /// False while the circuit breaker is not closed.
    bool isServiceUp() const;
    RateLimitedTableCounters counters() const;

private:
    using Counter = std::uint64_t RateLimitedTableCounters::*;

    std::optional<CircuitBreaker::Permission> tryAcquire(TokenBucket&, Counter);
    void recordResult(CircuitBreaker::Permission, bool isSuccess);
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
