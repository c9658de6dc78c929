#include "caller_client.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <thread>

namespace rattanrack::cli {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration connectTimeout = seconds { 1 };
constexpr Duration retryPause = milliseconds { 50 };
constexpr Duration longestPoll = seconds { 5 };

/// How long after a request's deadline its answer may still be on its way.
constexpr Duration answerGrace = seconds { 2 };

constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusTooMany = 429;
constexpr int statusUnavailable = 503;

struct AnswerName {
    const char* name;
    CallAnswer answer;
};
constexpr std::array<AnswerName, 4> answerNames { {
    { "done", CallAnswer::Done },
    { "failed", CallAnswer::Failed },
    { "not_run", CallAnswer::NotRun },
    { "outcome_unknown", CallAnswer::OutcomeUnknown },
} };

std::int64_t millisecondsOf(Duration duration) { return std::chrono::duration_cast<milliseconds>(duration).count(); }

std::string textOf(const nlohmann::json& body, const char* key)
{
    const auto found = body.find(key);
    return found != body.end() && found->is_string() ? found->get<std::string>() : "";
}

} // namespace

struct CallerClient::Connections {
    std::vector<std::unique_ptr<httplib::Client>> clients;

    httplib::Client& at(std::size_t node) { return *clients[node % clients.size()]; }
};

struct CallerClient::Reply {
    int status { 0 };
    nlohmann::json body;
    bool hasRetryAfter { false };
};

CallerClient::CallerClient(const LoadProfile& profile, const LoadPlan& plan, const std::vector<config::Address>& nodes,
    TimePoint start, Deadline end)
    : m_profile(profile)
    , m_plan(plan)
    , m_connections(std::make_unique<Connections>())
    , m_start(start)
    , m_end(end)
{
    for (const config::Address& node : nodes) {
        auto client = std::make_unique<httplib::Client>(node.host, node.port);
        client->set_tcp_nodelay(true);
        client->set_keep_alive(true);
        client->set_connection_timeout(connectTimeout);
        m_connections->clients.push_back(std::move(client));
    }
}

CallerClient::~CallerClient() = default;

Duration CallerClient::now() const { return m_clock.now() - m_start; }

CallRecord CallerClient::play(std::size_t index)
{
    const PlannedCall& call = m_plan.calls[index];
    CallRecord record;
    record.call = index;
    record.sendDelay = std::max(now() - call.at, Duration::zero());
    submit(call, record);
    if (call.cancelAt && record.answer == CallAnswer::Lost && !record.request.isEmpty())
        cancel(call, record);
    collect(call, record);
    record.latency = now() - call.at;
    return record;
}

std::string CallerClient::requestBody(const PlannedCall& call) const
{
    const PlannedRequest& request = m_plan.requests[call.request];
    const RequestMix& mix = m_profile.mix[request.mix];
    const nlohmann::json body { { "kind", mix.kind.value() }, { "team", mix.team.value() },
        { "caller", request.caller.value() }, { "urgency", mix.urgency },
        { "deadlineMs", millisecondsOf(mix.deadline) },
        { "size",
            { { "millicores", mix.size.processors.count() }, { "memoryMiB", mix.size.memory.count() },
                { "accelerators", mix.size.accelerators.count() } } },
        { "runTimeMs", millisecondsOf(request.runTime) }, { "repeatable", mix.isRepeatable },
        { "idempotencyKey", request.key.value() }, { "payload", request.payload },
        { "wait", !call.cancelAt.has_value() } };
    return body.dump();
}

std::optional<CallerClient::Reply> CallerClient::send(
    std::size_t node, const std::string& path, const std::string* body, Duration timeout)
{
    httplib::Client& client = m_connections->at(node);
    client.set_read_timeout(timeout);
    const auto result = body ? client.Post(path, *body, "application/json") : client.Get(path);
    if (!result)
        return std::nullopt;
    Reply reply;
    reply.status = result->status;
    reply.hasRetryAfter = result->has_header("Retry-After");
    reply.body = nlohmann::json::parse(result->body, nullptr, false);
    if (!reply.body.is_object())
        return std::nullopt;
    return reply;
}

/// A request that no node will ever take, since its content is wrong.
bool CallerClient::isRejected(const Reply& reply, CallRecord& record) const
{
    if (reply.status != statusBadRequest)
        return false;
    record.reason = "rejected: " + textOf(reply.body, "detail");
    return true;
}

/// Sends until a node gives a whole answer. The key makes it safe to send the same request again.
void CallerClient::submit(const PlannedCall& call, CallRecord& record)
{
    const std::string body = requestBody(call);
    const Duration timeout = m_profile.mix[m_plan.requests[call.request].mix].deadline + answerGrace;
    for (std::size_t tried = 0; remaining() > Duration::zero(); ++tried) {
        const auto reply = send(call.node + tried, "/v1/requests", &body, std::min(timeout, remaining()));
        if (reply && (accept(*reply, record) || isRejected(*reply, record)))
            return;
        std::this_thread::sleep_for(std::min(retryPause, remaining()));
    }
}

/// Takes what the reply says. Returns whether it identifies the request or is final.
bool CallerClient::accept(const Reply& reply, CallRecord& record) const
{
    const std::string answer = textOf(reply.body, "answer");
    const std::string request = textOf(reply.body, "request");
    if (!request.empty())
        record.request = RequestId { request };
    if (answer == "pending")
        return !request.empty();
    const auto* const found = std::find_if(
        answerNames.begin(), answerNames.end(), [&](const AnswerName& each) { return each.name == answer; });
    if (found == answerNames.end())
        return false;
    record.answer = found->answer;
    record.output = textOf(reply.body, "output");
    record.reason = textOf(reply.body, "reason");
    const bool isRefusal = reply.status == statusTooMany || reply.status == statusUnavailable;
    record.lacksRetryAfter = isRefusal && found->answer == CallAnswer::NotRun && !reply.hasRetryAfter;
    return true;
}

void CallerClient::cancel(const PlannedCall& call, const CallRecord& record)
{
    const Duration wait = std::min(*call.cancelAt - now(), remaining());
    if (wait > Duration::zero())
        std::this_thread::sleep_for(wait);
    static const std::string s_emptyBody = "{}";
    // One try, as from a caller who has lost interest; the answer is asked for all the same.
    (void)send(call.node, "/v1/requests/" + record.request.value() + "/cancel", &s_emptyBody, connectTimeout);
}

/// Asks for the answer until it is final.
void CallerClient::collect(const PlannedCall& call, CallRecord& record)
{
    const auto isOpen = [&] { return record.answer == CallAnswer::Lost && !record.request.isEmpty(); };
    for (std::size_t tried = 0; isOpen() && remaining() > Duration::zero(); ++tried) {
        const Duration poll = std::min(longestPoll, remaining());
        const std::string path
            = "/v1/requests/" + record.request.value() + "?waitMs=" + std::to_string(millisecondsOf(poll));
        const auto reply = send(call.node + tried, path, nullptr, poll + answerGrace);
        if (reply && accept(*reply, record))
            continue;
        std::this_thread::sleep_for(std::min(retryPause, remaining()));
        // Nobody knows the request any more: its node may be gone. The key makes it the same request again.
        if (reply && reply->status == statusNotFound)
            submit(call, record);
    }
}

} // namespace rattanrack::cli
