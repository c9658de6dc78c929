#include "gossip.h"

#include <algorithm>
#include <iterator>

namespace rattanrack::peer {

namespace {

constexpr std::size_t heartbeatsPerProbe = 3; ///< One heartbeat in this many also goes to a suspected member.

struct RingMember {
    std::uint32_t position { 0 };
    const Member* member { nullptr };
};

/// Members in one state in the order of the ring, starting with the one that follows `self`.
std::vector<const Member*> ring(const MemberTable& table, MemberState state, const NodeId& self)
{
    std::vector<RingMember> ringMembers;
    ringMembers.reserve(table.entries().size());
    for (const auto& [id, entry] : table.entries())
        if (entry.member.state == state)
            ringMembers.push_back({ nodeHash(id), &entry.member });
    std::sort(ringMembers.begin(), ringMembers.end(),
        [](const RingMember& left, const RingMember& right) { return left.position < right.position; });
    const auto successor = std::find_if(ringMembers.begin(), ringMembers.end(),
        [position = nodeHash(self)](const RingMember& other) { return other.position > position; });
    std::rotate(ringMembers.begin(), successor, ringMembers.end());
    std::vector<const Member*> members;
    members.reserve(ringMembers.size());
    for (const RingMember& ringMember : ringMembers)
        members.push_back(ringMember.member);
    return members;
}

void addOnce(std::vector<std::string>& addresses, const std::string& address)
{
    if (std::find(addresses.begin(), addresses.end(), address) == addresses.end())
        addresses.push_back(address);
}

} // namespace

std::vector<std::string> Gossip::targets(const MemberTable& table, const MembershipSettings& settings)
{
    std::vector<std::string> addresses;
    const auto live = ring(table, MemberState::Live, settings.self);
    for (std::size_t i = 0; i < heartbeatFanOut && !live.empty(); ++i) {
        if (m_distance > live.size())
            m_distance = 1;
        addOnce(addresses, live[m_distance - 1]->address);
        m_distance *= 2;
    }
    const auto suspected = ring(table, MemberState::Suspected, settings.self);
    const bool isProbe = ++m_heartbeatCount % heartbeatsPerProbe == 0;
    if (!suspected.empty() && (isProbe || live.empty()))
        addOnce(addresses, suspected[m_random() % suspected.size()]->address);
    if (addresses.empty())
        std::sample(
            settings.seeds.begin(), settings.seeds.end(), std::back_inserter(addresses), heartbeatFanOut, m_random);
    std::erase(addresses, settings.address);
    return addresses;
}

void Gossip::addMemberUpdates(const MemberTable& table, bool isTableReachable, TimePoint now, Heartbeat& heartbeat)
{
    std::vector<const MemberTable::Entry*> known;
    std::vector<const MemberTable::Entry*> fresh;
    for (const auto& [id, entry] : table.entries()) {
        if (entry.member.state == MemberState::Gone || entry.sequence == 0)
            continue;
        known.push_back(&entry);
        if (!entry.introduceUntil.hasPassed(now) || entry.member.rowVersion == 0)
            fresh.push_back(&entry);
    }
    addIntroductions(fresh, isTableReachable ? maxIntroductions : maxIntroductions - 1, heartbeat);
    if (!isTableReachable)
        addIntroductions(known, 1, heartbeat);

    std::sort(known.begin(), known.end(),
        [](const auto* left, const auto* right) { return left->member.lastSeenAt > right->member.lastSeenAt; });
    known.resize(std::min(known.size(), maxSeenEntries));
    for (const auto* entry : known)
        heartbeat.seen.push_back({ nodeHash(entry->member.id), static_cast<std::uint32_t>(entry->sequence),
            static_cast<std::uint32_t>(entry->member.digest.configVersion) });
}

void Gossip::addIntroductions(
    const std::vector<const MemberTable::Entry*>& candidates, std::size_t count, Heartbeat& heartbeat)
{
    std::vector<const MemberTable::Entry*> chosen;
    std::sample(candidates.begin(), candidates.end(), std::back_inserter(chosen), count, m_random);
    for (const auto* entry : chosen) {
        const Member& member = entry->member;
        heartbeat.introductions.push_back(
            { member.id, member.address, member.dataCenter, entry->sequence, member.isLeaving });
    }
}

} // namespace rattanrack::peer
