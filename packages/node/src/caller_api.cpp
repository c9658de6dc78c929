#include "rattanrack/node/caller_api.h"

#include "rattanrack/node/caller_request_json.h"

#include <httplib.h>

#include <algorithm>
#include <charconv>

namespace rattanrack::node {

namespace {

using namespace std::chrono_literals;

constexpr const char* jsonType = "application/json";
constexpr int statusAccepted = 202;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr Duration waitPastDeadline = 30s; ///< A started request may end later than its deadline.
constexpr Duration maxFetchWait = 60s;
constexpr Duration busyRetryAfter = 1s;

void reply(httplib::Response& response, const RequestId& id, const std::optional<Answer>& answer)
{
    if (!answer) {
        response.status = statusAccepted;
        response.set_content(pendingBody(id), jsonType);
        return;
    }
    response.status = httpStatus(*answer);
    if (answer->retryAfter > Duration::zero()) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(answer->retryAfter).count();
        response.set_header("Retry-After", std::to_string(seconds));
    }
    response.set_content(answerBody(id, *answer), jsonType);
}

void replyError(httplib::Response& response, int status, const Error& error)
{
    response.status = status;
    response.set_content(errorBody(error), jsonType);
}

Duration waitParameter(const httplib::Request& request)
{
    const std::string text = request.get_param_value("waitMs");
    std::int64_t milliseconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    const Duration requested = std::chrono::milliseconds { std::clamp<std::int64_t>(milliseconds, 0, 3'600'000) };
    return std::min(requested, maxFetchWait);
}

} // namespace

void CallerApi::addRoutes(httplib::Server& server)
{
    server.Post("/v1/requests", [this](const auto& request, auto& response) { submit(request, response); });
    server.Get("/v1/requests/([^/]+)", [this](const auto& request, auto& response) { fetch(request, response); });
    server.Post(
        "/v1/requests/([^/]+)/cancel", [this](const auto& request, auto& response) { cancel(request, response); });
}

void CallerApi::submit(const httplib::Request& request, httplib::Response& response)
{
    auto submission = valueOrNothing([&] { return parseSubmission(request.body, m_clock.now()); },
        [&](const Error& error) { replyError(response, statusBadRequest, error); });
    if (!submission)
        return;
    const Deadline waitUntil = Deadline::after(submission->request.spec.deadline.at(), waitPastDeadline);
    const bool isRepeatable = submission->request.spec.isRepeatable;
    const std::uint64_t fingerprint = submission->request.fingerprint;
    const ThreadShares::Reservation reservation = m_shares.tryReserve(submission->request.spec.kind);
    if (!reservation) {
        reply(
            response, RequestId {}, refusalBeforeClaim(isRepeatable, policy::NotRunReason::QueueFull, busyRetryAfter));
        return;
    }
    const auto pending = m_traffic.submit(std::move(submission->request));
    if (pending->request().fingerprint != fingerprint) {
        replyError(response, statusConflict,
            { ErrorCode::Conflict, "request.submit", {}, "idempotencyKey belongs to a request with other content" });
        return;
    }
    const RequestId& id = pending->request().spec.id;
    reply(response, id, submission->waits ? m_traffic.runAttempts(pending, waitUntil) : pending->answer());
}

void CallerApi::fetch(const httplib::Request& request, httplib::Response& response)
{
    const RequestId id { request.matches[1].str() };
    const auto pending = m_traffic.find(id);
    const WorkKind kind = pending ? pending->request().spec.kind : WorkKind {};
    const ThreadShares::Reservation reservation = m_shares.tryReserve(kind);
    const Deadline deadline = Deadline::after(m_clock.now(), reservation ? waitParameter(request) : Duration::zero());
    if (pending)
        reply(response, id, pending->awaitAnswer(deadline, m_clock));
    else
        replyFromOwner(id, false, deadline, response);
}

void CallerApi::cancel(const httplib::Request& request, httplib::Response& response)
{
    const RequestId id { request.matches[1].str() };
    const auto pending = m_traffic.find(id);
    if (!pending) {
        replyFromOwner(id, true, Deadline::after(m_clock.now(), Duration::zero()), response);
        return;
    }
    m_traffic.cancel(id);
    reply(response, id, pending->answer());
}

void CallerApi::replyFromOwner(const RequestId& id, bool cancels, Deadline deadline, httplib::Response& response)
{
    const RemoteAnswer remote = m_remote.fetch(id, cancels, deadline);
    if (remote.isKnown)
        reply(response, id, remote.answer);
    else
        replyError(response, statusNotFound,
            { ErrorCode::NotFound, "request.fetch", acceptingNode(id).value(),
                "unknown or forgotten, or the node that accepted it has gone: submit it again with its key" });
}

} // namespace rattanrack::node
