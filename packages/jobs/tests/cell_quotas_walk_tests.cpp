#include "quota_store.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <random>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;
using namespace std::chrono_literals;

namespace {

const CustomerId customer { "a" };
constexpr int cells = 3;
constexpr std::int64_t quota = 1000;
constexpr std::int64_t lowerQuota = 400;
constexpr std::int64_t largestTask = 120;
constexpr int steps = 4000;
constexpr TimePoint beginning { 1000s };
constexpr Duration stepTime = 20ms;
constexpr Duration longestApplication = 400ms; ///< Until all owners have a new configuration.

ResourceSize millicores(std::int64_t count) { return { Millicores { count }, {}, {} }; }

/// A run on the workers of a cell, which outlives the owner that has started it.
struct WalkRun {
    std::int64_t size { 0 };
    TimePoint endsAt {};
    bool isContacted { true }; ///< The present owner counts it.
};

/// Owners of the cells share one quota. Their transactions are late, lost before or after they take effect, their reads
/// late, and the owners replaced while the earlier ones go on for a while. Checks after each start that no more runs
/// than the quota permits.
class QuotaWalk {
public:
    explicit QuotaWalk(std::uint64_t seed)
        : m_random(seed)
    {
        for (int cell = 0; cell < cells; ++cell)
            m_cells[cell].owners.push_back(newOwner(cell, 1));
    }

    void play()
    {
        for (int step = 0; step < steps; ++step) {
            m_now += stepTime;
            if (oneIn(400))
                changeQuota();
            for (int cell = 0; cell < cells; ++cell)
                stepCell(cell);
        }
    }

    int starts() const { return m_starts; }
    int starved() const { return m_starved; }

private:
    struct Owner {
        std::unique_ptr<CellQuotas> quotas;
        CustomerUse use { customer, millicores(quota), {}, {}, {} };
        std::uint64_t version { 0 }; ///< Of its configuration.
        TimePoint quotaKnownAt {};
        TimePoint replacedAt {}; ///< 0: the present owner.
        struct Response {
            TimePoint at;
            TransactionOutcome outcome;
        };
        struct Read {
            TimePoint at;
            std::optional<RowPage> page;
        };
        std::deque<Response> responses;
        std::deque<Read> reads;
    };
    struct Cell {
        std::vector<std::unique_ptr<Owner>> owners; ///< The last one is the present one.
        std::vector<WalkRun> runs;
        Fence term { 1 };
        std::int64_t demand { 0 };
        TimePoint shortSince { beginning };
        TimePoint contactAt {}; ///< When the present owner contacts the last worker.
    };

    bool oneIn(int count) { return std::uniform_int_distribution<int> { 1, count }(m_random) == 1; }
    std::int64_t below(std::int64_t bound)
    {
        return std::uniform_int_distribution<std::int64_t> { 0, bound - 1 }(m_random);
    }
    Duration upTo(Duration most) { return Duration { below(most.count() + 1) }; }

    std::unique_ptr<Owner> newOwner(int cell, Fence term)
    {
        auto owner = std::make_unique<Owner>();
        owner->quotas = std::make_unique<CellQuotas>(PoolId { std::to_string(cell) }, term);
        setQuota(*owner);
        return owner;
    }

    void setQuota(Owner& owner) const
    {
        owner.version = m_configurationVersion;
        owner.use.quota = millicores(m_quota);
        owner.quotas->configure({ m_configurationVersion, cells, true });
    }

    void changeQuota()
    {
        ++m_configurationVersion;
        m_quota = m_quota == quota ? lowerQuota : quota;
        m_quotaChangedAt = m_now;
        for (auto& [cell, state] : m_cells) {
            for (auto& owner : state.owners)
                owner->quotaKnownAt = m_now + upTo(longestApplication);
        }
    }

    void stepCell(int number)
    {
        Cell& cell = m_cells[number];
        std::erase_if(cell.runs, [&](const WalkRun& run) { return run.endsAt <= m_now; });
        if (oneIn(60))
            cell.demand = oneIn(2) ? 0 : 200 + below(2000);
        if (oneIn(500))
            replaceOwner(number, cell);
        std::erase_if(cell.owners,
            [&](const auto& owner) { return owner->replacedAt != TimePoint {} && m_now - owner->replacedAt > 2s; });
        for (auto& owner : cell.owners)
            stepOwner(cell, *owner);
    }

    /// Some of the runs are on workers that the next owner contacts later.
    void replaceOwner(int number, Cell& cell)
    {
        cell.owners.back()->replacedAt = m_now;
        cell.owners.push_back(newOwner(number, ++cell.term));
        for (WalkRun& run : cell.runs)
            run.isContacted = !oneIn(3);
        cell.contactAt = m_now + upTo(3s);
    }

    void stepOwner(Cell& cell, Owner& owner)
    {
        if (owner.version != m_configurationVersion && m_now >= owner.quotaKnownAt)
            setQuota(owner);
        deliver(owner);
        const bool isPresent = owner.replacedAt == TimePoint {};
        std::int64_t known = 0;
        std::int64_t uncontacted = 0;
        for (WalkRun& run : cell.runs) {
            run.isContacted = run.isContacted || m_now >= cell.contactAt;
            known += run.isContacted || !isPresent ? run.size : 0;
            uncontacted += run.isContacted || !isPresent ? 0 : run.size;
        }
        owner.use.used = millicores(known);
        const std::int64_t waiting = std::max<std::int64_t>(cell.demand - known, 0);
        const std::int64_t limit = limitOf(owner, uncontacted);
        const bool isHeld = waiting > 0 && known + largestTask > limit;
        owner.use.waiting = millicores(isHeld ? waiting : 0);
        owner.use.unit = millicores(isHeld ? largestTask : 0);
        callStore(owner, uncontacted);
        // A replaced owner reaches the workers that the next one has not contacted, whose room bounds what it starts.
        const std::int64_t room = isPresent ? limitOf(owner, uncontacted) : 0;
        for (std::int64_t left = waiting; left >= largestTask && known + largestTask <= room; left -= largestTask) {
            start(cell);
            known += largestTask;
        }
        checkStarvation(cell, isPresent && isHeld);
    }

    static std::int64_t limitOf(const Owner& owner, std::int64_t uncontacted)
    {
        return owner.quotas->limitOf(owner.use, millicores(uncontacted)).size.processors.count();
    }

    void start(Cell& cell)
    {
        cell.runs.push_back({ largestTask, m_now + 100ms + upTo(900ms), true });
        ++m_starts;
        std::int64_t total = 0;
        for (const auto& [number, each] : m_cells) {
            for (const WalkRun& run : each.runs)
                total += run.size;
        }
        const bool isChanging = m_now - m_quotaChangedAt <= longestApplication;
        EXPECT_LE(total, isChanging ? quota : m_quota) << "at " << m_now.time_since_epoch().count();
    }

    /// A cell that is short while another one may have all of the quota gets some of it in time.
    void checkStarvation(Cell& cell, bool isHeld)
    {
        if (!isHeld || !cell.runs.empty())
            cell.shortSince = m_now;
        m_starved += m_now - cell.shortSince > 15s ? 1 : 0;
    }

    void callStore(Owner& owner, std::int64_t uncontacted)
    {
        if (owner.quotas->isReadDue(m_now)) {
            owner.quotas->onReadSent(m_now);
            owner.reads.push_back({ m_now + upTo(150ms), oneIn(15) ? std::nullopt : std::optional { m_store.read() } });
        }
        const auto transaction = owner.quotas->nextTransaction({ owner.use }, millicores(uncontacted), m_now);
        if (!transaction)
            return;
        TransactionOutcome outcome { TransactionStatus::Unavailable };
        const bool isLost = oneIn(8);
        if (!isLost || oneIn(2))
            outcome = m_store.commit(*transaction);
        if (isLost && oneIn(4))
            m_delayed.push_back({ m_now + upTo(2s), *transaction });
        if (isLost)
            outcome = { TransactionStatus::Unknown };
        owner.responses.push_back({ m_now + upTo(80ms), std::move(outcome) });
    }

    void deliver(Owner& owner)
    {
        std::erase_if(m_delayed, [&](const auto& each) {
            const bool isDue = each.first <= m_now;
            if (isDue)
                (void)m_store.commit(each.second);
            return isDue;
        });
        while (!owner.responses.empty() && owner.responses.front().at <= m_now) {
            owner.quotas->onOutcome(owner.responses.front().outcome, m_now);
            owner.responses.pop_front();
        }
        while (!owner.reads.empty() && owner.reads.front().at <= m_now) {
            if (owner.reads.front().page)
                owner.quotas->onRead(*owner.reads.front().page, m_now);
            else
                owner.quotas->onReadFailed(m_now);
            owner.reads.pop_front();
        }
    }

    std::mt19937_64 m_random;
    TimePoint m_now { beginning };
    std::map<int, Cell> m_cells;
    QuotaStore m_store;
    std::vector<std::pair<TimePoint, PartTransaction>> m_delayed; ///< Take effect after their response was lost.
    std::int64_t m_quota { quota };
    std::uint64_t m_configurationVersion { 1 };
    TimePoint m_quotaChangedAt {};
    int m_starts { 0 };
    int m_starved { 0 };
};

std::uint64_t numberFrom(const char* variable, std::uint64_t fallback)
{
    const char* text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

} // namespace

/// Guards against more runs of a customer than its quota, whatever the order of owners, reads and responses.
TEST(CellQuotasWalk, NothingStartsBeyondTheQuota)
{
    const std::uint64_t first = numberFrom("RATTANRACK_WALK_FIRST", 1);
    const std::uint64_t seeds = numberFrom("RATTANRACK_WALK_SEEDS", 20);
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        QuotaWalk walk { seed };
        walk.play();
        EXPECT_GT(walk.starts(), 100) << "seed " << seed;
        EXPECT_EQ(walk.starved(), 0) << "seed " << seed;
        if (testing::Test::HasFailure()) {
            ADD_FAILURE() << "seed " << seed;
            return;
        }
    }
}
