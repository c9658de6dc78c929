#pragma once

#include "traffic/request.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace rattanrack::policy {

/// The requests of one pool that wait on this node, served in fair order. Does not own them.
///
/// Retries go first. Then kinds below their floor. Then the most urgent work, though one turn in ten goes to the oldest
/// less urgent request. Equally urgent kinds share by weight, and inside a kind the teams share by their quota; whoever
/// does not use a share leaves it to the others (start-time fair queueing over expected run time).
class PoolQueue {
public:
    /// Kinds that cannot be placed at the moment, by index.
    using Blocked = std::vector<bool>;

    void setKinds(const std::vector<KindPolicy>&);
    void setTeams(const std::vector<TeamPolicy>&);

    /// True when the configuration in force has the kind.
    bool knows(const WorkKind&) const;

    void push(Request&, bool isRetry);
    void remove(Request&);

    /// Charges kind and team for a request that has been removed in order to run.
    void charge(const Request&);

    /// Counts a dispatched request as ended.
    void release(const Request&);

    /// The request to serve next among kinds that are not blocked; null when none waits. `capacity` is the number of
    /// slots to which floors refer.
    Request* first(const Blocked&, double capacity) const;

    /// The request to give up so that one like `newcomer` can wait: the last of the kind that waits most beyond its
    /// weight, of that kind's least urgent work, of the team most beyond its quota. Null when it is the newcomer's
    /// turn.
    Request* victim(const Request& newcomer, const PoolPolicy&) const;

    /// Whether the request's team waits more beyond its quota than every other team.
    bool isBeyondQuota(const Request&) const;

    /// Expected time until a request like this one starts when `capacity` slots work through the queue.
    Duration expectedWait(const Request&, double capacity) const;

    std::size_t kinds() const { return m_kinds.size(); }
    std::size_t size() const { return m_size; }
    std::uint64_t bytes() const { return m_bytes; }
    std::uint32_t waiting(Urgency urgency) const { return m_waiting[static_cast<std::size_t>(urgency)]; }

    /// The most urgent request that waits longest; null when none waits.
    const Request* head() const;

private:
    static constexpr std::size_t urgencies = 3;

    struct Lane {
        std::map<std::size_t, std::list<Request*>> teams; // no empty lists
        Duration work {};
    };
    struct Kind {
        KindPolicy policy;
        bool isConfigured { false };
        double virtualTime { 0 };
        double slotsInUse { 0 };
        std::size_t waiting { 0 };
        std::array<Lane, urgencies> lanes;
    };
    struct Team {
        double share { 1 };
        double virtualTime { 0 };
        std::size_t waiting { 0 };
    };

    std::size_t kindIndex(const WorkKind&);
    std::size_t teamIndex(const TeamId&);
    void index(Request&);
    void count(const Request&, int step);
    Request* firstOf(const Kind&, std::size_t urgency) const;
    const Kind* belowFloor(const Blocked&, double capacity) const;
    Request* fairest(const Blocked&, std::size_t urgency) const;
    Request* oldestLessUrgent(const Blocked&, std::size_t urgency) const;
    const Kind* mostBeyondWeight(const PoolPolicy&) const;
    Request* lastOf(const Kind&, std::size_t urgency) const;

    std::vector<Kind> m_kinds;
    std::vector<Team> m_teams;
    std::unordered_map<WorkKind, std::size_t> m_kindIndex;
    std::unordered_map<TeamId, std::size_t> m_teamIndex;
    std::list<Request*> m_retries;
    std::array<std::uint32_t, urgencies> m_waiting {};
    std::size_t m_size { 0 };
    std::uint64_t m_bytes { 0 };
    double m_kindClock { 0 };
    double m_teamClock { 0 };
    std::uint32_t m_turnsPassedOver { 0 };
};

} // namespace rattanrack::policy
