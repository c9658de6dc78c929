#include "traffic/credit_home.h"

#include "traffic/credit_asker.h"
#include "traffic/credit_holder.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace rattanrack::policy {

namespace {

constexpr Duration recoveryTime { 1'000'000 };
constexpr Duration goneGrace { 2'000'000 };
constexpr Duration pendingTime { 1'000'000 };
constexpr Duration recallRepeat { 500'000 };
constexpr Duration spreadInterval { 250'000 };
constexpr Duration gatheringTime { 5'000'000 };
constexpr int intervalsBetweenNotices = 4;
constexpr std::uint32_t creditsToldForEachWaiting = 32;

} // namespace

void CreditHome::start(const PoolId& pool, std::uint64_t term, const std::vector<NodeId>& live, TimePoint now)
{
    m_isActive = true;
    m_pool = pool;
    m_term = term;
    m_recoveryEnds = Deadline::after(now, recoveryTime);
    m_spreadAt = Deadline::after(now, spreadInterval);
    m_gathering.reset();
    m_holders.clear();
    for (auto& worker : m_workers)
        worker.owned = 0;
    for (const auto& node : live)
        m_holders[node].owned.assign(m_workers.size(), 0);
    std::size_t nodeIndex = 0;
    for (auto& [node, holder] : m_holders) {
        for (std::size_t worker = 0; worker < m_workers.size(); ++worker)
            setOwned(holder, worker,
                standingCredits(Slots { m_workers[worker].slots }, worker, nodeIndex, m_holders.size()));
        ++nodeIndex;
    }
    chooseMode();
}

void CreditHome::setWorkers(const std::vector<WorkerView>& views)
{
    std::map<NodeId, std::map<VmId, std::uint32_t>> kept;
    for (const auto& [node, holder] : m_holders) {
        for (std::size_t worker = 0; worker < m_workers.size(); ++worker)
            kept[node][m_workers[worker].id] = holder.owned[worker];
    }
    m_workers.clear();
    m_index.clear();
    m_cursor = 0;
    m_gathering.reset();
    for (const auto& view : views) {
        m_index.emplace(view.id, m_workers.size());
        m_workers.push_back({ .id = view.id,
            .capacity = view.capacity,
            .slots = static_cast<std::uint32_t>(view.slots.count()),
            .takesWork = view.takesWork });
    }
    for (auto& [node, holder] : m_holders) {
        holder.owned.assign(m_workers.size(), 0);
        for (const auto& [id, count] : kept[node]) {
            if (auto found = m_index.find(id); found != m_index.end())
                setOwned(holder, found->second, count);
        }
    }
    chooseMode();
}

void CreditHome::setHolders(const std::vector<NodeId>& live, TimePoint now)
{
    for (auto& [node, holder] : m_holders) {
        const bool isLive = std::find(live.begin(), live.end(), node) != live.end();
        if (isLive)
            holder.gone.reset();
        else if (!holder.gone)
            holder.gone = Deadline::after(now, goneGrace);
        if (!isLive)
            holder.waiting = {};
    }
    for (const auto& node : live) {
        auto& holder = m_holders[node];
        holder.owned.resize(m_workers.size(), 0);
    }
    chooseMode();
}

void CreditHome::chooseMode()
{
    const auto slots = std::accumulate(m_workers.begin(), m_workers.end(), std::int64_t { 0 },
        [](std::int64_t sum, const Worker& worker) { return sum + worker.slots; });
    m_keepsStanding = keepsStanding(slots, m_holders.size());
}

CreditHome::Grants CreditHome::accept(const CreditAsk& ask, TimePoint now)
{
    auto found = m_holders.find(ask.from);
    if (!m_isActive || found == m_holders.end() || ask.number <= found->second.lastAsk)
        return {};
    auto& holder = found->second;
    holder.lastAsk = ask.number;
    holder.hasReported = true;
    holder.waiting = { ask.urgentWaiting, ask.normalWaiting, ask.backgroundWaiting };
    holder.oldestSince = now - ask.oldestWait;
    holder.firstSize = ask.firstSize;
    holder.firstCredits = ask.firstCredits;
    holder.reported = ask.idle;
    holder.idle = std::accumulate(ask.idle.begin(), ask.idle.end(), std::uint32_t { 0 },
        [](std::uint32_t sum, const Credit& credit) { return sum + credit.count; });
    holder.reported.insert(holder.reported.end(), ask.inUse.begin(), ask.inUse.end());
    std::erase_if(holder.pending, [&](const auto& pending) { return pending.number <= ask.lastGrant; });
    recount(holder, now);
    for (const auto& pending : holder.pending) {
        for (const auto& credit : pending.credits) {
            for (std::uint32_t count = 0; count < credit.count; ++count)
                serveOne(holder, now);
        }
    }
    return update(now);
}

CreditHome::Grants CreditHome::update(TimePoint now)
{
    if (!m_isActive)
        return {};
    dropGone(now);
    if (!isRecovered(now))
        return {};
    if (m_gathering && m_gathering->until.hasPassed(now))
        m_gathering.reset();
    Drafts drafts;
    grantParticular(drafts, now);
    grantWaiting(drafts, now);
    noticeWaiting(drafts, now);
    recallExcess(drafts, now);
    spreadFree(drafts, now);
    return send(std::move(drafts), now);
}

Deadline CreditHome::nextWake(TimePoint now) const
{
    if (!m_isActive)
        return Deadline::never();
    if (!isRecovered(now))
        return m_recoveryEnds;
    Deadline wake = Deadline::never();
    if (isSomeoneWaiting()) {
        wake = m_noticeAt;
    } else if (m_keepsStanding && free() > 0) {
        wake = m_spreadAt;
    }
    for (const auto& [node, holder] : m_holders) {
        if (holder.gone)
            wake = std::min(wake, *holder.gone);
    }
    return wake;
}

std::uint32_t CreditHome::free() const
{
    return std::accumulate(m_workers.begin(), m_workers.end(), std::uint32_t { 0 },
        [](std::uint32_t sum, const Worker& worker) { return sum + worker.free(); });
}

void CreditHome::recount(Holder& holder, TimePoint now)
{
    std::erase_if(holder.pending, [&](const auto& pending) { return pending.until.hasPassed(now); });
    std::vector<std::uint32_t> owned(m_workers.size(), 0);
    const auto addAll = [&](const std::vector<Credit>& credits) {
        for (const auto& credit : credits) {
            if (auto found = m_index.find(credit.worker); found != m_index.end())
                owned[found->second] += credit.count;
        }
    };
    addAll(holder.reported);
    for (const auto& pending : holder.pending)
        addAll(pending.credits);
    for (std::size_t worker = 0; worker < owned.size(); ++worker)
        setOwned(holder, worker, owned[worker]);
}

void CreditHome::setOwned(Holder& holder, std::size_t worker, std::uint32_t count)
{
    m_workers[worker].owned += count - holder.owned[worker];
    holder.owned[worker] = count;
}

void CreditHome::dropGone(TimePoint now)
{
    for (auto entry = m_holders.begin(); entry != m_holders.end();) {
        auto& holder = entry->second;
        if (!holder.gone || !holder.gone->hasPassed(now)) {
            ++entry;
            continue;
        }
        for (std::size_t worker = 0; worker < m_workers.size(); ++worker)
            setOwned(holder, worker, 0);
        entry = m_holders.erase(entry);
    }
}

bool CreditHome::isRecovered(TimePoint now) const
{
    return m_recoveryEnds.hasPassed(now) || std::all_of(m_holders.begin(), m_holders.end(), [](const auto& entry) {
        return entry.second.hasReported || entry.second.gone;
    });
}

bool CreditHome::isSomeoneWaiting() const
{
    return std::any_of(m_holders.begin(), m_holders.end(), [](const auto& entry) { return need(entry.second) > 0; });
}

CreditHome::Demand CreditHome::demand() const
{
    Demand demand;
    for (const auto& [node, holder] : m_holders) {
        const std::uint32_t needed = need(holder);
        if (needed == 0)
            continue;
        demand.count += needed;
        if (isAhead(holder, demand.first))
            demand.second = std::exchange(demand.first, &holder);
        else if (isAhead(holder, demand.second))
            demand.second = &holder;
    }
    return demand;
}

CreditHome::Waiting CreditHome::Demand::elsewhere(const Holder& self) const
{
    const auto* other = first == &self ? second : first;
    if (!other)
        return {};
    return { count - need(self), static_cast<Urgency>(mostUrgent(*other)), other->oldestSince };
}

void CreditHome::grantParticular(Drafts& drafts, TimePoint now)
{
    for (auto& [node, holder] : m_holders) {
        if (need(holder) == 0 || !isParticular(holder))
            continue;
        const bool isGathered = m_gathering && m_gathering->holder == node;
        const auto worker = isGathered ? std::optional { m_gathering->worker } : mostFree(holder);
        if (!worker)
            continue;
        if (m_workers[*worker].free() < holder.firstCredits) {
            if (!m_gathering)
                gather(drafts, node, holder, now);
            continue;
        }
        grant(drafts, node, holder, *worker, holder.firstCredits);
        serveOne(holder, now);
        holder.firstCredits = 1;
        holder.firstSize = {};
        if (isGathered)
            m_gathering.reset();
    }
}

void CreditHome::gather(Drafts& drafts, const NodeId& node, const Holder& holder, TimePoint now)
{
    const auto worker = mostFree(holder);
    if (!worker)
        return;
    m_gathering = Gathering { node, *worker, Deadline::after(now, gatheringTime) };
    std::uint32_t missing = holder.firstCredits - m_workers[*worker].free();
    for (const auto& [other, otherHolder] : m_holders) {
        const std::uint32_t recalled = std::min(missing, otherHolder.owned[*worker]);
        if (recalled == 0 || otherHolder.gone)
            continue;
        drafts[other].recalled.push_back({ m_workers[*worker].id, recalled });
        missing -= recalled;
    }
}

void CreditHome::grantWaiting(Drafts& drafts, TimePoint now)
{
    while (auto* entry = nextToServe()) {
        const auto worker = nextFree();
        if (!worker)
            return;
        grant(drafts, entry->first, entry->second, *worker, 1);
        serveOne(entry->second, now);
    }
}

void CreditHome::noticeWaiting(Drafts& drafts, TimePoint now)
{
    const auto waiting = demand();
    if (waiting.count == 0 || !m_noticeAt.hasPassed(now))
        return;
    m_noticeAt = Deadline::after(now, messageInterval(now - waiting.first->oldestSince) * intervalsBetweenNotices);
    std::vector<std::map<NodeId, Holder>::value_type*> candidates;
    for (auto& entry : m_holders) {
        const auto& holder = entry.second;
        const bool givesBackUnasked = !m_keepsStanding && need(holder) == 0;
        if (!holder.gone && !givesBackUnasked && total(holder) > 0 && waiting.elsewhere(holder).count > 0)
            candidates.push_back(&entry);
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const auto* left, const auto* right) {
        const auto& leftHolder = left->second;
        const auto& rightHolder = right->second;
        return std::pair { leftHolder.idle, total(leftHolder) } > std::pair { rightHolder.idle, total(rightHolder) };
    });
    std::uint32_t expected = 0;
    for (auto* candidate : candidates) {
        if (expected >= waiting.count * creditsToldForEachWaiting)
            return;
        auto& holder = candidate->second;
        expected += holder.idle * creditsToldForEachWaiting + total(holder);
        holder.idle = 0;
        drafts.try_emplace(candidate->first);
    }
}

void CreditHome::recallExcess(Drafts& drafts, TimePoint now)
{
    for (std::size_t index = 0; index < m_workers.size(); ++index) {
        const auto& worker = m_workers[index];
        if (worker.owned <= worker.slots)
            continue;
        auto largest = std::max_element(m_holders.begin(), m_holders.end(),
            [&](const auto& left, const auto& right) { return left.second.owned[index] < right.second.owned[index]; });
        auto& [node, holder] = *largest;
        if (holder.gone || !holder.recallAt.hasPassed(now))
            continue;
        drafts[node].recalled.push_back({ worker.id, std::min(worker.owned - worker.slots, holder.owned[index]) });
    }
    for (auto& [node, draft] : drafts) {
        if (!draft.recalled.empty())
            m_holders[node].recallAt = Deadline::after(now, recallRepeat);
    }
}

void CreditHome::spreadFree(Drafts& drafts, TimePoint now)
{
    if (isSomeoneWaiting())
        m_spreadAt = Deadline::after(now, spreadInterval);
    if (!m_keepsStanding || !m_spreadAt.hasPassed(now))
        return;
    m_spreadAt = Deadline::after(now, spreadInterval);
    const auto held = [](const auto& entry) { return entry.second.gone ? UINT32_MAX : total(entry.second); };
    while (const auto worker = nextFree()) {
        auto least = std::min_element(m_holders.begin(), m_holders.end(),
            [&](const auto& left, const auto& right) { return held(left) < held(right); });
        if (least == m_holders.end() || least->second.gone)
            return;
        grant(drafts, least->first, least->second, *worker, 1);
    }
}

CreditHome::Grants CreditHome::send(Drafts&& drafts, TimePoint now)
{
    Grants grants;
    const auto waiting = demand();
    for (auto& [node, draft] : drafts) {
        auto& holder = m_holders[node];
        draft.pool = m_pool;
        draft.to = node;
        draft.term = m_term;
        draft.number = ++holder.grants;
        const auto elsewhere = waiting.elsewhere(holder);
        draft.wanted = elsewhere.count;
        draft.firstUrgency = elsewhere.urgency;
        draft.firstWait = elsewhere.count > 0 ? now - elsewhere.since : Duration::zero();
        if (!draft.granted.empty())
            holder.pending.push_back({ draft.number, draft.granted, Deadline::after(now, pendingTime) });
        grants.push_back(std::move(draft));
    }
    return grants;
}

bool CreditHome::isParticular(const Holder& holder) const
{
    return holder.firstCredits > 1 || std::any_of(m_workers.begin(), m_workers.end(), [&](const Worker& worker) {
        return !fits(holder.firstSize, worker.capacity);
    });
}

std::map<NodeId, CreditHome::Holder>::value_type* CreditHome::nextToServe()
{
    std::map<NodeId, Holder>::value_type* best = nullptr;
    for (auto& entry : m_holders) {
        const auto& holder = entry.second;
        const std::uint32_t needed = need(holder);
        if (needed == 0 || (needed == 1 && isParticular(holder)))
            continue;
        if (isAhead(holder, best ? &best->second : nullptr))
            best = &entry;
    }
    return best;
}

std::optional<std::size_t> CreditHome::nextFree()
{
    for (std::size_t step = 0; step < m_workers.size(); ++step) {
        m_cursor = (m_cursor + 1) % m_workers.size();
        const bool isKept = m_gathering && m_gathering->worker == m_cursor;
        if (!isKept && m_workers[m_cursor].free() > 0)
            return m_cursor;
    }
    return std::nullopt;
}

std::optional<std::size_t> CreditHome::mostFree(const Holder& holder) const
{
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < m_workers.size(); ++index) {
        const auto& worker = m_workers[index];
        const bool isKept = m_gathering && m_gathering->worker == index;
        if (isKept || worker.slots < holder.firstCredits || !fits(holder.firstSize, worker.capacity))
            continue;
        if (!best || worker.free() > m_workers[*best].free())
            best = index;
    }
    return best;
}

void CreditHome::grant(Drafts& drafts, const NodeId& node, Holder& holder, std::size_t worker, std::uint32_t count)
{
    auto& granted = drafts[node].granted;
    const auto& id = m_workers[worker].id;
    auto found
        = std::find_if(granted.begin(), granted.end(), [&](const Credit& credit) { return credit.worker == id; });
    if (found == granted.end())
        granted.push_back({ id, count });
    else
        found->count += count;
    setOwned(holder, worker, holder.owned[worker] + count);
}

std::uint32_t CreditHome::need(const Holder& holder)
{
    if (holder.gone)
        return 0;
    return std::accumulate(holder.waiting.begin(), holder.waiting.end(), std::uint32_t { 0 });
}

std::uint32_t CreditHome::total(const Holder& holder)
{
    return std::accumulate(holder.owned.begin(), holder.owned.end(), std::uint32_t { 0 });
}

bool CreditHome::isAhead(const Holder& holder, const Holder* other)
{
    if (!other || mostUrgent(holder) != mostUrgent(*other))
        return !other || mostUrgent(holder) < mostUrgent(*other);
    return holder.oldestSince < other->oldestSince;
}

std::size_t CreditHome::mostUrgent(const Holder& holder)
{
    std::size_t urgency = 0;
    while (urgency + 1 < urgencies && holder.waiting[urgency] == 0)
        ++urgency;
    return urgency;
}

void CreditHome::serveOne(Holder& holder, TimePoint now)
{
    const std::uint32_t waiting = need(holder);
    if (waiting == 0)
        return;
    holder.oldestSince += (now - holder.oldestSince) / waiting;
    --holder.waiting[mostUrgent(holder)];
}

} // namespace rattanrack::policy
