#pragma once

#include "member_table.h"

#include <random>
#include <string>
#include <vector>

namespace rattanrack::peer {

/// Chooses the targets of heartbeats and what heartbeats report about other members.
class Gossip {
public:
    explicit Gossip(std::uint32_t randomSeed)
        : m_random(randomSeed)
    {
    }

    /// Addresses for the next heartbeat. Live members form a ring in the order of their hashes. A node's targets are
    /// the members at distances of 1, 2, 4 and so on, two for each heartbeat. So all members are targets equally often,
    /// and an update reaches all members in as many steps as the ring's size has binary digits. Every third heartbeat
    /// also goes to a suspected member, so that its recovery is detected.
    std::vector<std::string> targets(const MemberTable& table, const MembershipSettings& settings);

    /// Adds the latest updates on other members, and introduces new and leaving members and those without a row. While
    /// the table is unreachable, other nodes cannot read rows, so one of the introductions then is of any known member.
    void addMemberUpdates(const MemberTable& table, bool isTableReachable, TimePoint now, Heartbeat& heartbeat);

private:
    /// Introduces at most `count` of the candidates. These are chosen at random, so that no periodic pattern excludes a
    /// member.
    void addIntroductions(
        const std::vector<const MemberTable::Entry*>& candidates, std::size_t count, Heartbeat& heartbeat);

    std::minstd_rand m_random;
    std::size_t m_distance { 1 };
    std::size_t m_heartbeatCount { 0 };
};

} // namespace rattanrack::peer
