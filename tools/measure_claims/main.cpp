#include "ways.h"

#include <docopt/docopt.h>

#include <array>
#include <iostream>
#include <random>

/// Compares ways to make claims durable, in virtual time: writes for each request, and the wait that a claim adds.
namespace {

using namespace rattanrack;
using namespace rattanrack::measure;
using namespace std::chrono_literals;

constexpr const char* usage = R"(Compares ways to make at-most-once claims durable, in virtual time.

Usage:
  measure-claims [--seconds=N] [--seed=N] [--writes=N] [--shards=N]

Options:
  --seconds=N  Virtual time of arrivals for each case [default: 60].
  --seed=N     Seed of arrivals and run times [default: 1].
  --writes=N   Commits that the table takes in a second [default: 400].
  --shards=N   Shards of keys, shared out to seven homes [default: 8].
)";

constexpr Duration retention = 10s;
constexpr double meanRunSeconds = 2;
constexpr std::size_t nodeCount = 7;
constexpr std::array requestsPerSecond { 1, 10, 100, 300, 1000 };

struct Options {
    Duration arrivals {};
    std::uint64_t seed { 1 };
    double writesPerSecond { 400 };
    std::uint32_t shards { 8 };
};

using MakeWay = std::unique_ptr<ClaimWay> (*)(VirtualTime&, CommitQueue&, const Options&);

struct NamedWay {
    const char* name;
    MakeWay make;
};

policy::ClaimHomeSettings homeSettings(const Options& options)
{
    policy::ClaimHomeSettings settings;
    settings.self = NodeId { "node" };
    settings.shardCount = options.shards;
    settings.retention = retention;
    return settings;
}

std::unique_ptr<ClaimWay> rowPerRequest(VirtualTime& time, CommitQueue& table, const Options&)
{
    return std::make_unique<RowPerRequest>(time, table, retention);
}
std::unique_ptr<ClaimWay> batchPerShard(VirtualTime& time, CommitQueue& table, const Options& options)
{
    return std::make_unique<GroupCommit>(time, table, homeSettings(options), options.shards);
}
std::unique_ptr<ClaimWay> batchPerHome(VirtualTime& time, CommitQueue& table, const Options& options)
{
    return std::make_unique<GroupCommit>(time, table, homeSettings(options), nodeCount);
}

constexpr std::array ways { NamedWay { "row_per_request", rowPerRequest },
    NamedWay { "batch_per_shard", batchPerShard }, NamedWay { "batch_per_home", batchPerHome } };

/// One way under one load.
class Trial {
public:
    Trial(const NamedWay& way, int load, const Options& options)
        : m_table(m_time, options.writesPerSecond)
        , m_way(way.make(m_time, m_table, options))
        , m_random(options.seed)
        , m_name(way.name)
        , m_load(load)
        , m_shards(options.shards)
        , m_end(m_time.now() + options.arrivals)
    {
    }

    void run()
    {
        arrive();
        m_time.runUntil(m_end);
        print();
    }

private:
    Duration exponential(double meanSeconds)
    {
        std::exponential_distribution<double> seconds { 1 / meanSeconds };
        return Duration { static_cast<Duration::rep>(seconds(m_random) * 1e6) };
    }

    void arrive()
    {
        m_time.after(exponential(1.0 / m_load), [this] {
            request();
            arrive();
        });
    }

    void request()
    {
        policy::Claim claim;
        claim.key = IdempotencyKey { "key-" + std::to_string(++m_requests) };
        claim.attempt = AttemptId { "attempt-" + std::to_string(m_requests) };
        claim.owner = NodeId { "node" };
        m_way->record(claim, [this, claim, asked = m_time.now()] {
            m_waits.push_back(m_time.now() - asked);
            m_time.after(exponential(meanRunSeconds), [this, claim] { complete(claim); });
        });
    }

    void complete(policy::Claim claim)
    {
        claim.state = policy::ClaimState::Completed;
        claim.output = "done";
        m_way->record(claim, [] {});
    }

    double waitMilliseconds(double quantile)
    {
        if (m_waits.empty())
            return 0;
        const auto rank = static_cast<std::size_t>(quantile * static_cast<double>(m_waits.size() - 1));
        std::ranges::nth_element(m_waits, m_waits.begin() + static_cast<std::ptrdiff_t>(rank));
        return static_cast<double>(m_waits[rank].count()) / 1000;
    }

    void print()
    {
        const auto requests = static_cast<double>(std::max<std::uint64_t>(m_requests, 1));
        const std::chrono::duration<double> seconds = m_end - TimePoint {};
        const auto commits = static_cast<double>(m_table.commits());
        std::cout << "way=" << m_name << " shards=" << m_shards << " requests_per_s=" << m_load
                  << " requests=" << m_requests << " claimed=" << m_waits.size()
                  << " commits_per_s=" << commits / seconds.count() << " commits_per_request=" << commits / requests
                  << " rows_per_request=" << static_cast<double>(m_table.rows()) / requests
                  << " wait_p50_ms=" << waitMilliseconds(0.5) << " wait_p99_ms=" << waitMilliseconds(0.99) << '\n';
    }

    VirtualTime m_time;
    CommitQueue m_table;
    std::unique_ptr<ClaimWay> m_way;
    std::mt19937_64 m_random;
    const char* m_name;
    int m_load;
    std::uint32_t m_shards;
    TimePoint m_end;
    std::uint64_t m_requests { 0 };
    std::vector<Duration> m_waits;
};

} // namespace

int main(int argc, char** argv)
{
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    const Options options { std::chrono::seconds { arguments["--seconds"].asLong() },
        static_cast<std::uint64_t>(arguments["--seed"].asLong()), static_cast<double>(arguments["--writes"].asLong()),
        static_cast<std::uint32_t>(arguments["--shards"].asLong()) };
    for (const int load : requestsPerSecond) {
        for (const auto& way : ways)
            Trial { way, load, options }.run();
    }
    return 0;
}
