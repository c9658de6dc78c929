#include "late_part_store.h"
#include "rattanrack/jobs/cell_queues.h"
#include "rattanrack/jobs/job_codec.h"
#include "rattanrack/jobs/owned_part.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <memory>
#include <random>
#include <set>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;

namespace {

const QueueAddress queue { "a.example/jobs/" };
const std::vector<PoolId> cells { PoolId { "a" }, PoolId { "b" }, PoolId { "c" } };
constexpr int steps = 400;
constexpr int calmRounds = 60;
constexpr std::size_t maxJobsInCommit = 2;
constexpr int maxNesting = 2; ///< Steps of others during a call to the store, which may call the store in turn.

/// One owner of a cell. It may have been replaced without having noticed.
struct Owner {
    Owner(const PoolId& ownedCell, OwnedPart ownedPart, ClosedQueues closed)
        : cell(ownedCell)
        , part(std::move(ownedPart))
        , queues(ownedCell, std::move(closed))
    {
    }

    PoolId cell;
    OwnedPart part;
    CellQueues queues;
    std::set<JobId> storedJobs;
    std::set<JobId> unstoredJobs;
    std::set<JobId> jobsInCommit;
    std::uint64_t version { 0 };
    bool isOver { false };
    bool isSending { false };
    bool isClaiming { false };
};

/// Owners of three cells and nodes at various versions of a configuration that moves one queue at random, over a store
/// that is late. Checks that no job is ever written to two cells.
class Walk {
public:
    explicit Walk(std::uint64_t seed)
        : m_random(seed)
        , m_store(seed + 1)
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

    void step()
    {
        ++m_nesting;
        switch (pick(12)) {
        case 0:
            moveQueue();
            break;
        case 1:
            takeOver(pickCell());
            break;
        case 2:
        case 3:
            if (const auto owner = pickOwner(pickCell()))
                configure(*owner, owner->version + pick(3));
            break;
        case 4:
            if (const auto owner = pickOwner(pickCell()))
                readAssignments(*owner);
            break;
        case 5:
        case 6:
        case 7:
            if (const auto owner = pickOwner(pickCell()))
                commit(*owner);
            break;
        default:
            submit(pickJob(), 1 + pick(m_routes.size()));
        }
        --m_nesting;
    }

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
        if (pick(2) == 0)
            ++m_lastJob;
        return JobId { "job-" + std::to_string(m_lastJob - static_cast<int>(pick(5))) };
    }

    /// The latest owner, or sometimes one before it.
    std::shared_ptr<Owner> pickOwner(const PoolId& cell)
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
        auto owner = std::make_shared<Owner>(cell, std::move(part), *closed);
        owner->queues.setAssignments(*assignments);
        for (const PartRow& row : jobRows->rows)
            owner->storedJobs.insert(JobId { row.row.key });
        configure(*owner, 1 + pick(m_routes.size()));
        m_owners[cell].push_back(std::move(owner));
    }

    void configure(Owner& owner, std::uint64_t version)
    {
        version = std::min<std::uint64_t>(version, m_routes.size());
        if (version <= owner.version)
            return;
        owner.version = version;
        owner.queues.configure(version, m_routes[version - 1]);
    }

    void readAssignments(Owner& owner)
    {
        if (const auto assignments = valueOrNothing([&] { return readQueueAssignments(m_store); }))
            owner.queues.setAssignments(*assignments);
    }

    void claim(const std::shared_ptr<Owner>& owner, std::uint64_t callVersion)
    {
        if (std::exchange(owner->isClaiming, true))
            return;
        const auto claim = owner->queues.claim(queue, callVersion);
        const auto result
            = claim ? valueOrNothing([&] { return claimQueue(m_store, *claim); }) : std::optional<QueueClaimResult> {};
        if (result)
            owner->queues.onClaimResult(queue, *result);
        owner->isClaiming = false;
    }

    void commit(Owner& owner)
    {
        if (owner.isOver || owner.isSending)
            return;
        if (!owner.part.isInFlight()) {
            std::vector<RowWrite> rows;
            for (const QueueAddress& each : std::vector { owner.queues.queuesToClose() }) {
                if (owner.unstoredJobs.empty())
                    rows.push_back(owner.queues.closeQueue(each));
            }
            while (owner.jobsInCommit.size() < maxJobsInCommit && !owner.unstoredJobs.empty())
                owner.jobsInCommit.insert(owner.unstoredJobs.extract(owner.unstoredJobs.begin()));
            for (const JobId& job : owner.jobsInCommit)
                rows.push_back({ { jobTable, job.value() }, encode(jobNamed(job)) });
            owner.part.beginTransaction(std::move(rows), {});
        }
        owner.isSending = true;
        const TransactionOutcome outcome = m_store.commit(owner.part.transaction());
        owner.isSending = false;
        switch (owner.part.resolve(outcome)) {
        case OwnerWriteOutcome::Done:
            owner.queues.onClosesStored();
            owner.storedJobs.merge(owner.jobsInCommit);
            owner.jobsInCommit.clear();
            return;
        case OwnerWriteOutcome::NotApplied:
            owner.part.abandon();
            owner.queues.onClosesNotStored();
            owner.jobsInCommit.clear();
            owner.unstoredJobs.clear();
            return;
        case OwnerWriteOutcome::Lost:
            owner.isOver = true;
            return;
        case OwnerWriteOutcome::Unresolved:
            return;
        }
    }

    static Job jobNamed(const JobId& id)
    {
        Job job { id, QueueId { "q" }, 5, { "text", { {} }, {} } };
        job.queueAddress = queue;
        return job;
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
        const auto has = [&] {
            return owner->storedJobs.contains(job) || owner->unstoredJobs.contains(job)
                || owner->jobsInCommit.contains(job) || owner->queues.cellOfEarlierJob(queue, job).has_value();
        };
        if (has())
            return true;
        if (owner->queues.access(queue, callVersion) == QueueAccess::Claimable)
            claim(owner, callVersion);
        if (has())
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
        if (write.row.table != jobTable)
            return;
        const auto [known, isNew] = m_cellOfJob.emplace(write.row.key, part);
        EXPECT_EQ(known->second, part) << write.row.key << " is in two cells";
    }

    /// With everything calm and the latest configuration everywhere, each job is found and a new one is accepted.
    void settle()
    {
        m_routes.push_back(std::make_shared<const QueueRoutes>(QueueRoutes { { queue, pickCell() } }));
        for (const PoolId& cell : cells)
            takeOver(cell);
        const JobId last { "job-last" };
        for (int round = 0; round < calmRounds; ++round) {
            for (const PoolId& cell : cells) {
                Owner& owner = *m_owners[cell].back();
                configure(owner, m_routes.size());
                readAssignments(owner);
                commit(owner);
            }
            submitToLatest(last);
        }
        EXPECT_TRUE(m_cellOfJob.contains(last.value()));
        const std::size_t jobsBefore = m_cellOfJob.size();
        for (const auto& [job, cell] : std::map { m_cellOfJob })
            EXPECT_TRUE(submitToLatest(JobId { job })) << job;
        for (const PoolId& cell : cells)
            commit(*m_owners[cell].back());
        EXPECT_EQ(m_cellOfJob.size(), jobsBefore);
    }

    bool submitToLatest(const JobId& job)
    {
        for (const PoolId& cell : cells) // Earlier owners are gone.
            m_owners[cell] = { m_owners[cell].back() };
        return submit(job, m_routes.size());
    }

    std::mt19937_64 m_random;
    LatePartStore m_store;
    std::vector<std::shared_ptr<const QueueRoutes>> m_routes; ///< By version, from 1 on.
    std::map<PoolId, std::vector<std::shared_ptr<Owner>>> m_owners; ///< In the order of their takeovers.
    std::map<std::string, std::string> m_cellOfJob; ///< Part in which each job has been written.
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
