#include "rattanrack/platform/http_worker.h"

#include "http_channel.h"
#include "worker_wire.h"

#include <algorithm>
#include <cctype>

namespace rattanrack::platform {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr Duration maxLease = std::chrono::hours { 24 * 366 };

bool isPathSafe(const AttemptId& attempt)
{
    const auto& id = attempt.value();
    return !id.empty() && std::ranges::all_of(id, [](unsigned char character) {
        return std::isalnum(character) != 0 || character == '.' || character == '_' || character == ':'
            || character == '-';
    });
}

std::string taskPath(const AttemptId& attempt, const char* action) { return "/tasks/" + attempt.value() + action; }

} // namespace

HttpWorker::HttpWorker(std::unique_ptr<HttpChannel> channel)
    : m_channel(std::move(channel))
{
}

HttpWorker::~HttpWorker() = default;

Result<std::unique_ptr<HttpWorker>> HttpWorker::create(const std::string& address, const HttpOptions& options)
{
    BOOST_LEAF_AUTO(channel, HttpChannel::create(address, options));
    return std::unique_ptr<HttpWorker> { new HttpWorker { std::move(channel) } };
}

TaskOutcome HttpWorker::run(const TaskOrder& order)
{
    const auto now = SystemClock {}.now();
    const auto body = encodeOrder(order, now);
    if (!body || !isPathSafe(order.attempt))
        return { TaskStatus::NotSent, {}, "order is not UTF-8 or attempt id is not valid in a path" };
    const auto leaseTime = std::min(order.lease.remaining(now), maxLease);
    const auto response
        = m_channel->exchange({ "POST", "/tasks", *body }, leaseTime + m_channel->options().responseTimeout);
    if (response.delivery == Delivery::NotSent)
        return { TaskStatus::NotSent, {}, response.detail };
    if (!response.hasStatus(statusOk))
        return { TaskStatus::Unknown, {}, m_channel->failure("worker.run", response).detail };
    auto outcome = decodeOutcome(response.body, order.attempt);
    return outcome ? std::move(*outcome) : TaskOutcome { TaskStatus::Unknown, {}, "malformed response" };
}

Result<void> HttpWorker::renewLease(const AttemptId& attempt, Deadline lease)
{
    if (!isPathSafe(attempt))
        return fail(ErrorCode::NotFound, "worker.renew", m_channel->address(), attempt.value());
    return post("worker.renew", taskPath(attempt, "/lease"), encodeLease(lease.remaining(SystemClock {}.now())));
}

Result<void> HttpWorker::stop(const AttemptId& attempt, StopMode mode)
{
    if (!isPathSafe(attempt))
        return fail(ErrorCode::NotFound, "worker.stop", m_channel->address(), attempt.value());
    return post("worker.stop", taskPath(attempt, "/stop"), encodeStop(mode));
}

Result<AttemptReport> HttpWorker::attempt(const AttemptId& attempt)
{
    return queryAttempt("worker.attempt", "GET", taskPath(attempt, ""), attempt);
}

Result<AttemptReport> HttpWorker::revoke(const AttemptId& attempt)
{
    return queryAttempt("worker.revoke", "POST", taskPath(attempt, "/revoke"), attempt);
}

Result<void> HttpWorker::setDraining(bool isDraining, std::uint64_t poolEpoch, std::uint64_t bootId)
{
    return post("worker.draining", "/draining", encodeDrain({ isDraining, poolEpoch, bootId }));
}

Result<void> HttpWorker::reboot(std::uint64_t poolEpoch, std::uint64_t bootId)
{
    return post("worker.reboot", "/reboot", encodeReboot({ poolEpoch, bootId }));
}

Result<WorkerReport> HttpWorker::report()
{
    const auto response = m_channel->exchange({ "GET", "/report", {} });
    if (!response.hasStatus(statusOk))
        return fail(ErrorCode::Unavailable, "worker.report", m_channel->address(),
            m_channel->failure("worker.report", response).detail);
    auto report = decodeReport(response.body);
    if (!report)
        return fail(ErrorCode::MalformedMessage, "worker.report", m_channel->address());
    return std::move(*report);
}

Result<void> HttpWorker::post(const char* step, const std::string& path, const std::string& body)
{
    const auto response = m_channel->exchange({ "POST", path, body });
    if (response.hasStatus(statusOk))
        return {};
    if (response.hasStatus(statusNotFound))
        return fail(ErrorCode::NotFound, step, m_channel->address(), path);
    if (response.hasStatus(statusConflict))
        return fail(ErrorCode::Refused, step, m_channel->address(), response.body);
    return fail(m_channel->failure(step, response));
}

Result<AttemptReport> HttpWorker::queryAttempt(
    const char* step, const char* method, const std::string& path, const AttemptId& attempt)
{
    if (!isPathSafe(attempt))
        return fail(ErrorCode::InvalidArgument, step, m_channel->address(), attempt.value());
    const auto response = m_channel->exchange({ method, path, {} });
    if (!response.hasStatus(statusOk)) {
        Error error = m_channel->failure(step, response);
        if (std::string_view { method } == "GET")
            error.code = ErrorCode::Unavailable;
        return fail(std::move(error));
    }
    auto report = decodeAttempt(response.body, attempt);
    if (!report)
        return fail(ErrorCode::MalformedMessage, step, m_channel->address());
    return std::move(*report);
}

} // namespace rattanrack::platform
