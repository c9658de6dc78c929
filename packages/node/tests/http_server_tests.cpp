#include "free_port.h"
#include "rattanrack/node/http_server.h"

#include <gtest/gtest.h>
#include <httplib.h>

#include <future>
#include <thread>

using namespace rattanrack;
using namespace rattanrack::node;
using node::tests::freePort;
using namespace std::chrono_literals;

namespace {

constexpr auto slowCall = 300ms;
/// Time left to stop: 6 s of grace, less 2.6 s until the load balancer has detected the stop and a call of 2.5 s.
constexpr auto remainingGrace = 900ms;

class HttpServerTest : public testing::Test {
protected:
    void SetUp() override
    {
        const int port = freePort();
        server = valueOrNothing([&] {
            return HttpServer::create("127.0.0.1", port, { 4 }, [this](httplib::Server& routes) {
                routes.Get("/slow", [this](const httplib::Request&, httplib::Response& response) {
                    slowCallHasBegun.set_value();
                    std::this_thread::sleep_for(slowCall);
                    response.set_content("all of it", "text/plain");
                });
                routes.Get("/", [](const httplib::Request&, httplib::Response& response) {
                    response.set_content("here", "text/plain");
                });
            });
        }).value();
        client = std::make_unique<httplib::Client>("127.0.0.1", port);
        client->set_keep_alive(true);
        client->set_read_timeout(5s);
    }

    int get(const char* path) const
    {
        const auto result = client->Get(path);
        return result ? result->status : 0;
    }

    std::promise<void> slowCallHasBegun;
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<httplib::Client> client;
};

} // namespace

TEST_F(HttpServerTest, IdleConnectionDoesNotOutliveTheServer)
{
    ASSERT_EQ(get("/"), 200);
    const auto stopAt = std::chrono::steady_clock::now();
    server->stop();
    EXPECT_LT(std::chrono::steady_clock::now() - stopAt, remainingGrace);
}

TEST_F(HttpServerTest, CallInProgressIsAnsweredBeforeTheServerStops)
{
    auto answer = std::async(std::launch::async, [&] { return client->Get("/slow"); });
    ASSERT_EQ(slowCallHasBegun.get_future().wait_for(5s), std::future_status::ready);
    server->stop();
    const auto result = answer.get();
    ASSERT_TRUE(result);
    EXPECT_EQ(result->body, "all of it");
}

TEST_F(HttpServerTest, ResponsesCloseTheirConnectionWhileTheServerDrains)
{
    ASSERT_EQ(client->Get("/")->get_header_value("Connection"), "");
    server->startDraining();
    EXPECT_EQ(client->Get("/")->get_header_value("Connection"), "close");
    EXPECT_EQ(get("/"), 200); // On a new connection.
}

TEST_F(HttpServerTest, RequestsOfOneConnectionAreServedInOrder)
{
    for (int number = 0; number < 20; ++number)
        EXPECT_EQ(get("/"), 200);
}

TEST_F(HttpServerTest, RequestsWithTheLongestPathAndHeadersAreAnswered)
{
    constexpr std::size_t longestLine = 8000; // httplib rejects more.
    EXPECT_EQ(get(('/' + std::string(longestLine, 'a')).c_str()), 404);
    std::string ranges = "bytes=";
    while (ranges.size() < longestLine)
        ranges += "0-0,";
    const auto result = client->Get("/", { { "Range", ranges + "0-0" } });
    EXPECT_TRUE(result) << httplib::to_string(result.error());
    EXPECT_EQ(get("/"), 200);
}
