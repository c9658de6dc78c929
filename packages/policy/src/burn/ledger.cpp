#include "rattanrack/policy/burn.h"

#include "rattanrack/base/invariant.h"

#include <algorithm>

namespace rattanrack::policy {

namespace {

constexpr WallTime runningMinuteInterval = std::chrono::seconds { 15 };
constexpr WallTime runningHourInterval = std::chrono::minutes { 5 };

WallTime bucketStart(BurnTier tier, WallTime now) { return now - now % bucketLength(tier); }

} // namespace

WallTime bucketLength(BurnTier tier)
{
    if (tier == BurnTier::Minute)
        return std::chrono::minutes { 1 };
    return std::chrono::hours { 1 };
}

WallTime retention(BurnTier tier)
{
    if (tier == BurnTier::Minute)
        return std::chrono::minutes { 65 };
    return std::chrono::hours { 74 };
}

BurnCounts& BurnCounts::operator+=(const BurnCounts& other)
{
    counted += other.counted;
    good += other.good;
    return *this;
}

std::optional<bool> isGood(const BurnObjective& objective, Urgency urgency, BurnOutcome outcome, Duration latency)
{
    if (outcome == BurnOutcome::Cancelled)
        return std::nullopt;
    return outcome == BurnOutcome::Done && latency <= objective.latency[static_cast<std::size_t>(urgency)];
}

std::string rowName(const BurnRowKey& key)
{
    const char* const tier = key.tier == BurnTier::Minute ? "/m/" : "/h/";
    return "burn/" + key.node.value() + tier + std::to_string(key.start.count());
}

bool isExpired(const BurnRowKey& key, WallTime now) { return key.start + retention(key.tier) <= now; }

void BurnLedger::count(const BurnSeries& series, bool isGood, WallTime now)
{
    for (const BurnTier tier : { BurnTier::Minute, BurnTier::Hour }) {
        Bucket& bucket = bucketAt(tier, now);
        bucket.counts[series] += BurnCounts { 1, isGood ? 1U : 0U };
        bucket.isDirty = true;
    }
}

BurnLedger::Bucket& BurnLedger::bucketAt(BurnTier tier, WallTime now)
{
    Buckets& buckets = bucketsOf(tier);
    WallTime start = bucketStart(tier, now);
    // An older bucket may have left memory: counting into a new one of its name would overwrite its row with less.
    if (!buckets.empty())
        start = std::max(start, buckets.rbegin()->first);
    return buckets[start];
}

std::optional<BurnRow> BurnLedger::takeDueRow(WallTime now)
{
    if (auto row = takeFinished(BurnTier::Hour, now))
        return row;
    if (auto row = takeFinished(BurnTier::Minute, now))
        return row;
    if (auto row = takeRunning(BurnTier::Hour, now, runningHourInterval))
        return row;
    return takeRunning(BurnTier::Minute, now, runningMinuteInterval);
}

std::optional<BurnRow> BurnLedger::takeFinished(BurnTier tier, WallTime now)
{
    for (auto& [start, bucket] : bucketsOf(tier)) {
        if (start + bucketLength(tier) > now)
            break;
        if (bucket.isDirty)
            return take(tier, start, bucket, now);
    }
    return std::nullopt;
}

std::optional<BurnRow> BurnLedger::takeRunning(BurnTier tier, WallTime now, WallTime interval)
{
    Buckets& buckets = bucketsOf(tier);
    if (buckets.empty())
        return std::nullopt;
    auto& [start, bucket] = *buckets.rbegin();
    const bool isDue = now >= bucket.lastTaken + interval || now < bucket.lastTaken;
    if (!bucket.isDirty || !isDue)
        return std::nullopt;
    return take(tier, start, bucket, now);
}

BurnRow BurnLedger::take(BurnTier tier, WallTime start, Bucket& bucket, WallTime now) const
{
    bucket.isDirty = false;
    bucket.lastTaken = now;
    return { { m_node, tier, start }, bucket.counts };
}

void BurnLedger::putBack(const BurnRowKey& key)
{
    checkInvariant(key.node == m_node, "burn.row_is_own", key.node.value());
    Buckets& buckets = bucketsOf(key.tier);
    const auto found = buckets.find(key.start);
    if (found != buckets.end())
        found->second.isDirty = true;
}

std::vector<BurnRowKey> BurnLedger::takeExpired(WallTime now)
{
    std::vector<BurnRowKey> expired;
    for (const BurnTier tier : { BurnTier::Minute, BurnTier::Hour }) {
        Buckets& buckets = bucketsOf(tier);
        // The latest bucket stays, since a clock that stepped back counts into it.
        while (buckets.size() > 1 && isExpired({ m_node, tier, buckets.begin()->first }, now)) {
            expired.push_back({ m_node, tier, buckets.begin()->first });
            buckets.erase(buckets.begin());
        }
    }
    return expired;
}

} // namespace rattanrack::policy
