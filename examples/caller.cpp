// A caller written from docs/API.md alone: books something that must not be booked twice, asks again as if the answer
// had been lost, and cancels another request. Exit status 0 when every answer was as the page promises.
//
//     caller 127.0.0.1:8001 127.0.0.1:8002

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <ctime>
#include <iostream>
#include <string>

namespace {

using nlohmann::json;

json post(const std::string& node, const std::string& path, const json& body)
{
    httplib::Client client("http://" + node);
    client.set_tcp_nodelay(true);
    client.set_read_timeout(std::chrono::seconds { 40 });
    const auto reply = client.Post(path, body.dump(), "application/json");
    return reply ? json::parse(reply->body, nullptr, false) : json::object();
}

json fetch(const std::string& node, const std::string& request)
{
    httplib::Client client("http://" + node);
    client.set_read_timeout(std::chrono::seconds { 15 });
    const auto reply = client.Get("/v1/requests/" + request + "?waitMs=10000");
    return reply ? json::parse(reply->body, nullptr, false) : json::object();
}

bool isAs(const char* what, bool isExpected, const json& answer)
{
    std::cout << (isExpected ? "ok   " : "WRONG ") << what << ": " << answer.dump() << '\n';
    return isExpected;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    if (argumentCount != 3) {
        std::cerr << "usage: caller NODE OTHER-NODE\n";
        return 2;
    }
    const std::string node = arguments[1];
    const std::string otherNode = arguments[2];
    const std::string key = "booking-" + std::to_string(std::time(nullptr));
    const json booking { { "kind", "wig-order" }, { "team", "theatres" }, { "caller", "example" },
        { "repeatable", false }, { "idempotencyKey", key }, { "payload", "one wig" }, { "runTimeMs", 50 } };

    bool isAllRight = true;
    const json first = post(node, "/v1/requests", booking);
    isAllRight
        &= isAs("booked", first.value("answer", "") == "done" && first.value("output", "") == "echo:one wig", first);

    const json again = post(otherNode, "/v1/requests", booking);
    isAllRight &= isAs("the same booking through another node", again.value("output", "") == "echo:one wig", again);

    json changed = booking;
    changed["payload"] = "two wigs";
    const json conflict = post(otherNode, "/v1/requests", changed);
    isAllRight &= isAs("the same key with other content", !conflict.contains("output"), conflict);

    const json longRun { { "kind", "archive-export" }, { "team", "theatres" }, { "caller", "example" },
        { "runTimeMs", 20000 }, { "wait", false } };
    const std::string id = post(node, "/v1/requests", longRun).value("request", "");
    post(otherNode, "/v1/requests/" + id + "/cancel", json::object());
    const json cancelled = fetch(otherNode, id);
    const std::string answer = cancelled.value("answer", "");
    isAllRight &= isAs("cancelled through another node", answer == "failed" || answer == "not_run", cancelled);

    const json wrong = post(node, "/v1/requests", { { "kind", "wig-order" }, { "colour", "red" } });
    isAllRight &= isAs("a wrong field", wrong.contains("detail"), wrong);
    return isAllRight ? 0 : 1;
}
