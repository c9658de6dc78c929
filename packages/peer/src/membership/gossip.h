#pragma once

#include "member_table.h"

#include <random>
#include <string>
#include <vector>

namespace rattanrack::peer {

/// Decides to whom heartbeats go and what they say of others.
class Gossip {
public:
    explicit Gossip(std::uint32_t randomSeed)
        : m_random(randomSeed)
    {
    }

    /// Addresses for the next heartbeat. Live members stand on a ring, and a node's targets are those at distances of
    /// 1, 2, 4 and so on, two at a time: each node is the target of just as many, and news reaches all members after as
    /// many steps as the ring's size has binary digits. Suspected members get one now and then, to find out that they
    /// are back.
    std::vector<std::string> targets(const MemberTable& table, const MembershipSettings& settings);

    /// Adds the freshest news of others, and introduces members that few know of yet; any member while nobody can learn
    /// of it from the table.
    void addMemberUpdates(const MemberTable& table, bool isTableReachable, TimePoint now, Heartbeat& heartbeat);

private:
    /// Introduces at most `count` of the candidates, chosen at random so that no rhythm leaves anybody out.
    void addIntroductions(
        const std::vector<const MemberTable::Entry*>& candidates, std::size_t count, Heartbeat& heartbeat);

    std::minstd_rand m_random;
    std::size_t m_distance { 1 };
    std::size_t m_heartbeatCount { 0 };
};

} // namespace rattanrack::peer
