#pragma once

#include "virtual_time.h"

#include "rattanrack/policy/claim_home.h"

#include <algorithm>
#include <map>
#include <memory>

namespace rattanrack::measure {

/// The table service as claims see it: so many commits a second, one after another, each with a round trip.
class CommitQueue {
public:
    CommitQueue(VirtualTime& time, double commitsPerSecond)
        : m_time(time)
        , m_serviceTime(static_cast<Duration::rep>(1e6 / commitsPerSecond))
    {
    }

    void commit(std::size_t rows, VirtualTime::Action whenDone)
    {
        constexpr Duration roundTrip = std::chrono::milliseconds { 3 };
        m_freeAt = std::max(m_freeAt, m_time.now()) + m_serviceTime;
        m_time.at(m_freeAt + roundTrip, [this, rows, whenDone = std::move(whenDone)] {
            ++m_commits;
            m_rows += rows;
            whenDone();
        });
    }

    /// Done so far.
    std::uint64_t commits() const { return m_commits; }
    std::uint64_t rows() const { return m_rows; }

private:
    VirtualTime& m_time;
    Duration m_serviceTime;
    TimePoint m_freeAt {};
    std::uint64_t m_commits { 0 };
    std::uint64_t m_rows { 0 };
};

/// A way to make claims durable. `whenDurable` runs when the change may be acted on.
class ClaimWay {
public:
    virtual ~ClaimWay() = default;
    virtual void record(const policy::Claim&, VirtualTime::Action whenDurable) = 0;
};

/// A row for each request: inserted, updated with the result, removed after the retention.
class RowPerRequest final : public ClaimWay {
public:
    RowPerRequest(VirtualTime& time, CommitQueue& table, Duration retention)
        : m_time(time)
        , m_table(table)
        , m_retention(retention)
    {
    }

    void record(const policy::Claim& claim, VirtualTime::Action whenDurable) override
    {
        m_table.commit(1, std::move(whenDurable));
        if (claim.state != policy::ClaimState::Claimed)
            m_time.after(m_retention, [this] { m_table.commit(1, [] {}); });
    }

private:
    VirtualTime& m_time;
    CommitQueue& m_table;
    Duration m_retention;
};

/// Group commit by as many ClaimHomes as there are `homeCount`, which share out all shards.
class GroupCommit final : public ClaimWay {
public:
    GroupCommit(VirtualTime& time, CommitQueue& table, const policy::ClaimHomeSettings& settings, std::size_t homeCount)
        : m_time(time)
        , m_table(table)
        , m_shardCount(settings.shardCount)
    {
        for (std::size_t index = 0; index < homeCount; ++index)
            m_homes.push_back(std::make_unique<policy::ClaimHome>(settings));
        for (policy::ClaimShardIndex shard = 0; shard < m_shardCount; ++shard)
            (void)homeOf(shard).takeShard(shard, 1, {}, m_time.now());
        for (auto& home : m_homes)
            tickForever(*home);
    }

    void record(const policy::Claim& claim, VirtualTime::Action whenDurable) override
    {
        const auto ticket = ++m_lastTicket;
        m_waiting[ticket] = std::move(whenDurable);
        auto& home = homeOf(policy::claimShardOf(claim.key, m_shardCount));
        carryOut(home, home.submit(ticket, claim, Deadline::never(), m_time.now()));
    }

private:
    policy::ClaimHome& homeOf(policy::ClaimShardIndex shard) { return *m_homes[shard % m_homes.size()]; }

    void tickForever(policy::ClaimHome& home)
    {
        constexpr Duration period = std::chrono::milliseconds { 10 };
        carryOut(home, home.tick(m_time.now()));
        m_time.after(period, [this, &home] { tickForever(home); });
    }

    void carryOut(policy::ClaimHome& home, const policy::ClaimEffects& effects)
    {
        for (const auto& each : effects.answers) {
            auto waiter = m_waiting.extract(each.ticket);
            if (each.answer.verdict == policy::ClaimVerdict::Granted)
                waiter.mapped()();
        }
        if (!effects.commit)
            return;
        std::size_t rows = effects.commit->appends.size();
        for (const auto& removal : effects.commit->removals)
            rows += removal.sequences.size();
        m_table.commit(rows, [this, &home, id = effects.commit->id] {
            carryOut(home, home.onCommit(id, policy::ClaimCommitStatus::Done, m_time.now()));
        });
    }

    VirtualTime& m_time;
    CommitQueue& m_table;
    std::uint32_t m_shardCount;
    std::vector<std::unique_ptr<policy::ClaimHome>> m_homes;
    std::map<policy::ClaimTicket, VirtualTime::Action> m_waiting;
    policy::ClaimTicket m_lastTicket { 0 };
};

} // namespace rattanrack::measure
