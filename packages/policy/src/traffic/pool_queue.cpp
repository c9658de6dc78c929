#include "traffic/pool_queue.h"

#include "rattanrack/base/invariant.h"

namespace rattanrack::policy {

namespace {

constexpr std::uint32_t turnsBeforeLessUrgent = 9;
constexpr double lessUrgentShare = 1.0 / (turnsBeforeLessUrgent + 1);
constexpr double minWeight = 1e-6;

std::size_t rank(const Request& request) { return static_cast<std::size_t>(request.spec.urgency); }
double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }
bool isOlder(const Request* left, const Request* right) { return !right || left->arrived < right->arrived; }

} // namespace

void PoolQueue::setKinds(const std::vector<KindPolicy>& policies)
{
    for (auto& kind : m_kinds)
        kind.isConfigured = false;
    for (const auto& policy : policies) {
        auto& kind = m_kinds[kindIndex(policy.kind)];
        kind.policy = policy;
        kind.policy.weight = std::max(policy.weight, minWeight);
        kind.isConfigured = true;
    }
}

void PoolQueue::setTeams(const std::vector<TeamPolicy>& policies)
{
    for (auto& team : m_teams)
        team.share = 1;
    for (const auto& policy : policies)
        m_teams[teamIndex(policy.team)].share = std::max(policy.share, minWeight);
}

bool PoolQueue::knows(const WorkKind& kind) const
{
    auto found = m_kindIndex.find(kind);
    return found != m_kindIndex.end() && m_kinds[found->second].isConfigured;
}

void PoolQueue::push(Request& request, bool isRetry)
{
    index(request);
    auto& kind = m_kinds[request.kind];
    auto& team = m_teams[request.team];
    if (kind.waiting == 0)
        kind.virtualTime = std::max(kind.virtualTime, m_kindClock);
    if (team.waiting == 0)
        team.virtualTime = std::max(team.virtualTime, m_teamClock);
    auto& list = isRetry ? m_retries : kind.lanes[rank(request)].teams[request.team];
    request.position = list.insert(list.end(), &request);
    if (!isRetry)
        kind.lanes[rank(request)].work += request.expectedRunTime * request.credits;
    count(request, 1);
}

void PoolQueue::remove(Request& request)
{
    if (request.attempts() > 0) {
        m_retries.erase(request.position);
    } else {
        auto& lane = m_kinds[request.kind].lanes[rank(request)];
        auto list = lane.teams.find(request.team);
        list->second.erase(request.position);
        if (list->second.empty())
            lane.teams.erase(list);
        lane.work -= request.expectedRunTime * request.credits;
    }
    count(request, -1);
}

void PoolQueue::charge(const Request& request)
{
    auto& kind = m_kinds[request.kind];
    auto& team = m_teams[request.team];
    const double cost = seconds(request.expectedRunTime) * request.credits;
    m_kindClock = std::max(m_kindClock, kind.virtualTime);
    m_teamClock = std::max(m_teamClock, team.virtualTime);
    kind.virtualTime += cost / kind.policy.weight;
    team.virtualTime += cost / team.share;
    kind.slotsInUse += request.credits;

    bool passesOverLessUrgent = false;
    for (std::size_t urgency = rank(request) + 1; urgency < urgencies; ++urgency)
        passesOverLessUrgent |= m_waiting[urgency] > 0;
    m_turnsPassedOver = passesOverLessUrgent ? m_turnsPassedOver + 1 : 0;
}

void PoolQueue::release(const Request& request)
{
    auto& kind = m_kinds[request.kind];
    kind.slotsInUse -= request.credits;
    checkInvariant(kind.slotsInUse >= 0, "queue.slots_in_use_not_negative", request.spec.kind.value());
}

Request* PoolQueue::first(const Blocked& blocked, double capacity) const
{
    for (auto* retry : m_retries) {
        if (!blocked[retry->kind])
            return retry;
    }
    if (const auto* kind = belowFloor(blocked, capacity)) {
        for (std::size_t urgency = 0; urgency < urgencies; ++urgency) {
            if (auto* request = firstOf(*kind, urgency))
                return request;
        }
    }
    for (std::size_t urgency = 0; urgency < urgencies; ++urgency) {
        auto* request = fairest(blocked, urgency);
        if (!request)
            continue;
        auto* lessUrgent = m_turnsPassedOver >= turnsBeforeLessUrgent ? oldestLessUrgent(blocked, urgency) : nullptr;
        return lessUrgent ? lessUrgent : request;
    }
    return nullptr;
}

Request* PoolQueue::victim(const Request& newcomer, const PoolPolicy& policy) const
{
    const auto* kind = mostBeyondWeight(policy);
    if (!kind)
        return nullptr;
    const bool isOwnKind = kind->policy.kind == newcomer.spec.kind;
    for (std::size_t urgency = urgencies; urgency-- > 0;) {
        if (isOwnKind && urgency < rank(newcomer))
            return nullptr;
        auto* last = lastOf(*kind, urgency);
        if (!last)
            continue;
        if (!isOwnKind || urgency > rank(newcomer))
            return last;
        auto found = m_teamIndex.find(newcomer.spec.team);
        if (found == m_teamIndex.end())
            return last;
        const auto& team = m_teams[found->second];
        const auto& other = m_teams[last->team];
        const bool isFurtherBeyond
            = static_cast<double>(other.waiting) / other.share > static_cast<double>(team.waiting + 1) / team.share;
        return isFurtherBeyond ? last : nullptr;
    }
    return nullptr;
}

bool PoolQueue::isBeyondQuota(const Request& request) const
{
    auto found = m_teamIndex.find(request.spec.team);
    if (found == m_teamIndex.end())
        return false;
    const auto& own = m_teams[found->second];
    bool hasOthers = false;
    for (const auto& team : m_teams) {
        if (&team == &own || team.waiting == 0)
            continue;
        hasOthers = true;
        if (static_cast<double>(team.waiting) / team.share >= static_cast<double>(own.waiting) / own.share)
            return false;
    }
    return hasOthers;
}

Duration PoolQueue::expectedWait(const Request& request, double capacity) const
{
    auto found = m_kindIndex.find(request.spec.kind);
    if (found == m_kindIndex.end() || capacity <= 0)
        return Duration::zero();
    const auto& own = m_kinds[found->second];
    double moreUrgent = 0;
    double ownWork = 0;
    double weights = 0;
    double floors = 0; // slots that other kinds reach first
    for (const auto& kind : m_kinds) {
        if (&kind != &own)
            floors += std::min(kind.slotsInUse, kind.policy.floorShare * capacity);
        for (std::size_t urgency = 0; urgency < rank(request); ++urgency)
            moreUrgent += seconds(kind.lanes[urgency].work);
        if (&kind == &own || !kind.lanes[rank(request)].teams.empty())
            weights += kind.policy.weight;
    }
    for (std::size_t urgency = 0; urgency <= rank(request); ++urgency)
        ownWork += seconds(own.lanes[urgency].work);
    const double least = capacity * std::max(own.policy.floorShare, lessUrgentShare);
    const double left = std::max(capacity - floors, least);
    const double fairWait = (moreUrgent + seconds(own.lanes[rank(request)].work) * weights / own.policy.weight) / left;
    const double sharedWait = ownWork / least;
    const double wait = std::min(fairWait, sharedWait);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
}

const Request* PoolQueue::head() const
{
    const Request* best = nullptr;
    for (const auto* retry : m_retries) {
        if (!best || rank(*retry) < rank(*best))
            best = retry;
    }
    for (std::size_t urgency = 0; urgency < urgencies; ++urgency) {
        if (best && rank(*best) < urgency)
            return best;
        for (const auto& kind : m_kinds) {
            for (const auto& [team, list] : kind.lanes[urgency].teams) {
                if (isOlder(list.front(), best))
                    best = list.front();
            }
        }
        if (best)
            return best;
    }
    return best;
}

std::size_t PoolQueue::kindIndex(const WorkKind& kind)
{
    auto [entry, isNew] = m_kindIndex.try_emplace(kind, m_kinds.size());
    if (isNew)
        m_kinds.emplace_back().policy.kind = kind;
    return entry->second;
}

std::size_t PoolQueue::teamIndex(const TeamId& team)
{
    auto [entry, isNew] = m_teamIndex.try_emplace(team, m_teams.size());
    if (isNew)
        m_teams.emplace_back();
    return entry->second;
}

void PoolQueue::index(Request& request)
{
    request.kind = kindIndex(request.spec.kind);
    request.team = teamIndex(request.spec.team);
}

void PoolQueue::count(const Request& request, int step)
{
    const auto change = static_cast<std::size_t>(step);
    m_size += change;
    m_bytes += static_cast<std::uint64_t>(step) * request.spec.bytes;
    m_waiting[rank(request)] += static_cast<std::uint32_t>(step);
    m_kinds[request.kind].waiting += change;
    m_teams[request.team].waiting += change;
}

Request* PoolQueue::firstOf(const Kind& kind, std::size_t urgency) const
{
    Request* best = nullptr;
    double least = 0;
    for (const auto& [team, list] : kind.lanes[urgency].teams) {
        const double virtualTime = m_teams[team].virtualTime;
        if (best && virtualTime >= least)
            continue;
        best = list.front();
        least = virtualTime;
    }
    return best;
}

const PoolQueue::Kind* PoolQueue::belowFloor(const Blocked& blocked, double capacity) const
{
    const Kind* best = nullptr;
    double least = 1;
    for (std::size_t index = 0; index < m_kinds.size(); ++index) {
        const auto& kind = m_kinds[index];
        if (blocked[index] || kind.waiting == 0 || kind.policy.floorShare <= 0)
            continue;
        const double reached = kind.slotsInUse / (kind.policy.floorShare * capacity);
        if (reached >= least)
            continue;
        best = &kind;
        least = reached;
    }
    return best;
}

Request* PoolQueue::fairest(const Blocked& blocked, std::size_t urgency) const
{
    const Kind* best = nullptr;
    for (std::size_t index = 0; index < m_kinds.size(); ++index) {
        const auto& kind = m_kinds[index];
        if (blocked[index] || kind.lanes[urgency].teams.empty())
            continue;
        if (!best || kind.virtualTime < best->virtualTime)
            best = &kind;
    }
    return best ? firstOf(*best, urgency) : nullptr;
}

Request* PoolQueue::oldestLessUrgent(const Blocked& blocked, std::size_t urgency) const
{
    Request* oldest = nullptr;
    for (std::size_t less = urgency + 1; less < urgencies; ++less) {
        auto* request = fairest(blocked, less);
        if (request && isOlder(request, oldest))
            oldest = request;
    }
    return oldest;
}

const PoolQueue::Kind* PoolQueue::mostBeyondWeight(const PoolPolicy& policy) const
{
    const Kind* worst = nullptr;
    double most = 0;
    for (const auto& kind : m_kinds) {
        const auto waiting = static_cast<double>(kind.waiting);
        if (waiting <= kind.policy.floorShare * policy.maxQueued)
            continue;
        const double beyond = waiting / kind.policy.weight;
        if (beyond <= most)
            continue;
        worst = &kind;
        most = beyond;
    }
    return worst;
}

Request* PoolQueue::lastOf(const Kind& kind, std::size_t urgency) const
{
    Request* worst = nullptr;
    double most = 0;
    for (const auto& [index, list] : kind.lanes[urgency].teams) {
        const auto& team = m_teams[index];
        const double beyond = static_cast<double>(team.waiting) / team.share;
        if (worst && beyond <= most)
            continue;
        worst = list.back();
        most = beyond;
    }
    return worst;
}

} // namespace rattanrack::policy
