#include "rattanrack/node/pending_calls.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::node;
using namespace std::chrono_literals;

namespace {

struct Reply {
    std::uint64_t exchange { 0 };
    bool hasCome { false };
};

} // namespace

TEST(PendingCalls, ReplyToAnEarlierLifeAnswersNoQuestionOfTheNext)
{
    PendingCalls<Reply> earlier;
    PendingCalls<Reply> next;
    const Deadline deadline { TimePoint { 1s } };
    int replies = 0;
    const std::uint64_t asked = earlier.add(deadline, [](const Reply&) {});
    const std::uint64_t own = next.add(deadline, [&](const Reply& reply) { replies += reply.hasCome ? 1 : 0; });
    next.handleReply({ asked, true });
    EXPECT_EQ(replies, 0);
    next.handleReply({ own, true });
    EXPECT_EQ(replies, 1);
}

TEST(PendingCalls, QuestionWithoutReplyEndsAtItsDeadline)
{
    PendingCalls<Reply> questions;
    int unanswered = 0;
    questions.add(Deadline { TimePoint { 1s } }, [&](const Reply& reply) { unanswered += reply.hasCome ? 0 : 1; });
    questions.expire(TimePoint { 900ms });
    EXPECT_EQ(unanswered, 0);
    questions.expire(TimePoint { 1s });
    EXPECT_EQ(unanswered, 1);
}
