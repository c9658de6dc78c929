#include "late_part_store.h"
#include "simulated_queue_owner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <memory>
#include <random>
#include <set>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;

namespace {

const std::vector<PoolId> cells { PoolId { "a" }, PoolId { "b" }, PoolId { "c" } };
constexpr int steps = 1500;
constexpr int calmRounds = 60;
constexpr int maxNesting = 2; ///< Steps of others during a call to the store, which may call the store in turn.

/// Owners of three cells and nodes at various versions of a configuration that moves one queue at random, over a store
/// that is late. Claims end at any time after their store calls; jobs and assignments are removed. Checks that no job
/// is ever written to two cells, and that owners that stay agree in the end.
class Walk {
public:
    explicit Walk(std::uint64_t seed)
        : m_random(seed)
        , m_store(seed + 1)
        , m_doOwnersStay(seed % 2 == 0)
    {
        m_store.beforeCall = [this] {
            if (!m_store.isCalm && m_nesting < maxNesting && pick(3) == 0)
                step();
        };
        m_store.onWrite = [this](const std::string& part, const RowWrite& write) { recordWrite(part, write); };
        for (const PoolId& cell : cells)
            m_owners[cell];
        moveQueue();
    }

    void run()
    {
        for (int done = 0; done < steps; ++done)
            step();
        m_store.isCalm = true;
        settle();
    }

    int acceptedJobs() const { return static_cast<int>(m_cellOfJob.size()); }

private:
    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t> { 0, count - 1 }(m_random);
    }
    const PoolId& pickCell() { return cells[pick(cells.size())]; }

    struct Action {
        std::size_t weight { 0 };
        void (Walk::*perform)() { nullptr };
    };

    void step()
    {
        static constexpr std::array s_actions { Action { 2, &Walk::moveQueue }, Action { 1, &Walk::takeOverAnyCell },
            Action { 6, &Walk::configureAnyOwner }, Action { 2, &Walk::readAnyAssignments },
            Action { 8, &Walk::commitAny }, Action { 2, &Walk::claimUnaskedAny }, Action { 3, &Walk::applyAnyClaim },
            Action { 1, &Walk::endAnyJob }, Action { 2, &Walk::retryDeferredCall },
            Action { 1, &Walk::removeAnyAssignment }, Action { 14, &Walk::submitAny } };
        std::size_t total = 0;
        for (const Action& action : s_actions)
            total += action.weight;
        std::size_t choice = pick(total);
        const auto chosen = std::find_if(s_actions.begin(), s_actions.end(), [&](const Action& action) {
            const bool isChosen = choice < action.weight;
            choice -= isChosen ? 0 : action.weight;
            return isChosen;
        });
        ++m_nesting;
        (this->*chosen->perform)();
        --m_nesting;
    }

    template <typename Work> void withAnyOwner(const Work& work)
    {
        if (const auto owner = pickOwner(pickCell()))
            work(owner);
    }

    void takeOverAnyCell() { takeOver(pickCell()); }
    void configureAnyOwner()
    {
        withAnyOwner([this](const auto& owner) { configure(*owner, owner->version + pick(3)); });
    }
    void readAnyAssignments()
    {
        withAnyOwner([this](const auto& owner) { readAssignments(*owner); });
    }
    void commitAny()
    {
        withAnyOwner([this](const auto& owner) { owner->commit(m_store); });
    }
    void claimUnaskedAny()
    {
        withAnyOwner([this](const auto& owner) { claimUnasked(owner); });
    }
    void applyAnyClaim()
    {
        withAnyOwner([](const auto& owner) { owner->applyClaimResult(); });
    }
    void endAnyJob()
    {
        withAnyOwner([this](const auto& owner) { endJob(*owner); });
    }
    void removeAnyAssignment()
    {
        withAnyOwner([this](const auto& owner) { removeAssignment(*owner); });
    }
    void submitAny() { submit(pickJob(), 1 + pick(m_routes.size())); }

    /// Versions count from 1; the queue may have no route.
    void moveQueue()
    {
        const std::size_t next = pick(cells.size() + 1);
        QueueRoutes routes;
        if (next < cells.size())
            routes[queue] = cells[next];
        m_routes.push_back(std::make_shared<const QueueRoutes>(std::move(routes)));
    }

    JobId pickJob()
    {
        if (pick(4) == 0)
            ++m_lastJob;
        JobId job { "job-" + std::to_string(m_lastJob - static_cast<int>(pick(6))) };
        return m_endedJobs.contains(job) ? JobId { "job-" + std::to_string(++m_lastJob) } : job;
    }

    /// The latest owner, or sometimes one before it.
    std::shared_ptr<SimulatedQueueOwner> pickOwner(const PoolId& cell)
    {
        const auto& owners = m_owners[cell];
        if (owners.empty())
            return nullptr;
        const std::size_t back = std::min(owners.size() - 1, pick(4) == 0 ? pick(3) : 0);
        return owners[owners.size() - 1 - back];
    }

    void takeOver(const PoolId& cell)
    {
        const auto rows = valueOrNothing([&] { return m_store.read({ ownerTable, cell.value(), {} }); });
        if (!rows)
            return;
        std::optional<OwnerRow> found;
        RowVersion version = 0;
        for (const PartRow& row : rows->rows) {
            found = valueOrNothing([&] { return decodeOwnerRow(row.value); });
            version = row.version;
        }
        OwnedPart part { cell, NodeId { "n" + std::to_string(++m_lastNode) }, found, version };
        part.beginTransaction({}, {});
        for (int tries = 0;; ++tries) {
            const auto result = part.resolve(m_store.commit(part.transaction()));
            if (result == OwnerWriteOutcome::Done)
                break;
            if (result != OwnerWriteOutcome::Unresolved || tries > 8)
                return;
        }
        const auto closed = valueOrNothing([&] { return readClosedQueues(m_store, cell); });
        const auto assignments = valueOrNothing([&] { return readQueueAssignments(m_store); });
        const auto jobRows = valueOrNothing([&] { return readAll(m_store, jobTable, cell.value()); });
        if (!closed || !assignments || !jobRows)
            return;
        auto owner = std::make_shared<SimulatedQueueOwner>(cell, std::move(part), *closed);
        owner->queues.setAssignments(*assignments);
        for (const PartRow& row : jobRows->rows)
            owner->storedJobs.insert(JobId { row.row.key });
        configure(*owner, 1 + pick(m_routes.size()));
        m_owners[cell].push_back(std::move(owner));
    }

    void configure(SimulatedQueueOwner& owner, std::uint64_t version)
    {
        version = std::min<std::uint64_t>(version, m_routes.size());
        if (version <= owner.version)
            return;
        owner.version = version;
        owner.queues.configure(version, m_routes[version - 1]);
    }

    void readAssignments(SimulatedQueueOwner& owner)
    {
        if (const auto assignments = valueOrNothing([&] { return readQueueAssignments(m_store); }))
            owner.queues.setAssignments(*assignments);
    }

    /// The result is applied at once or later.
    void claim(const std::shared_ptr<SimulatedQueueOwner>& owner, std::uint64_t callVersion)
    {
        const auto claim = owner->queues.claim(queue, callVersion);
        if (!claim || std::exchange(owner->isClaiming, true))
            return;
        owner->claimResult = valueOrNothing([&] { return claimQueue(m_store, *claim); });
        m_deferredCalls.push_back({ owner, callVersion });
        if (!owner->claimResult)
            owner->isClaiming = false;
        else if (m_store.isCalm || pick(2) == 0)
            owner->applyClaimResult();
    }

    /// A call that waits for its claim; its owner may have got other configurations meanwhile.
    void retryDeferredCall()
    {
        if (m_deferredCalls.empty())
            return;
        const DeferredCall call = m_deferredCalls[pick(m_deferredCalls.size())];
        m_deferredCalls.clear();
        if (!call.owner->isOver)
            claim(call.owner, call.version);
    }

    /// What an owner does without a call.
    void claimUnasked(const std::shared_ptr<SimulatedQueueOwner>& owner)
    {
        if (!owner->queues.queuesToClaim().empty() || !owner->queues.queuesWithEarlierCells().empty())
            claim(owner, 0);
    }

    /// A stored job has ended, and the time for which it is kept is over. No caller submits it again.
    void endJob(SimulatedQueueOwner& owner)
    {
        if (owner.storedJobs.empty())
            return;
        m_endedJobs.insert(*owner.storedJobs.begin());
        owner.jobsToRemove.insert(*owner.storedJobs.begin());
    }

    void removeAssignment(SimulatedQueueOwner& owner)
    {
        for (const AssignedQueue& ended : owner.queues.closedQueuesWithoutSuccessor()) {
            if (!owner.hasJobs())
                valueOrNothing([&] { return removeUnusedAssignment(m_store, ended); });
        }
    }

    /// As a node with this version does it. Returns whether a cell has the job, or will store it.
    bool submit(const JobId& job, std::uint64_t version)
    {
        const auto route = m_routes[version - 1]->find(queue);
        if (route == m_routes[version - 1]->end())
            return false;
        PoolId next;
        const bool isTaken = submitTo(route->second, job, version, next);
        return isTaken || (!next.isEmpty() && submitTo(next, job, 0, next));
    }

    bool submitTo(const PoolId& cell, const JobId& job, std::uint64_t callVersion, PoolId& next)
    {
        const auto owner = pickOwner(cell);
        if (!owner || owner->isOver)
            return false;
        if (owner->has(job))
            return true;
        if (owner->queues.access(queue, callVersion) == QueueAccess::Claimable)
            claim(owner, callVersion);
        if (owner->has(job))
            return true;
        switch (owner->queues.access(queue, callVersion)) {
        case QueueAccess::Open:
            owner->unstoredJobs.insert(job);
            return true;
        case QueueAccess::Claimable:
            return false;
        case QueueAccess::Elsewhere:
            next = owner->queues.acceptingCell(queue).value_or(PoolId {});
            return false;
        }
        return false;
    }

    void recordWrite(const std::string& part, const RowWrite& write)
    {
        if (write.row.table != jobTable || !write.value)
            return;
        const auto [known, isNew] = m_cellOfJob.emplace(write.row.key, part);
        EXPECT_EQ(known->second, part) << write.row.key << " is in two cells";
    }

    /// With everything calm and the latest configuration everywhere, each job is found and a new one is accepted.
    void settle()
    {
        if (!m_doOwnersStay || m_routes.back()->empty())
            m_routes.push_back(std::make_shared<const QueueRoutes>(QueueRoutes { { queue, pickCell() } }));
        if (!m_doOwnersStay)
            m_owners.clear();
        const JobId last { "job-last" };
        for (int round = 0; round < calmRounds; ++round) {
            for (const PoolId& cell : cells)
                settle(cell);
            submitToLatest(last);
        }
        EXPECT_TRUE(m_cellOfJob.contains(last.value()));
        const std::size_t jobsBefore = m_cellOfJob.size();
        for (const auto& [job, cell] : std::map { m_cellOfJob }) {
            const JobId id { job };
            EXPECT_TRUE(m_endedJobs.contains(id) || submitToLatest(id)) << job;
        }
        for (const PoolId& cell : cells)
            m_owners[cell].back()->commit(m_store);
        EXPECT_EQ(m_cellOfJob.size(), jobsBefore);
    }

    void settle(const PoolId& cell)
    {
        if (m_owners[cell].empty() || m_owners[cell].back()->isOver)
            takeOver(cell);
        const auto owner = m_owners[cell].back();
        configure(*owner, m_routes.size());
        owner->applyClaimResult();
        readAssignments(*owner);
        owner->commit(m_store);
        claimUnasked(owner);
    }

    bool submitToLatest(const JobId& job)
    {
        for (const PoolId& cell : cells) // Earlier owners are gone.
            m_owners[cell] = { m_owners[cell].back() };
        return submit(job, m_routes.size());
    }

    struct DeferredCall {
        std::shared_ptr<SimulatedQueueOwner> owner;
        std::uint64_t version { 0 }; ///< By which a node has sent the call.
    };

    std::mt19937_64 m_random;
    LatePartStore m_store;
    std::vector<std::shared_ptr<const QueueRoutes>> m_routes; ///< By version, from 1 on.
    std::map<PoolId, std::vector<std::shared_ptr<SimulatedQueueOwner>>> m_owners; ///< In the order of their takeovers.
    std::map<std::string, std::string> m_cellOfJob; ///< Part in which each job has been written.
    bool m_doOwnersStay; ///< Until the end, in place of new ones when it becomes calm.
    std::set<JobId> m_endedJobs;
    std::vector<DeferredCall> m_deferredCalls;
    int m_lastJob { 10 };
    int m_lastNode { 0 };
    int m_nesting { 0 };
};

int environmentNumber(const char* name, int otherwise)
{
    const char* text = std::getenv(name);
    return text ? std::atoi(text) : otherwise;
}

} // namespace

/// RATTANRACK_WALK_FIRST and RATTANRACK_WALK_SEEDS choose other seeds.
TEST(QueueAssignmentWalk, NoJobIsInTwoCellsWhileItsQueueMoves)
{
    const int first = environmentNumber("RATTANRACK_WALK_FIRST", 1);
    const int count = environmentNumber("RATTANRACK_WALK_SEEDS", 40);
    int acceptedJobs = 0;
    for (int seed = first; seed < first + count; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Walk walk { static_cast<std::uint64_t>(seed) };
        walk.run();
        acceptedJobs += walk.acceptedJobs();
    }
    EXPECT_GT(acceptedJobs, count * 5);
}
