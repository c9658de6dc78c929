#include "rattanrack/policy/claim_home.h"

#include "rattanrack/base/invariant.h"
#include "rattanrack/policy/claim_row_codec.h"

#include <algorithm>
#include <utility>

namespace rattanrack::policy {

ClaimHome::ClaimHome(ClaimHomeSettings settings)
    : m_settings(std::move(settings))
{
}

ClaimEffects ClaimHome::takeShard(
    ClaimShardIndex shard, ClaimDutyVersion version, const std::vector<ClaimRow>& rows, TimePoint now)
{
    m_shards.erase(shard);
    m_shards.emplace(shard, HeldShard { version, ClaimShard { rows, m_settings.retention, now } });
    return tick(now);
}

ClaimEffects ClaimHome::dropShard(ClaimShardIndex shard, TimePoint now)
{
    m_shards.erase(shard);
    return tick(now);
}

ClaimEffects ClaimHome::submit(ClaimTicket ticket, const Claim& claim, Deadline giveUpAt, TimePoint now)
{
    ClaimEffects effects;
    Item item { ticket, claim, giveUpAt };
    const auto encoded = encodeClaimRow(m_settings.self, 0, { claim });
    item.bytes = encoded ? encoded->size() : 0;
    auto* shard = shardOf(claim);
    const bool canStore = encoded && item.bytes <= m_settings.maxBatchBytes;
    if (!shard || !canStore || m_queue.size() >= m_settings.maxQueued) {
        answer(effects, item, ClaimVerdict::Unavailable);
        return effects;
    }
    shard->records.expire(now);
    const auto decision = shard->records.decide(claim);
    if (!decision.needsCommit && !isKeyInFlight(claim.key))
        answer(effects, item, decision.verdict, decision.claim);
    else
        m_queue.push_back(std::move(item));
    advance(effects, now);
    return effects;
}

ClaimEffects ClaimHome::onCommit(std::uint64_t batch, ClaimCommitStatus status, TimePoint now)
{
    ClaimEffects effects;
    if (!m_inFlight || m_inFlight->batch.id != batch)
        return effects;
    switch (status) {
    case ClaimCommitStatus::Done:
        finishApplied(effects, now);
        break;
    case ClaimCommitStatus::Conflict:
        effects.readBack = m_inFlight->batch;
        return effects;
    case ClaimCommitStatus::Refused:
        if (m_inFlight->mayHaveApplied)
            effects.readBack = m_inFlight->batch;
        else
            finishRefused(effects);
        break;
    case ClaimCommitStatus::Unknown:
        m_inFlight->mayHaveApplied = true;
        retryLater(now);
        break;
    case ClaimCommitStatus::Unavailable:
        retryLater(now);
        break;
    }
    advance(effects, now);
    return effects;
}

ClaimEffects ClaimHome::onReadBack(
    std::uint64_t batch, const std::optional<std::vector<ClaimShardReading>>& readings, TimePoint now)
{
    ClaimEffects effects;
    if (!m_inFlight || m_inFlight->batch.id != batch)
        return effects;
    auto fate = BatchFate::Open;
    for (const auto& reading : readings.value_or(std::vector<ClaimShardReading> {}))
        fate = std::max(fate, fateOf(reading));
    if (fate == BatchFate::Applied)
        finishApplied(effects, now);
    else if (fate == BatchFate::Fenced)
        finishFenced();
    else
        retryLater(now);
    loseShards(effects, readings.value_or(std::vector<ClaimShardReading> {}));
    advance(effects, now);
    return effects;
}

ClaimEffects ClaimHome::tick(TimePoint now)
{
    ClaimEffects effects;
    for (auto& [index, shard] : m_shards)
        shard.records.expire(now);
    giveUpOverdue(effects, now);
    advance(effects, now);
    return effects;
}

Deadline ClaimHome::wakeUpAt() const
{
    if (m_inFlight)
        return m_inFlight->retryAt;
    return m_queue.empty() ? Deadline::never() : m_nextCommitAt;
}

std::size_t ClaimHome::recordCount() const
{
    std::size_t count = 0;
    for (const auto& [index, shard] : m_shards)
        count += shard.records.recordCount();
    return count;
}

std::size_t ClaimHome::rowCount() const
{
    std::size_t count = 0;
    for (const auto& [index, shard] : m_shards)
        count += shard.records.rowCount();
    return count;
}

ClaimHome::HeldShard* ClaimHome::shardOf(const Claim& claim)
{
    const auto found = m_shards.find(claimShardOf(claim.key, m_settings.shardCount));
    return found == m_shards.end() ? nullptr : &found->second;
}

bool ClaimHome::isKeyInFlight(const IdempotencyKey& key) const
{
    return m_inFlight
        && std::ranges::any_of(m_inFlight->items, [&](const Item& item) { return item.claim.key == key; });
}

void ClaimHome::answer(ClaimEffects& effects, Item& item, ClaimVerdict verdict, const Claim& claim)
{
    if (!std::exchange(item.isAnswered, true))
        effects.answers.push_back({ item.ticket, { verdict, claim } });
}

void ClaimHome::advance(ClaimEffects& effects, TimePoint now)
{
    if (!m_inFlight && m_nextCommitAt.hasPassed(now))
        startBatch(effects, now);
    if (!m_inFlight || !m_inFlight->retryAt.hasPassed(now))
        return;
    m_inFlight->retryAt = Deadline::never();
    effects.commit = m_inFlight->batch;
}

void ClaimHome::giveUpOverdue(ClaimEffects& effects, TimePoint now)
{
    if (m_inFlight) {
        for (auto& item : m_inFlight->items) {
            if (item.giveUpAt.hasPassed(now))
                answer(effects, item, ClaimVerdict::Unavailable);
        }
    }
    std::erase_if(m_queue, [&](Item& item) {
        if (item.giveUpAt.hasPassed(now))
            answer(effects, item, ClaimVerdict::Unavailable);
        return item.isAnswered;
    });
}

void ClaimHome::startBatch(ClaimEffects& effects, TimePoint now)
{
    InFlight next;
    gather(effects, next);
    addRemovals(next);
    constexpr std::size_t rowsWorthACommit = 100;
    std::size_t removals = 0;
    for (const auto& removal : next.batch.removals)
        removals += removal.sequences.size();
    if (next.items.empty() && removals < rowsWorthACommit)
        return;
    next.batch.id = ++m_lastBatch;
    addAppends(next);
    next.retryAt = Deadline { now };
    m_inFlight = std::move(next);
    m_nextCommitAt = Deadline::after(now, m_settings.commitInterval);
}

void ClaimHome::gather(ClaimEffects& effects, InFlight& next)
{
    std::deque<Item> left;
    std::size_t bytes = 0;
    for (auto& item : m_queue) {
        if (!place(effects, next, item, bytes))
            left.push_back(std::move(item));
    }
    m_queue = std::move(left);
}

bool ClaimHome::place(ClaimEffects& effects, InFlight& next, Item& item, std::size_t& bytes)
{
    auto* shard = shardOf(item.claim);
    if (!shard) {
        answer(effects, item, ClaimVerdict::Unavailable);
        return true;
    }
    auto& changes = next.changes[claimShardOf(item.claim.key, m_settings.shardCount)];
    if (std::ranges::any_of(changes, [&](const Claim& change) { return change.key == item.claim.key; }))
        return false;
    const auto decision = shard->records.decide(item.claim);
    if (!decision.needsCommit) {
        answer(effects, item, decision.verdict, decision.claim);
        return true;
    }
    const bool isFull = next.items.size() >= m_settings.maxBatchClaims || bytes + item.bytes > m_settings.maxBatchBytes;
    if (isFull)
        return false;
    bytes += item.bytes;
    changes.push_back(decision.claim);
    next.items.push_back(std::move(item));
    return true;
}

void ClaimHome::addAppends(InFlight& next) const
{
    for (const auto& [index, changes] : next.changes) {
        if (changes.empty())
            continue;
        const auto& shard = m_shards.at(index);
        next.batch.appends.push_back({ index, shard.version, shard.records.nextSequence(),
            encodeClaimRow(m_settings.self, next.batch.id, changes).value_or("") });
    }
}

void ClaimHome::addRemovals(InFlight& next) const
{
    std::size_t left = m_settings.maxRemovals;
    for (const auto& [index, shard] : m_shards) {
        auto rows = shard.records.removableRows(left);
        if (rows.empty())
            continue;
        left -= rows.size();
        next.batch.removals.push_back({ index, shard.version, std::move(rows) });
    }
}

void ClaimHome::retryLater(TimePoint now) { m_inFlight->retryAt = Deadline::after(now, m_settings.retryPause); }

void ClaimHome::finishApplied(ClaimEffects& effects, TimePoint now)
{
    auto done = std::move(*m_inFlight);
    m_inFlight.reset();
    // A shard that was lost and taken anew in between has read the batch's rows already.
    for (const auto& append : done.batch.appends) {
        const auto held = m_shards.find(append.shard);
        if (held != m_shards.end() && held->second.version == append.dutyVersion)
            held->second.records.apply({ append.sequence, done.changes[append.shard] }, now);
    }
    for (const auto& removal : done.batch.removals) {
        const auto held = m_shards.find(removal.shard);
        if (held != m_shards.end() && held->second.version == removal.dutyVersion)
            held->second.records.forgetRemovedRows(removal.sequences.size());
    }
    for (auto& item : done.items) {
        const auto& changes = done.changes[claimShardOf(item.claim.key, m_settings.shardCount)];
        const auto change = std::ranges::find(changes, item.claim.key, &Claim::key);
        answer(effects, item, ClaimVerdict::Granted, *change);
    }
}

void ClaimHome::finishRefused(ClaimEffects& effects)
{
    for (auto& item : m_inFlight->items)
        answer(effects, item, ClaimVerdict::Unavailable);
    m_inFlight.reset();
}

void ClaimHome::finishFenced()
{
    // The duty's version never returns, so the batch can't take effect later: what it held goes anew.
    auto fenced = std::move(*m_inFlight);
    m_inFlight.reset();
    for (auto item = fenced.items.rbegin(); item != fenced.items.rend(); ++item) {
        if (!item->isAnswered)
            m_queue.push_front(std::move(*item));
    }
}

void ClaimHome::loseShards(ClaimEffects& effects, const std::vector<ClaimShardReading>& readings)
{
    for (const auto& reading : readings) {
        const auto held = m_shards.find(reading.shard);
        if (held == m_shards.end() || held->second.version >= reading.dutyVersion)
            continue;
        m_shards.erase(held);
        effects.lost.push_back(reading.shard);
    }
}

ClaimHome::BatchFate ClaimHome::fateOf(const ClaimShardReading& reading) const
{
    const auto& batch = m_inFlight->batch;
    const auto append = std::ranges::find(batch.appends, reading.shard, &ClaimAppend::shard);
    const auto removal = std::ranges::find(batch.removals, reading.shard, &ClaimRemoval::shard);
    if (append != batch.appends.end() && reading.value == append->value)
        return BatchFate::Applied;
    const bool isAppendFenced = append != batch.appends.end() && append->dutyVersion != reading.dutyVersion;
    const bool isRemovalFenced = removal != batch.removals.end() && removal->dutyVersion != reading.dutyVersion;
    if (isAppendFenced || isRemovalFenced)
        return BatchFate::Fenced;
    checkInvariant(!reading.value, "claims.only_the_holder_appends", m_settings.self.value());
    return BatchFate::Open;
}

} // namespace rattanrack::policy
