#include "rattanrack/peer/duties.h"

#include "../exchange_ids.h"
#include "duty_plan.h"
#include "duty_row.h"

#include "rattanrack/base/log.h"

#include <algorithm>
#include <random>
#include <set>
#include <utility>

namespace rattanrack::peer {

namespace {

constexpr std::size_t maxDutyRows = 8192;
/// Other nodes become known during this time, before vacant duties are taken.
constexpr Duration startDelay = std::chrono::seconds { 3 };
constexpr Duration nodeRowRetention = std::chrono::seconds { 15 };
constexpr Duration conflictDelay = std::chrono::milliseconds { 300 };
constexpr Duration minBackoff = std::chrono::milliseconds { 500 };
constexpr Duration maxBackoff = std::chrono::seconds { 8 };

} // namespace

struct Duties::State {
    State(DutiesSettings initial, TimePoint now)
        : settings(std::move(initial))
        , lastTick(now)
        , nextScan(now)
        , nextFullScan(now)
        , nextRebalance(Deadline::after(now, rebalancePeriod))
        , nextCommit(Deadline::after(now, startDelay))
        , random(settings.randomSeed)
    {
        std::sort(settings.names.begin(), settings.names.end());
    }

    void detectPause(const LivenessView& liveness, TimePoint now);
    void scan(TimePoint now, DutiesOutput& output);
    void handleTimeouts(TimePoint now, DutiesOutput& output);
    void commitPlan(const LivenessView& liveness, TimePoint now, DutiesOutput& output);
    DutyPlan makePlan(const LivenessView& liveness, TimePoint now);
    void readBack(TimePoint now, DutiesOutput& output);
    void onScanned(const RowsResponse& response);
    void onReadBack(const RowsResponse& response, TimePoint now);
    void onCommit(const platform::CommitOutcome& outcome, TimePoint now, DutiesOutput& output);
    void onCommitted(platform::RowVersion version, TimePoint now);
    void merge(const platform::Row& stored);
    void mergeNodeRow(const platform::Row& stored, TimePoint now);
    void removeExpiredNodeRows(TimePoint now);
    void updateHeld(TimePoint now, DutiesOutput& output);
    bool isHolding(const DutyName& name, const DutyRow& row) const;
    void backOff(TimePoint now);
    Duration jittered(Duration duration);

    DutiesSettings settings;
    ExchangeIds ids;
    Deadline ownLease;
    std::map<DutyName, DutyRow> rows;
    std::map<NodeId, KnownNodeRow> nodeRows;
    std::map<DutyName, HeldDuty> held;
    std::set<DutyName> unconfirmed;
    TakeoverPlanner takeover;
    DutyPlan plan; ///< Being committed or read back.
    std::string attempt; ///< Of the plan.
    std::uint64_t attempts { 0 };
    bool hasScanned { false };
    bool isFullScan { false };
    bool mustReadBack { false };
    platform::RowVersion newestVersion { 0 };
    TimePoint lastTick;
    Deadline nextScan;
    Deadline nextFullScan;
    Deadline nextRebalance;
    Deadline nextCommit;
    Duration backoff {};
    PendingExchange scanning;
    PendingExchange committing;
    PendingExchange reading;
    std::minstd_rand random;
};

Duties::Duties(DutiesSettings settings, TimePoint now)
    : m_state(std::make_unique<State>(std::move(settings), now))
{
}
Duties::~Duties() = default;
Duties::Duties(Duties&&) noexcept = default;
Duties& Duties::operator=(Duties&&) noexcept = default;

Duration Duties::State::jittered(Duration duration)
{
    std::uniform_int_distribution<Duration::rep> spread(duration.count() / 2, duration.count() * 3 / 2);
    return Duration { spread(random) };
}

void Duties::State::backOff(TimePoint now)
{
    backoff = std::clamp(backoff * 2, minBackoff, maxBackoff);
    nextCommit = Deadline::after(now, jittered(backoff));
}

void Duties::State::detectPause(const LivenessView& liveness, TimePoint now)
{
    if (now - lastTick > pauseThreshold || !liveness.isTableReachable)
        takeover.reset();
    lastTick = now;
}

void Duties::State::scan(TimePoint now, DutiesOutput& output)
{
    if (scanning.isOverdue(now))
        scanning.end();
    if (scanning.isOpen() || !nextScan.hasPassed(now))
        return;
    nextScan = Deadline::after(now, jittered(dutyScanPeriod));
    isFullScan = !hasScanned || nextFullScan.hasPassed(now);
    if (isFullScan)
        nextFullScan = Deadline::after(now, jittered(dutyFullScanPeriod));
    scanning.begin(ids.next(), now, tableTimeout);
    output.requests.emplace_back(
        ScanRows { scanning.id(), dutyRowPrefix, isFullScan ? 0 : newestVersion, maxDutyRows });
}

void Duties::State::onScanned(const RowsResponse& response)
{
    if (!response.rows)
        return;
    if (isFullScan)
        unconfirmed.clear();
    for (const platform::Row& row : *response.rows) {
        merge(row);
        newestVersion = std::max(newestVersion, row.version);
    }
    hasScanned = true;
}

void Duties::State::merge(const platform::Row& stored)
{
    const DutyRow row = handle([&] { return decodeDutyRow(stored); },
        [](const Error& error) {
            logEvent("duties.row_malformed", { { "error", describe(error) } }, LogLevel::Error);
            return DutyRow {};
        });
    DutyRow& known = rows[dutyNameOf(stored.key)];
    if (row.version >= known.version && row.version != 0)
        known = row;
    unconfirmed.erase(dutyNameOf(stored.key));
}

void Duties::State::mergeNodeRow(const platform::Row& stored, TimePoint now)
{
    const NodeRow row
        = handle([&] { return decodeNodeRow(stored.key, stored.value); }, [](const Error&) { return NodeRow {}; });
    if (!row.id.isEmpty())
        nodeRows[row.id] = { stored.version, row.isFenced, Deadline::after(now, nodeRowRetention) };
}

void Duties::State::removeExpiredNodeRows(TimePoint now)
{
    std::erase_if(nodeRows, [&](const auto& known) { return known.second.expiresAt.hasPassed(now); });
}

bool Duties::State::isHolding(const DutyName& name, const DutyRow& row) const
{
    return row.holder == settings.self && !unconfirmed.contains(name)
        && std::binary_search(settings.names.begin(), settings.names.end(), name);
}

void Duties::State::updateHeld(TimePoint now, DutiesOutput& output)
{
    std::map<DutyName, HeldDuty> holding;
    if (!ownLease.hasPassed(now))
        for (const auto& [name, row] : rows)
            if (isHolding(name, row))
                holding.emplace(name, HeldDuty { row.version, now });
    for (const auto& [name, duty] : held) {
        const auto kept = holding.find(name);
        if (kept != holding.end() && kept->second.term == duty.term)
            kept->second.since = duty.since;
        else
            output.changes.push_back({ DutyEvent::Lost, name, duty.term });
    }
    for (const auto& [name, duty] : holding)
        if (const auto before = held.find(name); before == held.end() || before->second.term != duty.term)
            output.changes.push_back({ DutyEvent::Taken, name, duty.term });
    held = std::move(holding);
}

void Duties::State::handleTimeouts(TimePoint now, DutiesOutput& output)
{
    if (committing.isOverdue(now) || reading.isOverdue(now)) {
        committing.end();
        reading.end();
        mustReadBack = true;
    }
    if (mustReadBack && !reading.isOpen() && nextCommit.hasPassed(now))
        readBack(now, output);
}

DutyPlan Duties::State::makePlan(const LivenessView& liveness, TimePoint now)
{
    const DutyPlanInput input { settings.self, settings.names, rows, held, nodeRows, liveness, now };
    if (liveness.isLeaving)
        return planLeave(input);
    DutyPlan takeoverPlan = takeover.plan(input);
    if (!takeoverPlan.isEmpty() || !nextRebalance.hasPassed(now))
        return takeoverPlan;
    nextRebalance = Deadline::after(now, jittered(rebalancePeriod));
    return planRebalance(input);
}

void Duties::State::commitPlan(const LivenessView& liveness, TimePoint now, DutiesOutput& output)
{
    const bool isReady = hasScanned && liveness.isTableReachable && !liveness.ownLease.hasPassed(now);
    const bool isBusy = committing.isOpen() || reading.isOpen() || mustReadBack || !nextCommit.hasPassed(now);
    if (!isReady || isBusy)
        return;
    plan = makePlan(liveness, now);
    if (plan.isEmpty())
        return;
    attempt = settings.self.value() + '#' + std::to_string(++attempts);
    committing.begin(ids.next(), now, tableTimeout);
    output.requests.emplace_back(CommitRows { committing.id(), plan.transaction(attempt) });
}

void Duties::State::onCommit(const platform::CommitOutcome& outcome, TimePoint now, DutiesOutput& output)
{
    switch (outcome.status) {
    case platform::CommitStatus::Done:
        onCommitted(outcome.version, now);
        backoff = Duration::zero();
        return;
    case platform::CommitStatus::Conflict:
    case platform::CommitStatus::Unknown:
        readBack(now, output);
        return;
    case platform::CommitStatus::Refused:
    case platform::CommitStatus::Unavailable:
        backOff(now);
        return;
    }
}

void Duties::State::onCommitted(platform::RowVersion version, TimePoint now)
{
    for (const DutyPlan::Assignment& assignment : plan.assignments) {
        DutyRow& row = rows[assignment.name];
        if (version >= row.version)
            row = { assignment.newHolder, attempt, version };
    }
    if (plan.mustFence)
        nodeRows[plan.deadHolder] = { version, true, Deadline::after(now, nodeRowRetention) };
}

void Duties::State::readBack(TimePoint now, DutiesOutput& output)
{
    mustReadBack = true;
    reading.begin(ids.next(), now, tableTimeout);
    ReadRows read { reading.id(), {} };
    for (const DutyPlan::Assignment& assignment : plan.assignments)
        read.keys.push_back(dutyRowKey(assignment.name));
    if (!plan.deadHolder.isEmpty())
        read.keys.push_back(nodeRowKey(plan.deadHolder));
    output.requests.emplace_back(std::move(read));
}

void Duties::State::onReadBack(const RowsResponse& response, TimePoint now)
{
    if (!response.rows) {
        backOff(now);
        return;
    }
    mustReadBack = false;
    nextCommit = Deadline::after(now, jittered(conflictDelay));
    for (const platform::Row& row : *response.rows) {
        if (row.key.starts_with(dutyRowPrefix))
            merge(row);
        else
            mergeNodeRow(row, now);
    }
    const bool isCommitted = !plan.isEmpty() && rows[plan.assignments.front().name].attempt == attempt;
    if (isCommitted)
        logEvent("duties.settled", { { "attempt", attempt } }, LogLevel::Debug);
}

DutiesOutput Duties::tick(const LivenessView& liveness, TimePoint now)
{
    DutiesOutput output;
    m_state->ownLease = liveness.ownLease;
    m_state->detectPause(liveness, now);
    m_state->removeExpiredNodeRows(now);
    m_state->updateHeld(now, output);
    m_state->scan(now, output);
    m_state->handleTimeouts(now, output);
    m_state->commitPlan(liveness, now, output);
    return output;
}

DutiesOutput Duties::onResponse(const TableResponse& response, TimePoint now)
{
    DutiesOutput output;
    if (const auto* commit = std::get_if<CommitResponse>(&response)) {
        if (m_state->committing.matches(commit->exchange)) {
            m_state->committing.end();
            m_state->onCommit(commit->outcome, now, output);
        }
    } else if (const auto& rows = std::get<RowsResponse>(response); m_state->scanning.matches(rows.exchange)) {
        m_state->scanning.end();
        m_state->onScanned(rows);
    } else if (m_state->reading.matches(rows.exchange)) {
        m_state->reading.end();
        m_state->onReadBack(rows, now);
    }
    m_state->updateHeld(now, output);
    return output;
}

DutiesOutput Duties::onGuardConflict(const DutyName& name)
{
    DutiesOutput output;
    m_state->unconfirmed.insert(name);
    m_state->nextFullScan = Deadline {};
    m_state->nextScan = Deadline {};
    m_state->updateHeld(m_state->lastTick, output);
    return output;
}

DutiesOutput Duties::setNames(std::vector<DutyName> names)
{
    DutiesOutput output;
    std::sort(names.begin(), names.end());
    m_state->settings.names = std::move(names);
    m_state->updateHeld(m_state->lastTick, output);
    return output;
}

std::optional<platform::Condition> Duties::guard(const DutyName& name) const
{
    const auto found = m_state->held.find(name);
    if (found == m_state->held.end())
        return std::nullopt;
    return platform::Condition { dutyRowKey(name), found->second.term };
}

NodeId Duties::holder(const DutyName& name) const
{
    const auto found = m_state->rows.find(name);
    return found == m_state->rows.end() ? NodeId {} : found->second.holder;
}

platform::RowVersion Duties::term(const DutyName& name) const
{
    const auto found = m_state->rows.find(name);
    return found == m_state->rows.end() ? 0 : found->second.version;
}

std::size_t Duties::heldCount() const { return m_state->held.size(); }

} // namespace rattanrack::peer
