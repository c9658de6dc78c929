#include "rattanrack/node/part_writer.h"

#include "rattanrack/base/log.h"
#include "rattanrack/base/milliseconds.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace rattanrack::node {

namespace {

using namespace std::chrono_literals;

constexpr Duration pauseAfterFailure = 100ms;
/// A transaction without a response for this long means that the store is unreachable. Sooner, only a connection may
/// have failed.
constexpr Duration longestTimeWithoutResponse = 500ms;
constexpr int maxTakeoverTries = 8;

/// Writes which row of a rejected transaction is the largest, since the store limits the size of a row.
void logRejected(const jobs::PartTransaction& transaction, jobs::Fence term, const std::string& detail)
{
    constexpr std::size_t longestDetail = 200;
    const auto size = [](const jobs::RowWrite& write) { return write.value ? write.value->size() : 0; };
    const auto largest = std::max_element(transaction.writes.begin(), transaction.writes.end(),
        [&](const jobs::RowWrite& left, const jobs::RowWrite& right) { return size(left) < size(right); });
    logEvent("part.transaction_rejected",
        { { "part", transaction.part }, { "term", term }, { "rows", transaction.writes.size() },
            { "largestTable", largest->row.table }, { "largestKey", largest->row.key },
            { "largestBytes", size(*largest) }, { "detail", detail.substr(0, longestDetail) } },
        LogLevel::Error);
}

Result<void> takeOwnership(jobs::PartStore& store, jobs::OwnedPart& part, const jobs::WorkerMachines& workers)
{
    part.beginTransaction({}, workers);
    const std::string& name = part.transaction().part;
    for (int tries = 0; tries < maxTakeoverTries; ++tries) {
        const jobs::TransactionOutcome outcome = store.commit(part.transaction());
        switch (part.resolve(outcome)) {
        case jobs::OwnerWriteOutcome::Done:
            return {};
        case jobs::OwnerWriteOutcome::Lost:
            return fail(ErrorCode::Conflict, "part.take", name);
        case jobs::OwnerWriteOutcome::NotApplied:
            return fail(ErrorCode::Unavailable, "part.take", name, outcome.detail);
        case jobs::OwnerWriteOutcome::Rejected:
            logRejected(part.transaction(), part.term(), outcome.detail);
            return fail(ErrorCode::Unavailable, "part.take", name, outcome.detail);
        case jobs::OwnerWriteOutcome::Unresolved:
            std::this_thread::sleep_for(pauseAfterFailure);
            break;
        }
    }
    return fail(ErrorCode::OutcomeUnknown, "part.take", name);
}

struct StoredOwner {
    std::optional<jobs::OwnerRow> row;
    jobs::RowVersion version { 0 };
};

Result<StoredOwner> readOwnerRow(jobs::PartStore& store, const PoolId& name)
{
    BOOST_LEAF_AUTO(rows, store.read({ jobs::ownerTable, name.value(), {} }));
    StoredOwner stored;
    for (const jobs::PartRow& row : rows.rows) {
        if (row.row.key != jobs::ownerKey)
            continue;
        BOOST_LEAF_AUTO(decoded, jobs::decodeOwnerRow(row.value));
        stored = { std::move(decoded), row.version };
    }
    return stored;
}

} // namespace

Result<jobs::OwnerSighting> readOwner(jobs::PartStore& store, const PoolId& name)
{
    BOOST_LEAF_AUTO(stored, readOwnerRow(store, name));
    if (!stored.row)
        return jobs::OwnerSighting {};
    return jobs::OwnerSighting { stored.row->holder, stored.row->term, stored.version };
}

Result<PartTakeover> takeOverPart(jobs::PartStore& store, const Clock& clock, const PoolId& name, const NodeId& self,
    const jobs::TakeoverCondition& condition)
{
    BOOST_LEAF_AUTO(stored, readOwnerRow(store, name));
    const auto& [ownerRow, version] = stored;
    const bool hasOtherTerm = condition.term && (!ownerRow || ownerRow->term != *condition.term);
    if (hasOtherTerm || (condition.rowVersion && *condition.rowVersion != version))
        return fail(ErrorCode::Conflict, "part.take", name.value(), "the owner row has changed");
    PartTakeover takeover { { name, self, ownerRow, version }, ownerRow ? ownerRow->holder : NodeId {},
        ownerRow ? ownerRow->workers : jobs::WorkerMachines {},
        ownerRow ? ownerRow->outstandingLeases : jobs::OutstandingLeases {},
        ownerRow ? ownerRow->earlierGrantsLeft : std::nullopt, clock.now() };
    BOOST_LEAF_CHECK(takeOwnership(store, takeover.part, takeover.workers));
    return takeover;
}

PartWriter::PartWriter(Parts parts, PartTakeover takeover, Callbacks callbacks)
    : m_parts(parts)
    , m_part(std::move(takeover.part))
    , m_callbacks(std::move(callbacks))
    , m_isAlive(std::make_shared<bool>(true))
    , m_confirmedAt(takeover.confirmedAt)
{
}

PartWriter::~PartWriter() { *m_isAlive = false; }

bool PartWriter::isFree() const { return !m_isOver && !m_part.isInFlight() && m_parts.clock.now() >= m_pauseUntil; }

void PartWriter::write(std::vector<jobs::RowWrite> rows, jobs::WorkerMachines workers,
    std::optional<jobs::OutstandingLeases> handsBack, std::optional<Duration> earlierGrantsLeft)
{
    m_isHandBack = handsBack.has_value();
    m_part.beginTransaction(std::move(rows), std::move(workers), std::move(handsBack), earlierGrantsLeft);
    m_firstSentAt = m_parts.clock.now();
    send();
}

void PartWriter::poll()
{
    const bool mustRepeat = !m_isOver && m_part.isInFlight() && !m_isSending;
    if (mustRepeat && m_parts.clock.now() >= m_pauseUntil)
        send();
}

void PartWriter::send()
{
    m_sentAt = m_parts.clock.now();
    m_isSending = m_parts.threads.submit([this, transaction = m_part.transaction(), sentAt = m_sentAt,
                                             alive = m_isAlive, &store = m_parts.store, &control = m_parts.control] {
        auto outcome = store.commit(transaction);
        control.post([this, alive, outcome = std::move(outcome), sentAt] {
            if (*alive)
                onOutcome(outcome, sentAt);
        });
    });
    if (!m_isSending)
        m_pauseUntil = m_sentAt + pauseAfterFailure;
}

void PartWriter::setStoreReachable(bool isReachable, const std::string& detail)
{
    if (std::exchange(m_isStoreReachable, isReachable) == isReachable)
        return;
    logEvent(isReachable ? "store.regained" : "store.lost",
        { { "part", m_part.transaction().part }, { "detail", detail } }, LogLevel::Warning);
    if (!isReachable)
        m_callbacks.onStoreLost();
}

void PartWriter::onOutcome(const jobs::TransactionOutcome& outcome, TimePoint sentAt)
{
    m_isSending = false;
    const auto result = m_part.resolve(outcome);
    const bool hasResponded = result == jobs::OwnerWriteOutcome::Done || result == jobs::OwnerWriteOutcome::Lost
        || result == jobs::OwnerWriteOutcome::Rejected;
    const bool mayBeOneConnection = result == jobs::OwnerWriteOutcome::Unresolved
        && m_parts.clock.now() - m_firstSentAt < longestTimeWithoutResponse;
    if (!mayBeOneConnection)
        setStoreReachable(hasResponded, outcome.detail);
    switch (result) {
    case jobs::OwnerWriteOutcome::Done:
        m_confirmedAt = sentAt;
        m_isOver = m_isHandBack;
        m_callbacks.onStored();
        if (m_isOver)
            m_callbacks.onLost();
        return;
    case jobs::OwnerWriteOutcome::Lost:
        logEvent("part.lost",
            { { "part", m_part.transaction().part }, { "term", m_part.term() },
                { "confirmedMs", milliseconds(m_parts.clock.now() - m_confirmedAt) } },
            LogLevel::Warning);
        m_isOver = true;
        m_callbacks.onLost();
        return;
    case jobs::OwnerWriteOutcome::NotApplied:
        m_part.abandon();
        m_pauseUntil = m_parts.clock.now() + pauseAfterFailure;
        m_callbacks.onNotStored();
        return;
    case jobs::OwnerWriteOutcome::Rejected:
        logRejected(m_part.transaction(), m_part.term(), outcome.detail);
        m_part.abandon();
        m_pauseUntil = m_parts.clock.now() + pauseAfterFailure;
        m_callbacks.onRejected();
        return;
    case jobs::OwnerWriteOutcome::Unresolved:
        m_pauseUntil = m_parts.clock.now() + pauseAfterFailure;
        return;
    }
}

} // namespace rattanrack::node
