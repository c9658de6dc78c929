#include "mutator.h"
#include "scripted_server.h"

#include "rattanrack/platform/http_table.h"
#include "rattanrack/platform/http_worker.h"

#include <cstdlib>
#include <iostream>

/// Raw bytes in place of HTTP answers, through the whole HTTP client: each call ends, is sent at most once, and nothing
/// but the whole answer to this very call counts. An argument gives the number of answers.
namespace {

using namespace rattanrack;
using namespace rattanrack::platform;
using namespace std::chrono_literals;

constexpr std::uint64_t seed = 20261204;
constexpr const char* chunked = "HTTP/1.1 200 OK\r\nExchange-Id: {exchange}\r\nTransfer-Encoding: chunked\r\n\r\n"
                                "d\r\n{\"version\":7}\r\n0\r\n\r\n";
constexpr const char* conflict = "HTTP/1.1 409 Conflict\r\nExchange-Id: {exchange}\r\nContent-Length: 0\r\n\r\n";
constexpr const char* redirect
    = "HTTP/1.1 302 Found\r\nExchange-Id: {exchange}\r\nLocation: /\r\nContent-Length: 0\r\n\r\n";

void require(bool holds, const std::string& answer)
{
    if (holds)
        return;
    std::cout << "failed on: " << answer << '\n';
    std::abort();
}

TaskOrder order()
{
    TaskOrder task;
    task.attempt = AttemptId { "a1" };
    task.lease = Deadline::after(SystemClock {}.now(), 20ms);
    return task;
}

const HttpOptions options { .responseTimeout = 50ms, .maxResponseBytes = 1U << 20U };

void checkWorker(const std::string& answer)
{
    test::ScriptedServer server { { { answer, true } } };
    const auto outcome = HttpWorker::create(server.address(), options).value()->run(order());
    require(server.requests().size() <= 1, answer);
    require(outcome.status != TaskStatus::NotSent, answer);
    const bool isWhole = answer.find("\"attempt\":\"a1\"") != std::string::npos;
    require(outcome.status == TaskStatus::Unknown || isWhole, answer);
}

void checkTable(const std::string& answer)
{
    test::ScriptedServer server { { { answer, true } } };
    const auto outcome = HttpTable::create(server.address(), options).value()->commit({ {}, { { "k", "v" } } });
    require(server.requests().size() <= 1, answer);
    require(outcome.status != CommitStatus::Done || answer.find("\"version\"") != std::string::npos, answer);
}

} // namespace

int main(int argc, char** argv)
{
    constexpr long defaultAnswers = 300;
    const long answers = argc > 1 ? std::atol(argv[1]) : defaultAnswers;
    const auto outcome = test::jsonReply(R"({"attempt":"a1","status":"completed","output":"o","detail":""})").bytes;
    const auto version = test::jsonReply(R"({"version":7})").bytes;
    fuzz::Mutator mutator { { outcome, version, chunked, conflict, redirect }, seed };
    for (long number = 0; number < answers; ++number) {
        const auto answer = mutator.next();
        checkWorker(answer);
        checkTable(answer);
    }
    std::cout << "answers=" << answers << " seed=" << seed << '\n';
    return 0;
}
