#include "rattanrack/node/caller_request_json.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace rattanrack::node {

namespace {

using nlohmann::json;

constexpr const char* step = "request.parse";
constexpr std::size_t maxNameBytes = 200;
constexpr std::int64_t maxMilliseconds = 24LL * 3600 * 1000;
constexpr std::int64_t maxQuantity = 1'000'000'000;

boost::leaf::error_id invalidField(std::string_view field, std::string_view expected)
{
    return fail(ErrorCode::InvalidArgument, step, {}, std::string(field) + ": expected " + std::string(expected));
}

Result<std::string> readName(const json& object, const char* field, bool isRequired)
{
    const auto found = object.find(field);
    if (found == object.end()) {
        if (isRequired)
            return invalidField(field, "a text");
        return std::string {};
    }
    if (!found->is_string())
        return invalidField(field, "a text");
    auto value = found->get<std::string>();
    if (value.size() > maxNameBytes || (isRequired && value.empty()))
        return invalidField(field, "a text of 1 to 200 bytes");
    return value;
}

Result<std::int64_t> readInteger(const json& object, const char* field, std::int64_t fallback, std::int64_t maximum)
{
    const auto found = object.find(field);
    if (found == object.end())
        return fallback;
    if (!found->is_number_integer())
        return invalidField(field, "a whole number");
    if (found->is_number_unsigned() && found->get<std::uint64_t>() > static_cast<std::uint64_t>(maximum))
        return invalidField(field, "at most " + std::to_string(maximum));
    const auto value = found->get<std::int64_t>();
    if (value < 0 || value > maximum)
        return invalidField(field, "0 to " + std::to_string(maximum));
    return value;
}

Result<bool> readFlag(const json& object, const char* field, bool fallback)
{
    const auto found = object.find(field);
    if (found == object.end())
        return fallback;
    if (!found->is_boolean())
        return invalidField(field, "true or false");
    return found->get<bool>();
}

Result<policy::Urgency> readUrgency(const json& object)
{
    BOOST_LEAF_AUTO(text, readName(object, "urgency", false));
    if (text.empty() || text == "normal")
        return policy::Urgency::Normal;
    if (text == "urgent")
        return policy::Urgency::Urgent;
    if (text == "background")
        return policy::Urgency::Background;
    return invalidField("urgency", "urgent, normal or background");
}

Result<ResourceSize> readSize(const json& object)
{
    const auto found = object.find("size");
    if (found == object.end())
        return ResourceSize { Millicores { 1000 }, Mebibytes { 256 }, Accelerators { 0 } };
    if (!found->is_object())
        return invalidField("size", "an object");
    for (const auto& [key, value] : found->items()) {
        if (key != "millicores" && key != "memoryMiB" && key != "accelerators")
            return invalidField("size." + key, "no such field");
    }
    BOOST_LEAF_AUTO(processors, readInteger(*found, "millicores", 1000, maxQuantity));
    BOOST_LEAF_AUTO(memory, readInteger(*found, "memoryMiB", 256, maxQuantity));
    BOOST_LEAF_AUTO(accelerators, readInteger(*found, "accelerators", 0, maxQuantity));
    return ResourceSize { Millicores { processors }, Mebibytes { memory }, Accelerators { accelerators } };
}

Result<json> parseObject(const std::string& body)
{
    json object = json::parse(body, nullptr, false);
    if (object.is_discarded())
        return invalidField("body", "valid JSON");
    if (!object.is_object())
        return invalidField("body", "a JSON object");
    constexpr std::array fields { "kind", "team", "caller", "urgency", "deadlineMs", "size", "runTimeMs", "repeatable",
        "idempotencyKey", "payload", "wait" };
    for (const auto& [key, value] : object.items()) {
        if (std::find(fields.begin(), fields.end(), std::string_view { key }) == fields.end())
            return invalidField(key.substr(0, maxNameBytes), "no such field");
    }
    return object;
}

std::uint64_t fingerprintOf(json object)
{
    object.erase("wait");
    object.erase("deadlineMs");
    const std::string canonical = object.dump(-1, ' ', false, json::error_handler_t::replace);
    return XXH3_64bits(canonical.data(), canonical.size());
}

std::string dump(const json& object) { return object.dump(-1, ' ', false, json::error_handler_t::replace) + '\n'; }

} // namespace

Result<Submission> parseSubmission(const std::string& body, TimePoint now)
{
    BOOST_LEAF_AUTO(object, parseObject(body));
    BOOST_LEAF_AUTO(kind, readName(object, "kind", true));
    BOOST_LEAF_AUTO(team, readName(object, "team", true));
    BOOST_LEAF_AUTO(caller, readName(object, "caller", true));
    BOOST_LEAF_AUTO(key, readName(object, "idempotencyKey", false));
    BOOST_LEAF_AUTO(urgency, readUrgency(object));
    BOOST_LEAF_AUTO(deadline, readInteger(object, "deadlineMs", 30'000, maxMilliseconds));
    BOOST_LEAF_AUTO(runTime, readInteger(object, "runTimeMs", 1000, maxMilliseconds));
    BOOST_LEAF_AUTO(size, readSize(object));
    BOOST_LEAF_AUTO(isRepeatable, readFlag(object, "repeatable", true));
    BOOST_LEAF_AUTO(waits, readFlag(object, "wait", true));
    const auto payload = object.find("payload");
    if (payload != object.end() && !payload->is_string())
        return invalidField("payload", "a text");
    if (!isRepeatable && key.empty())
        return invalidField("idempotencyKey", "a key, since the request is not repeatable");

    Submission submission;
    submission.waits = waits;
    CallerRequest& request = submission.request;
    request.caller = CallerId { std::move(caller) };
    // Keys are prefixed with the caller, since callers choose them independently of each other.
    if (!key.empty())
        request.key = IdempotencyKey { request.caller.value() + '/' + key };
    request.fingerprint = fingerprintOf(object);
    if (payload != object.end())
        request.payload = payload->get<std::string>();
    request.spec = policy::RequestSpec {
        .kind = WorkKind { std::move(kind) },
        .team = TeamId { std::move(team) },
        .urgency = urgency,
        .deadline = Deadline::after(now, std::chrono::milliseconds { deadline }),
        .declaredSize = size,
        .declaredRunTime = std::chrono::milliseconds { runTime },
        .bytes = static_cast<std::uint32_t>(request.payload.size()),
        .isRepeatable = isRepeatable,
    };
    return submission;
}

std::string answerBody(const RequestId& id, const Answer& answer)
{
    json object { { "request", id.value() }, { "answer", name(answer.kind) } };
    if (answer.kind == AnswerKind::Done || !answer.output.empty())
        object["output"] = answer.output;
    if (!answer.reason.empty())
        object["reason"] = answer.reason;
    if (answer.retryAfter > Duration::zero())
        object["retryAfterMs"] = std::chrono::ceil<std::chrono::milliseconds>(answer.retryAfter).count();
    return dump(object);
}

std::string pendingBody(const RequestId& id) { return dump({ { "request", id.value() }, { "answer", "pending" } }); }

std::string errorBody(const Error& error)
{
    return dump({ { "error", message(error.code) }, { "step", error.step }, { "detail", error.detail } });
}

int httpStatus(const Answer& answer)
{
    constexpr int ok = 200;
    constexpr int conflict = 409;
    constexpr int unprocessable = 422;
    constexpr int tooManyRequests = 429;
    constexpr int unavailable = 503;
    constexpr int timedOut = 504;
    if (answer.reason == keyReusedReason)
        return conflict;
    if (answer.kind != AnswerKind::NotRun)
        return ok;
    if (answer.reason == "never_fits" || answer.reason == "unknown_kind")
        return unprocessable;
    if (answer.reason == "queue_full" || answer.reason == "quota_exceeded")
        return tooManyRequests;
    if (answer.reason == "deadline_passed" || answer.reason == "deadline_too_soon")
        return timedOut;
    return answer.reason == "cancelled" ? ok : unavailable;
}

} // namespace rattanrack::node
