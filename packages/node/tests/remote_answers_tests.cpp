#include "rattanrack/node/remote_answers.h"

#include "fake_table.h"

#include "rattanrack/node/table_claim_recorder.h"
#include "rattanrack/policy/traffic_core.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::node;
using namespace std::chrono_literals;

namespace {

class RemoteAnswersTest : public ::testing::Test {
protected:
    ~RemoteAnswersTest() override { control.stop(); }

    /// Sets the owner's reply to the next query; none: the owner does not reply.
    void setReply(std::optional<peer::AnswerReply> reply) { m_reply = std::move(reply); }

    RemoteAnswer fetch(Duration wait = 10ms)
    {
        return answers.fetch(RequestId { "owner.7" }, false, Deadline::after(clock.now(), wait));
    }

    bool isOwnerMember { true };
    SystemClock clock;
    Metrics metrics;
    node::testing::FakeTable table;
    WorkerDirectory workers { [](const platform::VmDescription&) { return nullptr; } };
    ControlLoop control { clock };
    ElasticThreadPool threads { 1, 10 };
    TableClaimRecorder claims { table, threads };
    TrafficService traffic { { control, clock, metrics, threads, workers, claims, NodeId { "n" },
        policy::createTrafficCore(1), [](const auto&) {}, [](const auto&) {},
        [](const auto&, const auto&, Duration) {} } };
    RemoteAnswers answers { control, clock, traffic, NodeId { "n" },
        [this](const NodeId&, const peer::Message& message) { onSent(message); },
        [this](const NodeId&) { return isOwnerMember; } };

private:
    void onSent(const peer::Message& message)
    {
        const auto* query = std::get_if<peer::AnswerQuery>(&message);
        if (!query || !m_reply)
            return;
        peer::AnswerReply reply = *m_reply;
        reply.exchange = query->exchange;
        control.post([this, reply] { answers.handleReply(reply); });
    }

    std::optional<peer::AnswerReply> m_reply;
};

} // namespace

TEST_F(RemoteAnswersTest, ReturnsTheCompleteAnswerOfTheOwner)
{
    setReply(peer::AnswerReply { .state = peer::AnswerState::Done, .output = "whole" });
    const RemoteAnswer remote = fetch();
    ASSERT_TRUE(remote.isKnown && remote.answer);
    EXPECT_EQ(remote.answer->kind, AnswerKind::Done);
    EXPECT_EQ(remote.answer->output, "whole");
}

TEST_F(RemoteAnswersTest, RequestOfAMemberThatDoesNotReplyIsNotUnknown)
{
    setReply(std::nullopt);
    const RemoteAnswer remote = fetch();
    EXPECT_TRUE(remote.isKnown);
    EXPECT_FALSE(remote.answer);
}

TEST_F(RemoteAnswersTest, RequestOfAGoneOwnerIsUnknown)
{
    isOwnerMember = false;
    EXPECT_FALSE(fetch().isKnown);
}

TEST_F(RemoteAnswersTest, RequestThatTheOwnerHasRemovedIsUnknown)
{
    setReply(peer::AnswerReply { .state = peer::AnswerState::NotFound });
    EXPECT_FALSE(fetch().isKnown);
}
