#include "rattanrack/node/caller_request_json.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::node;
using namespace std::chrono_literals;

namespace {

std::string errorOf(const std::string& body)
{
    return handle(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(parseSubmission(body, TimePoint {}));
            return std::string {};
        },
        [](const Error& error) { return error.detail; });
}

std::optional<Submission> parsed(const std::string& body)
{
    return handle(
        [&]() -> Result<std::optional<Submission>> {
            BOOST_LEAF_AUTO(submission, parseSubmission(body, TimePoint { 1s }));
            return std::optional { std::move(submission) };
        },
        [](const Error&) { return std::optional<Submission> {}; });
}

} // namespace

TEST(ParseSubmission, ReadsEveryField)
{
    const auto submission = parsed(R"({"kind":"k","team":"t","caller":"c","urgency":"urgent","deadlineMs":500,
        "size":{"millicores":1,"memoryMiB":2,"accelerators":3},"runTimeMs":40,"repeatable":false,
        "idempotencyKey":"o1","payload":"p","wait":false})");
    ASSERT_TRUE(submission);
    const policy::RequestSpec& spec = submission->request.spec;
    EXPECT_EQ(spec.urgency, policy::Urgency::Urgent);
    EXPECT_EQ(spec.deadline.at(), TimePoint { 1500ms });
    EXPECT_EQ(spec.declaredSize.accelerators, Accelerators { 3 });
    EXPECT_EQ(spec.declaredRunTime, 40ms);
    EXPECT_FALSE(spec.isRepeatable);
    EXPECT_FALSE(submission->waits);
    EXPECT_EQ(submission->request.key, IdempotencyKey { "c/o1" });
}

TEST(ParseSubmission, FingerprintIgnoresOrderAndDeadlineButNotContent)
{
    const auto first = parsed(R"({"kind":"k","team":"t","caller":"c","payload":"p","deadlineMs":1})");
    const auto same = parsed(R"({"payload":"p","team":"t","caller":"c","kind":"k","deadlineMs":2,"wait":true})");
    const auto other = parsed(R"({"kind":"k","team":"t","caller":"c","payload":"q"})");
    ASSERT_TRUE(first && same && other);
    EXPECT_EQ(first->request.fingerprint, same->request.fingerprint);
    EXPECT_NE(first->request.fingerprint, other->request.fingerprint);
}

TEST(ParseSubmission, RejectsInvalidRequests)
{
    EXPECT_EQ(errorOf("{"), "body: expected valid JSON");
    EXPECT_EQ(errorOf("[]"), "body: expected a JSON object");
    EXPECT_EQ(errorOf(R"({"team":"t","caller":"c"})"), "kind: expected a text");
    EXPECT_EQ(errorOf(R"({"kind":"k","team":"t","caller":"c","colour":1})"), "colour: expected no such field");
    EXPECT_EQ(errorOf(R"({"kind":"k","team":"t","caller":"c","deadlineMs":-1})"), "deadlineMs: expected 0 to 86400000");
    EXPECT_EQ(
        errorOf(R"({"kind":"k","team":"t","caller":"c","deadlineMs":1e3})"), "deadlineMs: expected a whole number");
    EXPECT_EQ(errorOf(R"({"kind":"k","team":"t","caller":"c","deadlineMs":18446744073709551615})"),
        "deadlineMs: expected at most 86400000");
    EXPECT_EQ(errorOf(R"({"kind":"k","team":"t","caller":"c","urgency":"soon"})"),
        "urgency: expected urgent, normal or background");
    EXPECT_EQ(
        errorOf(R"({"kind":"k","team":"t","caller":"c","size":{"cores":1}})"), "size.cores: expected no such field");
    EXPECT_EQ(errorOf(R"({"kind":"k","team":"t","caller":"c","repeatable":false})"),
        "idempotencyKey: expected a key, since the request is not repeatable");
}

TEST(ParseSubmission, RejectsDeepNestingWithoutCrashing)
{
    const std::string deep(200'000, '[');
    EXPECT_EQ(errorOf(deep), "body: expected valid JSON");
    EXPECT_EQ(errorOf("{\"kind\":" + deep + std::string(200'000, ']') + "}"), "kind: expected a text");
}

TEST(AnswerBody, ContainsOutputAndRetryTime)
{
    EXPECT_EQ(answerBody(RequestId { "n.1" }, doneAnswer("x\ny")),
        "{\"answer\":\"done\",\"output\":\"x\\ny\",\"request\":\"n.1\"}\n");
    const Answer refused = notRunAnswer(policy::NotRunReason::QueueFull, 1500us);
    EXPECT_EQ(answerBody(RequestId { "n.1" }, refused),
        "{\"answer\":\"not_run\",\"reason\":\"queue_full\",\"request\":\"n.1\",\"retryAfterMs\":2}\n");
    EXPECT_EQ(httpStatus(refused), 429);
    EXPECT_EQ(httpStatus(failedAnswer(std::string(keyReusedReason), {})), 409);
}
