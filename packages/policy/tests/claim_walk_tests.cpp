#include "claim_fakes.h"

#include "rattanrack/base/invariant.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

using namespace rattanrack;
using namespace rattanrack::policy;
using namespace rattanrack::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t shardCount = 2;
constexpr std::size_t nodeCount = 3;
constexpr std::size_t keyCount = 3;
constexpr int sequenceLength = 300;
constexpr Duration patience = 1s;

struct Step {
    unsigned action { 0 };
    unsigned choice { 0 };

    friend std::ostream& operator<<(std::ostream& out, const Step& step)
    {
        return out << step.action << '/' << step.choice;
    }
};

/// An owner's attempt, as the owner and the workers know it.
struct Attempt {
    Claim claim;
    bool isGranted { false };
    bool hasRun { false };
    bool isGivenUp { false }; ///< The owner will not send it, or the workers have promised not to start it.
};

struct Node {
    explicit Node(const std::string& id)
        : home({ .self = NodeId { id }, .shardCount = shardCount })
    {
    }
    ClaimHome home;
    std::deque<ClaimBatch> commits;
    std::deque<ClaimBatch> readBacks;
};

/// Homes that pause, lapse and lose answers, owners that die, and a table that applies transactions late. The oracle is
/// the workers' view: no key's work runs twice.
class World {
public:
    World()
    {
        for (std::size_t node = 0; node < nodeCount; ++node)
            m_nodes.emplace_back("n" + std::to_string(node));
        for (ClaimShardIndex shard = 0; shard < shardCount; ++shard)
            takeOver(0, shard);
    }

    void act(const Step& step)
    {
        using Action = void (World::*)(unsigned);
        static constexpr Action s_actions[] { &World::claim, &World::claim, &World::answerCommit, &World::answerCommit,
            &World::answerCommit, &World::loseAnswer, &World::commitLate, &World::applyLate, &World::refuseCommit,
            &World::answerReadBack, &World::answerReadBack, &World::failReadBack, &World::takeOverAny, &World::passTime,
            &World::passTime, &World::runGranted, &World::runGranted, &World::giveUp, &World::settleByWorkers,
            &World::repeat };
        (this->*s_actions[step.action % std::size(s_actions)])(step.choice);
    }

    /// Ends all faults; then every key must be answered.
    void heal()
    {
        for (ClaimShardIndex shard = 0; shard < shardCount; ++shard)
            takeOver(0, shard);
        settleDown();
        for (std::size_t key = 0; key < keyCount; ++key) {
            const auto wanted = submitNew(key, 0);
            settleDown();
            RC_ASSERT(m_verdicts.at(wanted) != ClaimVerdict::Unavailable);
        }
    }

private:
    void claim(unsigned choice) { (void)submitNew(choice % keyCount, choice / keyCount); }

    ClaimTicket submitNew(std::size_t key, std::size_t node)
    {
        const auto number = std::to_string(m_attempts.size());
        m_attempts.push_back({ claimOf("k" + std::to_string(key), "a" + number, "o" + number) });
        return submit(m_attempts.size() - 1, m_attempts.back().claim, node);
    }

    ClaimTicket submit(std::size_t attempt, const Claim& claim, std::size_t node)
    {
        const auto ticket = ++m_lastTicket;
        m_tickets[ticket] = { attempt, claim.state };
        auto& target = m_nodes[node % nodeCount];
        take(target, target.home.submit(ticket, claim, Deadline::after(m_now, patience), m_now));
        return ticket;
    }

    void take(Node& node, ClaimEffects effects)
    {
        if (effects.commit)
            node.commits.push_back(*effects.commit);
        if (effects.readBack)
            node.readBacks.push_back(*effects.readBack);
        RC_ASSERT(node.commits.size() + node.readBacks.size() <= 1U);
        for (const auto& each : effects.answers)
            hear(each);
    }

    void hear(const TicketAnswer& answer)
    {
        const auto [index, state] = m_tickets.at(answer.ticket);
        m_verdicts[answer.ticket] = answer.answer.verdict;
        auto& attempt = m_attempts[index];
        if (answer.answer.verdict == ClaimVerdict::Taken && answer.answer.claim.state == ClaimState::Completed)
            RC_ASSERT(answer.answer.claim.output == "out of " + m_ran.at(answer.answer.claim.key).value());
        if (answer.answer.verdict != ClaimVerdict::Granted)
            return;
        RC_ASSERT(m_table.wasEverClaimed(attempt.claim.attempt) || state == ClaimState::Withdrawn);
        attempt.isGranted |= state == ClaimState::Claimed;
    }

    Node* nodeWith(std::deque<ClaimBatch> Node::*queue, unsigned choice)
    {
        for (std::size_t offset = 0; offset < nodeCount; ++offset) {
            auto& node = m_nodes[(choice + offset) % nodeCount];
            if (!(node.*queue).empty())
                return &node;
        }
        return nullptr;
    }

    template <typename Answer> void withCommit(unsigned choice, Answer answer)
    {
        auto* node = nodeWith(&Node::commits, choice);
        if (!node)
            return;
        const auto batch = node->commits.front();
        node->commits.pop_front();
        take(*node, node->home.onCommit(batch.id, answer(batch), m_now));
    }

    void answerCommit(unsigned choice)
    {
        withCommit(choice, [&](const auto& batch) { return m_table.commit(batch); });
    }
    void loseAnswer(unsigned choice)
    {
        withCommit(choice, [&](const auto& batch) {
            (void)m_table.commit(batch);
            return ClaimCommitStatus::Unknown;
        });
    }
    void commitLate(unsigned choice)
    {
        withCommit(choice, [&](const auto& batch) {
            m_late.push_back(batch);
            return ClaimCommitStatus::Unknown;
        });
    }
    void refuseCommit(unsigned choice)
    {
        withCommit(choice, [](const auto&) { return ClaimCommitStatus::Unavailable; });
    }
    void applyLate(unsigned choice)
    {
        if (m_late.empty())
            return;
        const auto chosen = m_late.begin() + static_cast<std::ptrdiff_t>(choice % m_late.size());
        (void)m_table.commit(*chosen);
        if (choice % 2 == 0)
            m_late.erase(chosen);
    }
    void answerReadBack(unsigned choice)
    {
        if (auto* node = nodeWith(&Node::readBacks, choice)) {
            const auto batch = node->readBacks.front();
            node->readBacks.pop_front();
            take(*node, node->home.onReadBack(batch.id, m_table.readBack(batch), m_now));
        }
    }
    void failReadBack(unsigned choice)
    {
        if (auto* node = nodeWith(&Node::readBacks, choice)) {
            const auto batch = node->readBacks.front();
            node->readBacks.pop_front();
            take(*node, node->home.onReadBack(batch.id, std::nullopt, m_now));
        }
    }

    void takeOverAny(unsigned choice) { takeOver(choice % nodeCount, choice / nodeCount % shardCount); }
    void takeOver(std::size_t index, ClaimShardIndex shard)
    {
        auto& node = m_nodes[index];
        const auto version = m_table.takeDuty(shard);
        take(node, node.home.takeShard(shard, version, m_table.rowsOf(shard), m_now));
    }

    /// A node that is not ticked is paused.
    void passTime(unsigned choice)
    {
        m_now += std::chrono::milliseconds { 10 + choice % 200 };
        auto& node = m_nodes[choice % nodeCount];
        take(node, node.home.tick(m_now));
    }

    Attempt* attemptOf(unsigned choice)
    {
        return m_attempts.empty() ? nullptr : &m_attempts[choice % m_attempts.size()];
    }

    void runGranted(unsigned choice)
    {
        auto* attempt = attemptOf(choice);
        if (!attempt || !attempt->isGranted || attempt->hasRun || attempt->isGivenUp)
            return;
        attempt->hasRun = true;
        RC_ASSERT(m_ran.emplace(attempt->claim.key, attempt->claim.attempt).second);
        settle(*attempt, choice);
    }

    /// The owner decides not to send the attempt, granted or not.
    void giveUp(unsigned choice)
    {
        auto* attempt = attemptOf(choice);
        if (!attempt || attempt->hasRun)
            return;
        attempt->isGivenUp = true;
        settle(*attempt, choice);
    }

    /// Another node asks all workers, which promise not to start what has not run.
    void settleByWorkers(unsigned choice)
    {
        auto* attempt = attemptOf(choice);
        if (!attempt)
            return;
        attempt->isGivenUp |= !attempt->hasRun;
        settle(*attempt, choice);
    }

    void settle(const Attempt& attempt, unsigned choice)
    {
        const auto claim = attempt.hasRun
            ? settled(attempt.claim, ClaimState::Completed, "out of " + attempt.claim.attempt.value())
            : settled(attempt.claim, ClaimState::Withdrawn);
        (void)submit(static_cast<std::size_t>(&attempt - m_attempts.data()), claim, choice / 7);
    }

    /// A message arrives again, however old it is.
    void repeat(unsigned choice)
    {
        if (const auto* attempt = attemptOf(choice))
            (void)submit(static_cast<std::size_t>(attempt - m_attempts.data()), attempt->claim, choice / 5);
    }

    /// Long enough for every queue to empty: each change of one key takes a commit of its own.
    void settleDown()
    {
        constexpr int rounds = 100;
        for (int round = 0; round < rounds; ++round) {
            m_now += 200ms;
            for (unsigned node = 0; node < nodeCount; ++node) {
                answerCommit(node);
                answerReadBack(node);
                take(m_nodes[node], m_nodes[node].home.tick(m_now));
            }
        }
    }

    TimePoint m_now { 100s };
    FakeClaimTable m_table;
    std::deque<Node> m_nodes;
    std::vector<ClaimBatch> m_late;
    std::vector<Attempt> m_attempts;
    std::map<ClaimTicket, std::pair<std::size_t, ClaimState>> m_tickets;
    std::map<ClaimTicket, ClaimVerdict> m_verdicts;
    std::map<IdempotencyKey, AttemptId> m_ran;
    ClaimTicket m_lastTicket { 0 };
};

rc::Gen<std::vector<Step>> genSteps()
{
    const auto step = rc::gen::build<Step>(rc::gen::set(&Step::action, rc::gen::inRange(0U, 1000U)),
        rc::gen::set(&Step::choice, rc::gen::inRange(0U, 100000U)));
    return rc::gen::container<std::vector<Step>>(sequenceLength, step);
}

} // namespace

RC_GTEST_PROP(ClaimWalk, NoKeyRunsTwiceAndAllAreAnsweredAfterwards, ())
{
    setInvariantsFatal(true);
    const auto steps = *genSteps();
    World world;
    for (const auto& step : steps)
        world.act(step);
    world.heal();
}
