#include "roles.h"

#include <cstdio>

namespace {

constexpr double entryNodes = 42; // 7 in each of 6 data centres
constexpr double pools = 147;
constexpr double changesPerDay = 1500;
constexpr double duties = 147 * 2 + 64; // planner and credit home of each pool, and the claim shards
constexpr double maxBytesPerSecond = 6000;
constexpr double maxCoreShare = 0.016;
constexpr double maxStateBytes = 32.0 * 1024 * 1024;
constexpr double maxWrites = 300;
constexpr double maxReads = 2000;

void verdict(const char* name, double value, double limit)
{
    std::printf("limit=%s value=%.4g of=%.4g share=%.3f verdict=%s\n", name, value, limit, value / limit,
        value <= limit ? "met" : "missed");
}

} // namespace

/// Measures what each role takes at several sizes and works out the two-year size from the slopes.
int main()
{
    using namespace rattanrack::capacity;
    std::printf("assumed entry_nodes=%g duties=%g\n", entryNodes, duties);
    const ControlPlane control = measureControlPlane(entryNodes, duties);
    const double configBytes = measureConfigBytes(pools, changesPerDay);
    measureTrafficAndFleet();
    measureClaims();
    measureMetrics();
    verdict("peer_bytes_per_s", control.wireBytesPerSecond, maxBytesPerSecond);
    verdict("peer_table_and_config_bytes_per_s", control.wireBytesPerSecond + control.tableBytesPerSecond + configBytes,
        maxBytesPerSecond);
    verdict("control_core_share", control.coreShare, maxCoreShare);
    verdict("control_state_bytes", control.stateBytes, maxStateBytes);
    verdict("table_reads_per_s_all", control.tableReadsPerSecond, maxReads);
    verdict("table_writes_per_s_all", control.tableWritesPerSecond, maxWrites);
    return 0;
}
