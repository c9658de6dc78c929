#include "member_table.h"

#include "rattanrack/base/log.h"
#include "rattanrack/peer/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace rattanrack::peer {

namespace {

constexpr std::size_t maxTextSize = 256;
constexpr std::size_t maxAcceptedIntroductions = 8;

bool isValid(const NodeId& id, const std::string& address)
{
    return !id.isEmpty() && id.value().size() <= maxTextSize && !address.empty() && address.size() <= maxTextSize;
}

void addChange(MembershipOutput& output, MemberEvent event, const Member& member)
{
    output.changes.push_back({ event, member.id, member.address });
}

bool isUnresponsive(const Member& member, TimePoint now) { return now - member.lastSeenAt >= suspicionTimeout; }

} // namespace

std::uint32_t nodeHash(const NodeId& id) { return XXH32(id.value().data(), id.value().size(), 0); }

MemberTable::Entry* MemberTable::find(const NodeId& id)
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

MemberTable::Entry* MemberTable::add(const NodeId& id, TimePoint now)
{
    if (m_entries.size() >= maxMembers)
        return nullptr;
    Entry& entry = m_entries[id];
    entry.member.id = id;
    // A new entry is gone until evidence marks it live, so that there is only one path into the state Live.
    entry.member.state = MemberState::Gone;
    entry.goneSince = now;
    m_byHash[nodeHash(id)] = id;
    return &entry;
}

void MemberTable::onHeartbeat(const Heartbeat& heartbeat, TimePoint now, MembershipOutput& output)
{
    if (heartbeat.from == m_self || !isValid(heartbeat.from, heartbeat.address))
        return;
    introduce({ heartbeat.from, heartbeat.address, heartbeat.dataCenter, heartbeat.sequence, heartbeat.isLeaving }, now,
        output);
    if (Entry* sender = find(heartbeat.from); sender && sender->sequence == heartbeat.sequence) {
        sender->member.digest = { heartbeat.configVersion, heartbeat.viewVersion, heartbeat.load };
        suspectReplacedNodes(*sender, now);
    }
    const std::size_t introductions = std::min(heartbeat.introductions.size(), maxAcceptedIntroductions);
    for (std::size_t i = 0; i < introductions; ++i)
        introduce(heartbeat.introductions[i], now, output);
    const std::size_t seen = std::min(heartbeat.seen.size(), maxMembers);
    for (std::size_t i = 0; i < seen; ++i) {
        const auto known = m_byHash.find(heartbeat.seen[i].node);
        if (known == m_byHash.end())
            continue;
        Entry& entry = m_entries.at(known->second);
        // A node's configuration version only grows, so reports of it may arrive in any order and from any peer.
        entry.member.digest.configVersion
            = std::max<std::uint64_t>(entry.member.digest.configVersion, heartbeat.seen[i].configVersion);
        recordSequence(entry, heartbeat.seen[i].sequence, now, output);
    }
}

void MemberTable::introduce(const Introduction& introduction, TimePoint now, MembershipOutput& output)
{
    if (introduction.id == m_self || !isValid(introduction.id, introduction.address))
        return;
    Entry* entry = find(introduction.id);
    if (!entry)
        entry = add(introduction.id, now);
    if (!entry || introduction.sequence <= entry->sequence)
        return;
    entry->member.address = introduction.address;
    entry->member.dataCenter = introduction.dataCenter;
    recordSequence(*entry, introduction.sequence, now, output);
    if (introduction.isLeaving)
        setLeaving(*entry, now, output);
}

void MemberTable::recordSequence(Entry& entry, std::uint64_t sequence, TimePoint now, MembershipOutput& output)
{
    if (sequence <= entry.sequence)
        return;
    entry.sequence = sequence;
    entry.member.lastSeenAt = now;
    if (entry.member.state == MemberState::Suspected) {
        entry.member.state = MemberState::Live;
        entry.member.liveSince = now;
        addChange(output, MemberEvent::Recovered, entry.member);
    } else if (entry.member.state == MemberState::Gone && !entry.member.row.isFenced) {
        markLive(entry, now, output);
    }
}

void MemberTable::markLive(Entry& entry, TimePoint now, MembershipOutput& output)
{
    entry.member.state = MemberState::Live;
    entry.member.lastSeenAt = now;
    entry.member.liveSince = now;
    entry.introduceUntil = Deadline::after(now, introductionTime);
    addChange(output, MemberEvent::Joined, entry.member);
}

void MemberTable::setLeaving(Entry& entry, TimePoint now, MembershipOutput& output)
{
    if (entry.member.isLeaving)
        return;
    entry.member.isLeaving = true;
    entry.introduceUntil = Deadline::after(now, introductionTime);
    addChange(output, MemberEvent::Leaving, entry.member);
}

void MemberTable::suspectReplacedNodes(const Entry& successor, TimePoint now)
{
    // Only one process can listen at an address, so an earlier member with the same address has ended.
    for (auto& [id, entry] : m_entries)
        if (id != successor.member.id && entry.member.address == successor.member.address)
            entry.member.lastSeenAt = std::min(entry.member.lastSeenAt, now - suspicionTimeout);
}

void MemberTable::onScan(const platform::Rows& rows, ReadTimes times, MembershipOutput& output)
{
    restartRowTimers(times.received);
    std::set<NodeId> present;
    for (const platform::Row& row : rows) {
        observeRow(row, times, output);
        present.insert(NodeId { row.key.substr(std::string(nodeRowPrefix).size()) });
    }
    for (auto& [id, entry] : m_entries)
        if (!present.contains(id))
            observeAbsence(entry, times);
}

void MemberTable::onRead(
    const std::vector<NodeId>& requested, const platform::Rows& rows, ReadTimes times, MembershipOutput& output)
{
    restartRowTimers(times.received);
    std::set<std::string> present;
    for (const platform::Row& row : rows) {
        observeRow(row, times, output);
        present.insert(row.key);
    }
    for (const NodeId& id : requested)
        if (Entry* entry = find(id); entry && !present.contains(nodeRowKey(id)))
            observeAbsence(*entry, times);
}

void MemberTable::restartRowTimers(TimePoint now)
{
    if (!m_mustRestartRowTimers)
        return;
    m_mustRestartRowTimers = false;
    for (auto& [id, entry] : m_entries) {
        entry.member.rowUnchangedSince = now;
        entry.member.rowReadAt = now;
    }
}

void MemberTable::observeRow(const platform::Row& stored, ReadTimes times, MembershipOutput& output)
{
    const NodeRow row = handle([&] { return decodeNodeRow(stored.key, stored.value); },
        [](const Error& error) {
            logEvent("membership.row_malformed", { { "error", describe(error) } }, LogLevel::Warning);
            return NodeRow {};
        });
    if (row.id == m_self || !isValid(row.id, row.address))
        return;
    Entry* entry = find(row.id);
    if (!entry)
        entry = add(row.id, times.received);
    // Responses may arrive out of order, so this one may show an older version.
    if (!entry || stored.version < entry->member.rowVersion)
        return;
    Member& member = entry->member;
    member.rowReadAt = std::max(member.rowReadAt, times.sent);
    if (member.rowVersion == stored.version)
        return;
    member.rowVersion = stored.version;
    member.rowUnchangedSince = times.received;
    member.row = row;
    member.address = row.address;
    member.dataCenter = row.dataCenter;
    if (member.state == MemberState::Gone && !row.isFenced)
        markLive(*entry, times.received, output);
    if (row.isLeaving)
        setLeaving(*entry, times.received, output);
}

void MemberTable::observeAbsence(Entry& entry, ReadTimes times)
{
    Member& member = entry.member;
    const bool isStale = member.rowVersion != 0 && times.sent < member.rowUnchangedSince;
    if (isStale)
        return;
    if (member.rowVersion != 0 || member.rowReadAt == TimePoint {})
        member.rowUnchangedSince = times.received;
    member.rowVersion = 0;
    member.rowReadAt = std::max(member.rowReadAt, times.sent);
    member.row = {};
}

void MemberTable::onPause(TimePoint now, Duration gap)
{
    for (auto& [id, entry] : m_entries)
        entry.member.lastSeenAt = std::min(entry.member.lastSeenAt + gap, now);
    m_mustRestartRowTimers = true;
}

bool MemberTable::isGone(const Entry& entry, TimePoint now) const
{
    const Member& member = entry.member;
    if (m_mustRestartRowTimers || !isUnresponsive(member, now) || member.rowReadAt == TimePoint {})
        return false;
    if (member.rowVersion != 0 && member.row.isFenced)
        return true;
    return member.rowAge() >= goneTimeout;
}

void MemberTable::updateStates(TimePoint now, MembershipOutput& output)
{
    for (auto found = m_entries.begin(); found != m_entries.end();) {
        Entry& entry = found->second;
        Member& member = entry.member;
        const bool isExpired = member.state == MemberState::Gone && member.rowVersion == 0
            && now - entry.goneSince >= goneMemberRetention;
        if (isExpired) {
            m_byHash.erase(nodeHash(member.id));
            found = m_entries.erase(found);
            continue;
        }
        if (member.state == MemberState::Live && isUnresponsive(member, now)) {
            member.state = MemberState::Suspected;
            addChange(output, MemberEvent::Suspected, member);
        }
        if (member.state == MemberState::Suspected && isGone(entry, now)) {
            member.state = MemberState::Gone;
            entry.goneSince = now;
            addChange(output, MemberEvent::Gone, member);
        }
        ++found;
    }
}

std::vector<NodeId> MemberTable::suspectsToRead()
{
    std::vector<NodeId> suspects;
    const auto collect = [&](auto begin, auto end) {
        for (auto entry = begin; entry != end && suspects.size() < maxSuspectReads; ++entry)
            if (entry->second.member.state == MemberState::Suspected)
                suspects.push_back(entry->first);
    };
    const auto next = m_entries.upper_bound(m_lastSuspectRead);
    collect(next, m_entries.end());
    collect(m_entries.begin(), next);
    if (!suspects.empty())
        m_lastSuspectRead = suspects.back();
    return suspects;
}

const MemberTable::Entry* MemberTable::rowToRemove(TimePoint now) const
{
    std::vector<NodeId> candidates = live();
    candidates.push_back(m_self);
    for (const auto& [id, entry] : m_entries) {
        const bool isDue = entry.member.state == MemberState::Gone && entry.member.rowVersion != 0
            && now - entry.goneSince >= rowRemovalDelay && entry.member.rowAge() >= rowRemovalDelay;
        if (isDue && rendezvousChoice(id.value(), candidates) == m_self)
            return &entry;
    }
    return nullptr;
}

std::vector<NodeId> MemberTable::live() const
{
    std::vector<NodeId> ids;
    for (const auto& [id, entry] : m_entries)
        if (entry.member.state == MemberState::Live)
            ids.push_back(id);
    return ids;
}

} // namespace rattanrack::peer
