#pragma once

#include "rattanrack/policy/traffic.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace rattanrack::policy {

/// The home of one pool's credits: keeps the ledger of who holds which credits and grants free ones in the order of
/// urgency and age over all nodes. The ledger is soft state, built from the holders' reports. Errors in it lead to
/// refusals by workers and to nothing worse, because a worker's own slots are the hard limit.
class CreditHome {
public:
    using Grants = std::vector<CreditGrant>;

    /// Starts with an empty ledger. Nothing is granted before all holders have reported or the recovery time is over.
    void start(const PoolId&, std::uint64_t term, const std::vector<NodeId>& live, TimePoint now);
    void stop() { m_isActive = false; }
    bool isActive() const { return m_isActive; }

    void setWorkers(const std::vector<WorkerView>&);

    /// Credits of nodes that are no longer live become free after a grace time.
    void setHolders(const std::vector<NodeId>& live, TimePoint now);

    /// Takes in a holder's report. Older reports than the last one are ignored.
    Grants accept(const CreditAsk&, TimePoint now);

    /// Grants, notices and recalls that are due by now.
    Grants update(TimePoint now);

    Deadline nextWake(TimePoint now) const;

    /// Credits that nobody holds.
    std::uint32_t free() const;

private:
    static constexpr std::size_t urgencies = 3;

    struct Pending {
        std::uint64_t number { 0 };
        std::vector<Credit> credits;
        Deadline until; ///< Taken for lost when no report includes it by then.
    };
    struct Holder {
        std::vector<std::uint32_t> owned; // by worker; includes pending grants
        std::vector<Credit> reported;
        std::uint32_t idle { 0 }; ///< By the last report, less what was asked back since.
        std::vector<Pending> pending;
        std::array<std::uint32_t, urgencies> waiting {};
        TimePoint oldestSince {};
        ResourceSize firstSize;
        std::uint32_t firstCredits { 1 };
        std::uint64_t lastAsk { 0 };
        std::uint64_t grants { 0 };
        bool hasReported { false };
        Deadline recallAt {};
        std::optional<Deadline> gone;
    };
    struct Worker {
        VmId id;
        ResourceSize capacity;
        std::uint32_t slots { 0 };
        bool takesWork { true };
        std::uint32_t owned { 0 };

        std::uint32_t free() const { return takesWork && slots > owned ? slots - owned : 0; }
    };
    using Drafts = std::map<NodeId, CreditGrant>;

    struct Gathering {
        NodeId holder;
        std::size_t worker { 0 };
        Deadline until; ///< The worker's free credits are kept for the holder until then.
    };
    /// What waits at some holders.
    struct Waiting {
        std::uint32_t count { 0 };
        Urgency urgency { Urgency::Background };
        TimePoint since {};
    };
    /// What waits at all holders, with the two that are first, so that what waits elsewhere is known for each.
    struct Demand {
        std::uint32_t count { 0 };
        const Holder* first { nullptr };
        const Holder* second { nullptr };

        Waiting elsewhere(const Holder&) const;
    };

    void chooseMode();
    void recount(Holder&, TimePoint now);
    void setOwned(Holder&, std::size_t worker, std::uint32_t count);
    void dropGone(TimePoint now);
    bool isRecovered(TimePoint now) const;
    bool isSomeoneWaiting() const;
    Demand demand() const;

    void grantParticular(Drafts&, TimePoint now);
    void grantWaiting(Drafts&, TimePoint now);
    void gather(Drafts&, const NodeId&, const Holder&, TimePoint now);
    void noticeWaiting(Drafts&, TimePoint now);
    void recallExcess(Drafts&, TimePoint now);
    void spreadFree(Drafts&, TimePoint now);
    Grants send(Drafts&&, TimePoint now);

    bool isParticular(const Holder&) const;
    std::map<NodeId, Holder>::value_type* nextToServe();
    std::optional<std::size_t> nextFree();
    std::optional<std::size_t> mostFree(const Holder&) const;
    void grant(Drafts&, const NodeId&, Holder&, std::size_t worker, std::uint32_t count);

    static std::uint32_t need(const Holder&);
    static std::uint32_t total(const Holder&);
    static bool isAhead(const Holder&, const Holder* other);
    static std::size_t mostUrgent(const Holder&);
    static void serveOne(Holder&, TimePoint now);

    bool m_isActive { false };
    bool m_keepsStanding { true };
    PoolId m_pool;
    std::uint64_t m_term { 0 };
    Deadline m_recoveryEnds {};
    Deadline m_spreadAt {};
    Deadline m_noticeAt {};
    std::vector<Worker> m_workers;
    std::unordered_map<VmId, std::size_t> m_index;
    std::map<NodeId, Holder> m_holders;
    std::optional<Gathering> m_gathering;
    std::size_t m_cursor { 0 };
};

} // namespace rattanrack::policy
