#include "own_row.h"

#include "rattanrack/base/log.h"

namespace rattanrack::peer {

namespace {

constexpr Duration retryDelay = std::chrono::seconds { 1 };

} // namespace

OwnRow::OwnRow(const MembershipSettings& settings, TimePoint now)
    : m_row { settings.self, settings.address, settings.dataCenter, 0, false, false }
    , m_nextRenewal(now)
    , m_random(settings.randomSeed)
{
}

void OwnRow::tick(TimePoint now, ExchangeIds& ids, MembershipOutput& output)
{
    if (m_isRemoved)
        return;
    if (m_commit.isOverdue(now) || m_read.isOverdue(now)) {
        m_commit.end();
        m_read.end();
        m_mustReadBack = true;
    }
    if (m_commit.isOpen() || m_read.isOpen() || !m_nextRenewal.hasPassed(now))
        return;
    if (m_mustReadBack)
        readBack(now, ids, output);
    else
        renew(now, ids, output);
}

void OwnRow::renew(TimePoint now, ExchangeIds& ids, MembershipOutput& output)
{
    ++m_row.renewal;
    m_renewedAt = now;
    m_nextRenewal = Deadline::after(now, jittered(renewalPeriod));
    m_commit.begin(ids.next(), now, tableTimeout);
    const std::string key = nodeRowKey(m_row.id);
    platform::Transaction transaction { { { key, m_version } }, { { key, encodeNodeRow(m_row) } } };
    output.requests.emplace_back(CommitRows { m_commit.id(), std::move(transaction) });
}

void OwnRow::readBack(TimePoint now, ExchangeIds& ids, MembershipOutput& output)
{
    m_mustReadBack = true;
    m_read.begin(ids.next(), now, tableTimeout);
    output.requests.emplace_back(ReadRows { m_read.id(), { nodeRowKey(m_row.id) } });
}

bool OwnRow::onResponse(const TableResponse& response, TimePoint now, ExchangeIds& ids, MembershipOutput& output)
{
    if (const auto* commit = std::get_if<CommitResponse>(&response); commit && m_commit.matches(commit->exchange)) {
        m_commit.end();
        onCommit(commit->outcome, now, ids, output);
        return true;
    }
    if (const auto* rows = std::get_if<RowsResponse>(&response); rows && m_read.matches(rows->exchange)) {
        m_read.end();
        onRows(*rows, now, output);
        return true;
    }
    return false;
}

void OwnRow::onCommit(const platform::CommitOutcome& outcome, TimePoint now, ExchangeIds& ids, MembershipOutput& output)
{
    switch (outcome.status) {
    case platform::CommitStatus::Done:
        onRenewed(outcome.version, output);
        return;
    case platform::CommitStatus::Conflict:
    case platform::CommitStatus::Unknown:
        readBack(now, ids, output);
        return;
    case platform::CommitStatus::Refused:
    case platform::CommitStatus::Unavailable:
        scheduleRetry(now);
        return;
    }
}

void OwnRow::onRows(const RowsResponse& response, TimePoint now, MembershipOutput& output)
{
    if (!response.rows) {
        scheduleRetry(now);
        return;
    }
    m_mustReadBack = false;
    m_nextRenewal = Deadline { now };
    if (!response.rows->empty())
        onStoredRow(response.rows->front(), now, output);
    else if (m_version != 0)
        onRowLost(0, now, output);
}

void OwnRow::onStoredRow(const platform::Row& stored, TimePoint now, MembershipOutput& output)
{
    const NodeRow row = handle([&] { return decodeNodeRow(stored.key, stored.value); },
        [](const Error& error) {
            logEvent("membership.own_row_malformed", { { "error", describe(error) } }, LogLevel::Error);
            return NodeRow {};
        });
    if (row.isFenced || row.id.isEmpty()) {
        onRowLost(stored.version, now, output);
        return;
    }
    // Only this node writes unfenced rows under its id, so the row is one of its own renewals.
    const bool isLatest = row.renewal == m_row.renewal;
    m_version = stored.version;
    if (isLatest)
        onRenewed(stored.version, output);
}

void OwnRow::onRenewed(platform::RowVersion version, MembershipOutput& output)
{
    m_version = version;
    m_lease = Deadline::after(m_renewedAt, nodeLease);
    if (!m_isRegistered)
        output.ownRow = OwnRowEvent::Registered;
    m_isRegistered = true;
}

void OwnRow::onRowLost(platform::RowVersion version, TimePoint now, MembershipOutput& output)
{
    m_version = version;
    m_lease = Deadline {};
    m_isRegistered = false;
    m_nextRenewal = Deadline { now };
    output.ownRow = OwnRowEvent::Fenced;
    logEvent("membership.fenced", { { "node", m_row.id.value() } }, LogLevel::Warning);
}

void OwnRow::scheduleRetry(TimePoint now) { m_nextRenewal = Deadline::after(now, jittered(retryDelay)); }

void OwnRow::leave(TimePoint now)
{
    m_row.isLeaving = true;
    m_nextRenewal = Deadline { now };
}

void OwnRow::remove(ExchangeIds& ids, MembershipOutput& output)
{
    if (m_isRemoved || m_version == 0)
        return;
    m_isRemoved = true;
    m_lease = Deadline {};
    const std::string key = nodeRowKey(m_row.id);
    output.requests.emplace_back(CommitRows { ids.next(), { { { key, m_version } }, { { key, std::nullopt } } } });
}

Duration OwnRow::jittered(Duration duration)
{
    std::uniform_int_distribution<Duration::rep> spread(duration.count() * 9 / 10, duration.count() * 11 / 10);
    return Duration { spread(m_random) };
}

} // namespace rattanrack::peer
