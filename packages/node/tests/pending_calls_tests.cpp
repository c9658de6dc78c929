#include "rattanrack/node/pending_calls.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::node;
using namespace std::chrono_literals;

namespace {

struct Reply {
    std::uint64_t exchange { 0 };
    bool hasArrived { false };
};

} // namespace

TEST(PendingCalls, ReplyToAnEarlierProcessCompletesNoCallOfTheNext)
{
    PendingCalls<Reply> earlier;
    PendingCalls<Reply> next;
    const Deadline deadline { TimePoint { 1s } };
    int replies = 0;
    const std::uint64_t earlierExchange = earlier.add(deadline, [](const Reply&) {});
    const std::uint64_t ownExchange
        = next.add(deadline, [&](const Reply& reply) { replies += reply.hasArrived ? 1 : 0; });
    next.handleReply({ earlierExchange, true });
    EXPECT_EQ(replies, 0);
    next.handleReply({ ownExchange, true });
    EXPECT_EQ(replies, 1);
}

TEST(PendingCalls, CallWithoutReplyEndsAtItsDeadline)
{
    PendingCalls<Reply> calls;
    int expiredCalls = 0;
    calls.add(Deadline { TimePoint { 1s } }, [&](const Reply& reply) { expiredCalls += reply.hasArrived ? 0 : 1; });
    calls.expire(TimePoint { 900ms });
    EXPECT_EQ(expiredCalls, 0);
    calls.expire(TimePoint { 1s });
    EXPECT_EQ(expiredCalls, 1);
}
