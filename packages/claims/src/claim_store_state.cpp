#include "claim_store_state.h"

#include "claim_rows.h"

#include "rattanrack/base/log.h"

#include <algorithm>
#include <utility>

namespace rattanrack::claims {

using namespace policy;

namespace {

constexpr Duration tickPeriod = std::chrono::milliseconds { 50 };
constexpr Duration idlePeriod = std::chrono::seconds { 1 };
constexpr Duration reloadDelay = std::chrono::milliseconds { 250 };
constexpr std::size_t maxShardRows = 1U << 20U;

/// Whether an answer may be passed on: a grant must be for the key, attempt and state of the claim.
bool isAnswerTo(const Claim& requested, const ClaimAnswer& answer)
{
    return answer.verdict != ClaimVerdict::Granted
        || (answer.claim.key == requested.key && answer.claim.attempt == requested.attempt
            && answer.claim.state == requested.state);
}

} // namespace

ClaimStore::State::State(
    const ClaimStoreSettings& storeSettings, platform::Table& storeTable, const Clock& storeClock, SendRequest sender)
    : settings(storeSettings)
    , table(storeTable)
    , clock(storeClock)
    , send(std::move(sender))
    , home(storeSettings.home)
    , tableThread([] { return idlePeriod; }, [] {})
    , decisionThread([this] { return tickDelay(); }, [this] { tick(); })
{
}

ClaimStore::State::~State()
{
    tableThread.stop(SerialExecutor::QueuedFunctions::Drop);
    decisionThread.stop(SerialExecutor::QueuedFunctions::Run);
    for (auto& [ticket, callback] : pendingCallbacks)
        callback({});
    for (auto& [exchange, request] : forwarded)
        request.callback({});
}

void ClaimStore::State::submit(const Claim& claim, Callback callback)
{
    ++currentCounters.submitted;
    auto counting = [this, callback = std::move(callback)](const ClaimAnswer& answer) {
        currentCounters.unavailable += answer.verdict == ClaimVerdict::Unavailable ? 1 : 0;
        callback(answer);
    };
    const auto shard = claimShardOf(claim.key, settings.home.shardCount);
    const auto holder = homes.find(shard);
    const bool isElsewhere = holder != homes.end() && !holder->second.isEmpty() && holder->second != settings.home.self;
    if (!home.holds(shard) && isElsewhere)
        return forward(claim, std::move(counting), holder->second);
    submitHere(claim, std::move(counting));
}

void ClaimStore::State::submitHere(const Claim& claim, Callback callback)
{
    const auto now = clock.now();
    const auto ticket = ++lastTicket;
    pendingCallbacks.emplace(ticket, std::move(callback));
    execute(home.submit(ticket, claim, Deadline::after(now, settings.answerTimeout), now));
}

void ClaimStore::State::forward(const Claim& claim, Callback callback, const NodeId& holder)
{
    if (forwarded.size() >= settings.maxForwarded)
        return callback({});
    ++currentCounters.forwarded;
    const auto exchange = ++lastTicket;
    forwarded[exchange] = { claim, std::move(callback), Deadline::after(clock.now(), settings.answerTimeout) };
    publishCounters();
    send(holder, { exchange, settings.home.self, claim });
}

void ClaimStore::State::onReply(const peer::ClaimReply& reply)
{
    auto request = forwarded.extract(reply.exchange);
    if (request.empty())
        return;
    const bool isFitting = isAnswerTo(request.mapped().claim, reply.answer);
    request.mapped().callback(isFitting ? reply.answer : ClaimAnswer {});
}

void ClaimStore::State::takeShard(ClaimShardIndex shard, platform::RowVersion version)
{
    heldShards[shard] = version;
    homes[shard] = settings.home.self;
    execute(home.dropShard(shard, clock.now()));
    load(shard, version);
}

void ClaimStore::State::dropShard(ClaimShardIndex shard)
{
    heldShards.erase(shard);
    reloads.erase(shard);
    if (homes[shard] == settings.home.self)
        homes.erase(shard);
    execute(home.dropShard(shard, clock.now()));
}

bool ClaimStore::State::isHeldAt(ClaimShardIndex shard, platform::RowVersion version) const
{
    const auto found = heldShards.find(shard);
    return found != heldShards.end() && found->second == version;
}

void ClaimStore::State::load(ClaimShardIndex shard, platform::RowVersion version)
{
    tableThread.post([this, shard, version] {
        const auto rows = readRows([&] { return table.scan(claimRowPrefix(shard), 0, maxShardRows); });
        decisionThread.post([this, shard, version, rows] { onLoaded(shard, version, rows); });
    });
}

void ClaimStore::State::onLoaded(
    ClaimShardIndex shard, platform::RowVersion version, const std::optional<platform::Rows>& rows)
{
    if (!isHeldAt(shard, version))
        return;
    const auto now = clock.now();
    const auto claimRows = rows && rows->size() < maxShardRows ? claimRowsOf(shard, *rows) : std::nullopt;
    if (!claimRows) {
        logEvent("claims.load_failed", { { "shard", shard }, { "read", rows ? "malformed" : "unavailable" } },
            LogLevel::Warning);
        reloads[shard] = { version, Deadline::after(now, reloadDelay) };
        return;
    }
    logEvent("claims.shard_taken", { { "shard", shard }, { "version", version }, { "rows", claimRows->size() } });
    execute(home.takeShard(shard, version, *claimRows, now));
}

void ClaimStore::State::execute(const ClaimEffects& effects)
{
    if (effects.commit)
        commit(*effects.commit);
    if (effects.readBack)
        readBack(*effects.readBack);
    for (const auto shard : effects.lost) {
        logEvent("claims.shard_lost", { { "shard", shard } });
        heldShards.erase(shard);
        homes.erase(shard);
    }
    for (const auto& each : effects.answers) {
        auto waiter = pendingCallbacks.extract(each.ticket);
        if (!waiter.empty())
            waiter.mapped()(each.answer);
    }
    publishCounters();
}

void ClaimStore::State::commit(const ClaimBatch& batch)
{
    ++currentCounters.commits;
    tableThread.post([this, batch] {
        const auto outcome = table.commit(transactionOf(batch));
        decisionThread.post([this, id = batch.id, status = claimStatus(outcome.status)] {
            execute(home.onCommit(id, status, clock.now()));
        });
    });
}

void ClaimStore::State::readBack(const ClaimBatch& batch)
{
    tableThread.post([this, batch] {
        const auto rows = readRows([&] { return table.read(readBackKeys(batch)); });
        decisionThread.post([this, batch, rows] {
            auto readings = rows ? std::optional { readingsOf(batch, *rows) } : std::nullopt;
            execute(home.onReadBack(batch.id, readings, clock.now()));
        });
    });
}

void ClaimStore::State::tick()
{
    const auto now = clock.now();
    execute(home.tick(now));
    while (!forwarded.empty() && forwarded.begin()->second.deadline.hasPassed(now)) {
        const auto overdue = forwarded.extract(forwarded.begin());
        overdue.mapped().callback({});
    }
    for (auto reload = reloads.begin(); reload != reloads.end();) {
        const auto [shard, due] = *reload;
        if (!due.at.hasPassed(now)) {
            ++reload;
            continue;
        }
        reload = reloads.erase(reload);
        load(shard, due.version);
    }
}

void ClaimStore::State::publishCounters()
{
    currentCounters.records = home.recordCount();
    currentCounters.rows = home.rowCount();
    currentCounters.queued = home.queuedCount();
    const std::lock_guard guard { countersMutex };
    publishedCounters = currentCounters;
}

std::chrono::microseconds ClaimStore::State::tickDelay() const
{
    const bool hasWork = !pendingCallbacks.empty() || !forwarded.empty() || !reloads.empty();
    const auto longest = hasWork ? tickPeriod : idlePeriod;
    const auto due = home.wakeUpAt();
    return due == Deadline::never() ? longest : std::min(longest, due.remaining(clock.now()));
}

std::optional<platform::Rows> ClaimStore::State::readRows(const std::function<Result<platform::Rows>()>& read) const
{
    return valueOrNothing(read);
}

} // namespace rattanrack::claims
