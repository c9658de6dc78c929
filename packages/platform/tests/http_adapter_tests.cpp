#include "scripted_server.h"

#include "rattanrack/platform/http_object_store.h"
#include "rattanrack/platform/http_table.h"
#include "rattanrack/platform/http_vm_list.h"
#include "rattanrack/platform/http_worker.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::platform;
using namespace rattanrack::test;
using namespace std::chrono_literals;

namespace {

constexpr Duration leaseTime = 10s;

std::unique_ptr<HttpWorker> workerAt(const std::string& address, const HttpOptions& options = {})
{
    return HttpWorker::create(address, options).value();
}

TaskOrder order(const std::string& attempt)
{
    TaskOrder task;
    task.request = RequestId { "r1" };
    task.attempt = AttemptId { attempt };
    task.pool = PoolId { "office" };
    task.kind = WorkKind { "check" };
    task.payload = "payload";
    task.lease = Deadline::after(SystemClock {}.now(), leaseTime);
    return task;
}

std::string completedBody(const std::string& attempt)
{
    return R"({"attempt":")" + attempt + R"(","status":"completed","output":"out of )" + attempt + R"(","detail":""})";
}

TaskStatus statusOfResponse(const Reply& reply)
{
    ScriptedServer server { { reply } };
    const auto outcome = workerAt(server.address())->run(order("a1"));
    EXPECT_EQ(server.requests().size(), 1U);
    return outcome.status;
}

template <typename T> ErrorCode codeOf(const std::function<Result<T>()>& call)
{
    return handle(
        [&]() -> Result<ErrorCode> {
            BOOST_LEAF_CHECK(call());
            return ErrorCode::Internal;
        },
        [](const Error& error) { return error.code; });
}

} // namespace

TEST(HttpWorker, ReturnsTheCompleteResponse)
{
    ScriptedServer server { { jsonReply(completedBody("a1")), jsonReply(completedBody("a2")) } };
    const auto worker = workerAt(server.address());
    EXPECT_EQ(worker->run(order("a1")).output, "out of a1");
    EXPECT_EQ(worker->run(order("a2")).output, "out of a2");
}

TEST(HttpWorker, IsNotSentWhenTheServerDoesNotListen)
{
    std::string address;
    {
        const ScriptedServer server { {} };
        address = server.address();
    }
    EXPECT_EQ(workerAt(address)->run(order("a1")).status, TaskStatus::NotSent);
}

TEST(HttpWorker, ConnectionClosedAfterTheRequestIsUnknownAndNotRetried)
{
    EXPECT_EQ(statusOfResponse({ "", true }), TaskStatus::Unknown);
}

TEST(HttpWorker, KeepAliveConnectionClosedDuringARequestIsUnknownAndNotRetried)
{
    ScriptedServer server { { jsonReply(completedBody("a1")), { "", true } } };
    const auto worker = workerAt(server.address());
    EXPECT_EQ(worker->run(order("a1")).status, TaskStatus::Completed);
    EXPECT_EQ(worker->run(order("a2")).status, TaskStatus::Unknown);
    EXPECT_EQ(server.requests().size(), 2U);
}

TEST(HttpWorker, ConnectionClosedWhileIdleSendsEachRequestAtMostOnce)
{
    ScriptedServer server { { jsonReply(completedBody("a1"), true), jsonReply(completedBody("a2")) } };
    const auto worker = workerAt(server.address());
    EXPECT_EQ(worker->run(order("a1")).status, TaskStatus::Completed);
    const auto second = worker->run(order("a2")).status;
    EXPECT_TRUE(second == TaskStatus::Completed || second == TaskStatus::Unknown);
    const auto requests = server.requests();
    const auto sendsOfSecond = std::ranges::count_if(
        requests, [](const auto& request) { return request.find("\"a2\"") != std::string::npos; });
    EXPECT_LE(sendsOfSecond, 1);
    EXPECT_TRUE(second != TaskStatus::Completed || sendsOfSecond == 1);
}

TEST(HttpWorker, TruncatedBodyIsUnknown)
{
    auto reply = jsonReply(completedBody("a1"), true);
    reply.bytes.resize(reply.bytes.size() - 10);
    EXPECT_EQ(statusOfResponse(reply), TaskStatus::Unknown);
}

TEST(HttpWorker, TruncatedBodyWithoutContentLengthIsUnknown)
{
    const std::string body = completedBody("a1");
    EXPECT_EQ(statusOfResponse(
                  { "HTTP/1.1 200 OK\r\nExchange-Id: {exchange}\r\n\r\n" + body.substr(0, body.size() - 1), true }),
        TaskStatus::Unknown);
}

TEST(HttpWorker, RepeatedBodyIsUnknown)
{
    EXPECT_EQ(statusOfResponse(jsonReply(completedBody("a1") + completedBody("a1"))), TaskStatus::Unknown);
}

TEST(HttpWorker, ResponseAboutAnotherAttemptIsUnknown)
{
    EXPECT_EQ(statusOfResponse(jsonReply(completedBody("a7"))), TaskStatus::Unknown);
}

TEST(HttpWorker, ResponseToAnotherExchangeIsUnknown)
{
    auto reply = jsonReply(completedBody("a1"));
    reply.bytes.replace(reply.bytes.find("{exchange}"), 10, "999");
    EXPECT_EQ(statusOfResponse(reply), TaskStatus::Unknown);
}

TEST(HttpWorker, InvalidStatusIsUnknown)
{
    EXPECT_EQ(statusOfResponse(jsonReply(R"({"attempt":"a1","status":"unknown","output":"","detail":""})")),
        TaskStatus::Unknown);
    EXPECT_EQ(statusOfResponse({ "HTTP/1.1 500 No\r\nExchange-Id: {exchange}\r\nContent-Length: 0\r\n\r\n" }),
        TaskStatus::Unknown);
}

TEST(HttpWorker, DuplicatedResponseIsNotUsedForTheNextRequest)
{
    auto duplicated = jsonReply(completedBody("a1"));
    duplicated.isSentTwice = true;
    ScriptedServer server { { duplicated, jsonReply(completedBody("a2")) } };
    const auto worker = workerAt(server.address());
    EXPECT_EQ(worker->run(order("a1")).output, "out of a1");
    const auto second = worker->run(order("a2"));
    EXPECT_NE(second.output, "out of a1");
}

TEST(HttpWorker, ResponseAboveTheSizeLimitIsUnknown)
{
    ScriptedServer server { { jsonReply(completedBody("a1")) } };
    const HttpOptions options { .maxResponseBytes = 10 };
    EXPECT_EQ(workerAt(server.address(), options)->run(order("a1")).status, TaskStatus::Unknown);
}

TEST(HttpWorker, TimeoutIsUnknown)
{
    ScriptedServer server { { { "" } } };
    const HttpOptions options { .responseTimeout = 50ms };
    auto task = order("a1");
    task.lease = Deadline::after(SystemClock {}.now(), 50ms);
    EXPECT_EQ(workerAt(server.address(), options)->run(task).status, TaskStatus::Unknown);
}

TEST(HttpWorker, PayloadOrAttemptIdThatCannotBeEncodedIsNotSent)
{
    ScriptedServer server { {} };
    auto task = order("a1");
    task.payload = "\xff";
    EXPECT_EQ(workerAt(server.address())->run(task).status, TaskStatus::NotSent);
    task = order("a/1");
    EXPECT_EQ(workerAt(server.address())->run(task).status, TaskStatus::NotSent);
    EXPECT_TRUE(server.requests().empty());
}

TEST(HttpWorker, RevocationRequiresAResponseAboutThatAttempt)
{
    ScriptedServer server { { jsonReply(R"({"attempt":"a2","state":"revoked","output":""})"), { "", true } } };
    const auto worker = workerAt(server.address());
    EXPECT_EQ(codeOf<AttemptReport>([&] { return worker->revoke(AttemptId { "a1" }); }), ErrorCode::MalformedMessage);
    EXPECT_EQ(codeOf<AttemptReport>([&] { return worker->revoke(AttemptId { "a1" }); }), ErrorCode::OutcomeUnknown);
}

TEST(HttpTable, DistinguishesTheFiveOutcomes)
{
    const auto empty = [](const char* status) {
        return Reply { std::string { "HTTP/1.1 " } + status
            + " X\r\nExchange-Id: {exchange}\r\nContent-Length: 0\r\n\r\n" };
    };
    ScriptedServer server { { jsonReply(R"({"version":7})"), empty("409"), empty("413"), empty("503"), empty("500"),
        jsonReply(R"({"version":-7})"), { "", true } } };
    const auto table = HttpTable::create(server.address()).value();
    std::vector<CommitStatus> seen(7);
    for (auto& status : seen)
        status = table->commit({ {}, { { "key", "value" } } }).status;
    EXPECT_EQ(seen,
        (std::vector { CommitStatus::Done, CommitStatus::Conflict, CommitStatus::Refused, CommitStatus::Unavailable,
            CommitStatus::Unknown, CommitStatus::Unknown, CommitStatus::Unknown }));
    EXPECT_EQ(server.requests().size(), 7U);
    EXPECT_EQ(table->commit({ {}, { { "key", "\xff" } } }).status, CommitStatus::Refused);
}

TEST(HttpTable, DuplicatedResponseIsNotUsedForTheNextCommit)
{
    auto duplicated = jsonReply(R"({"version":7})");
    duplicated.isSentTwice = true;
    ScriptedServer server { { duplicated, jsonReply(R"({"version":8})") } };
    const auto table = HttpTable::create(server.address()).value();
    EXPECT_EQ(table->commit({ {}, { { "key", "value" } } }).version, 7U);
    const auto second = table->commit({ {}, { { "key", "value" } } });
    EXPECT_TRUE(second.status == CommitStatus::Unknown || second.version == 8U);
}

TEST(HttpTable, MalformedRowsAreAnError)
{
    ScriptedServer server { { jsonReply(R"({"rows":[{"key":"a","value":1,"version":1}]})"), { "", true } } };
    const auto table = HttpTable::create(server.address()).value();
    EXPECT_EQ(codeOf<Rows>([&] { return table->read({ "a" }); }), ErrorCode::MalformedMessage);
    EXPECT_EQ(codeOf<Rows>([&] { return table->read({ "a" }); }), ErrorCode::Unavailable);
}

TEST(HttpAdapters, RejectAddressesThatAreNotIpAndPort)
{
    for (const char* address : { "", "localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:70000", "127.0.0.1:8x" })
        EXPECT_FALSE(HttpTable::create(address)) << address;
}
