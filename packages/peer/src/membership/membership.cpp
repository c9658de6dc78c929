#include "rattanrack/peer/membership.h"

#include "gossip.h"
#include "member_table.h"
#include "own_row.h"

#include <utility>

namespace rattanrack::peer {

struct Membership::State {
    State(MembershipSettings initial, TimePoint now)
        : settings(std::move(initial))
        , ownRow(settings, now)
        , table(settings.self)
        , gossip(settings.randomSeed)
        , lastTick(now)
        , nextHeartbeat(now)
        , nextScan(now)
        , nextSuspectRead(now)
        , random(settings.randomSeed)
    {
    }

    void detectPause(TimePoint now);
    void sendHeartbeat(TimePoint now, MembershipOutput& output);
    void scan(TimePoint now, MembershipOutput& output);
    void readSuspects(TimePoint now, MembershipOutput& output);
    void removeGoneRow(TimePoint now, MembershipOutput& output);
    void onRows(const RowsResponse& response, TimePoint now, MembershipOutput& output);
    void endIfOverdue(PendingExchange& exchange, TimePoint now);
    Duration jittered(Duration duration);

    MembershipSettings settings;
    ExchangeIds ids;
    OwnRow ownRow;
    MemberTable table;
    Gossip gossip;
    NodeDigest digest;
    std::uint64_t sequence { 0 };
    TimePoint lastTick;
    Deadline nextHeartbeat;
    Deadline nextScan;
    Deadline nextSuspectRead;
    PendingExchange scanning;
    PendingExchange reading;
    PendingExchange removing;
    std::vector<NodeId> requestedNodes;
    bool isTableReachable { false };
    std::minstd_rand random;
};

Membership::Membership(MembershipSettings settings, TimePoint now)
    : m_state(std::make_unique<State>(std::move(settings), now))
{
}
Membership::~Membership() = default;
Membership::Membership(Membership&&) noexcept = default;
Membership& Membership::operator=(Membership&&) noexcept = default;

Duration Membership::State::jittered(Duration duration)
{
    std::uniform_int_distribution<Duration::rep> spread(duration.count() * 9 / 10, duration.count() * 11 / 10);
    return Duration { spread(random) };
}

void Membership::State::detectPause(TimePoint now)
{
    const Duration gap = now - lastTick;
    lastTick = now;
    if (gap > pauseThreshold)
        table.onPause(now, gap);
}

void Membership::State::sendHeartbeat(TimePoint now, MembershipOutput& output)
{
    if (!nextHeartbeat.hasPassed(now) || ownRow.isRemoved())
        return;
    nextHeartbeat = Deadline::after(now, jittered(heartbeatPeriod));
    Heartbeat heartbeat { settings.self, settings.address, settings.dataCenter, ++sequence, digest.configVersion,
        digest.viewVersion, ownRow.isLeaving(), digest.load, {}, {} };
    gossip.addMemberUpdates(table, isTableReachable, now, heartbeat);
    for (std::string& address : gossip.targets(table, settings))
        output.messages.push_back({ std::move(address), heartbeat });
}

void Membership::State::endIfOverdue(PendingExchange& exchange, TimePoint now)
{
    if (!exchange.isOverdue(now))
        return;
    exchange.end();
    isTableReachable = false;
    table.onTableUnreachable();
}

void Membership::State::scan(TimePoint now, MembershipOutput& output)
{
    endIfOverdue(scanning, now);
    if (scanning.isOpen() || !nextScan.hasPassed(now))
        return;
    nextScan = Deadline::after(now, jittered(isTableReachable ? nodeScanPeriod : renewalPeriod));
    scanning.begin(ids.next(), now, tableTimeout);
    output.requests.emplace_back(ScanRows { scanning.id(), nodeRowPrefix, 0, 2 * maxMembers });
}

void Membership::State::readSuspects(TimePoint now, MembershipOutput& output)
{
    endIfOverdue(reading, now);
    if (reading.isOpen() || !nextSuspectRead.hasPassed(now) || !isTableReachable)
        return;
    nextSuspectRead = Deadline::after(now, jittered(suspectReadPeriod));
    requestedNodes = table.suspectsToRead();
    if (requestedNodes.empty())
        return;
    reading.begin(ids.next(), now, tableTimeout);
    ReadRows read { reading.id(), {} };
    for (const NodeId& id : requestedNodes)
        read.keys.push_back(nodeRowKey(id));
    output.requests.emplace_back(std::move(read));
}

void Membership::State::removeGoneRow(TimePoint now, MembershipOutput& output)
{
    endIfOverdue(removing, now);
    if (removing.isOpen() || !isTableReachable)
        return;
    const auto* gone = table.rowToRemove(now);
    if (!gone)
        return;
    removing.begin(ids.next(), now, tableTimeout);
    const std::string key = nodeRowKey(gone->member.id);
    output.requests.emplace_back(
        CommitRows { removing.id(), { { { key, gone->member.rowVersion } }, { { key, std::nullopt } } } });
}

void Membership::State::onRows(const RowsResponse& response, TimePoint now, MembershipOutput& output)
{
    const bool isScan = scanning.matches(response.exchange);
    const bool isRead = reading.matches(response.exchange);
    if (!isScan && !isRead)
        return;
    PendingExchange& exchange = isScan ? scanning : reading;
    const ReadTimes times { exchange.sentAt(), now };
    exchange.end();
    isTableReachable = response.rows.has_value();
    if (!response.rows)
        table.onTableUnreachable();
    else if (isScan)
        table.onScan(*response.rows, times, output);
    else
        table.onRead(requestedNodes, *response.rows, times, output);
}

MembershipOutput Membership::tick(TimePoint now)
{
    MembershipOutput output;
    m_state->detectPause(now);
    m_state->ownRow.tick(now, m_state->ids, output);
    m_state->scan(now, output);
    m_state->table.updateStates(now, output);
    m_state->readSuspects(now, output);
    m_state->removeGoneRow(now, output);
    m_state->sendHeartbeat(now, output);
    return output;
}

MembershipOutput Membership::onHeartbeat(const Heartbeat& heartbeat, TimePoint now)
{
    MembershipOutput output;
    m_state->table.onHeartbeat(heartbeat, now, output);
    return output;
}

MembershipOutput Membership::onResponse(const TableResponse& response, TimePoint now)
{
    MembershipOutput output;
    if (m_state->ownRow.onResponse(response, now, m_state->ids, output))
        return output;
    if (const auto* rows = std::get_if<RowsResponse>(&response))
        m_state->onRows(*rows, now, output);
    else if (m_state->removing.matches(exchangeOf(response)))
        m_state->removing.end();
    return output;
}

void Membership::setDigest(const NodeDigest& digest) { m_state->digest = digest; }

void Membership::leave() { m_state->ownRow.leave(m_state->lastTick); }

MembershipOutput Membership::removeOwnRow()
{
    MembershipOutput output;
    m_state->ownRow.remove(m_state->ids, output);
    return output;
}

std::vector<NodeId> Membership::liveMembers() const { return m_state->table.live(); }

LivenessView Membership::liveness() const
{
    LivenessView view { m_state->ownRow.lease(), m_state->ownRow.isLeaving(), m_state->isTableReachable, {} };
    for (const auto& [id, entry] : m_state->table.entries())
        view.members.push_back(entry.member);
    return view;
}

bool Membership::isRegistered(TimePoint now) const { return !m_state->ownRow.lease().hasPassed(now); }

} // namespace rattanrack::peer
