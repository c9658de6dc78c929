#include "worker_wire.h"

#include "json_fields.h"

#include <algorithm>
#include <array>

namespace rattanrack::platform {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::int64_t maxMilliseconds = 366LL * 24 * 3600 * 1000;

template <typename Value> struct WireName {
    Value value;
    std::string_view text;
};

constexpr std::array taskStatuses {
    WireName<TaskStatus> { TaskStatus::Completed, "completed" },
    WireName<TaskStatus> { TaskStatus::Failed, "failed" },
    WireName<TaskStatus> { TaskStatus::Stopped, "stopped" },
    WireName<TaskStatus> { TaskStatus::RefusedBusy, "refused_busy" },
    WireName<TaskStatus> { TaskStatus::RefusedDraining, "refused_draining" },
    WireName<TaskStatus> { TaskStatus::RefusedEpoch, "refused_epoch" },
    WireName<TaskStatus> { TaskStatus::RefusedRevoked, "refused_revoked" },
    WireName<TaskStatus> { TaskStatus::RefusedTooLarge, "refused_too_large" },
};

constexpr std::array attemptStates {
    WireName<AttemptState> { AttemptState::NeverSeen, "never_seen" },
    WireName<AttemptState> { AttemptState::Running, "running" },
    WireName<AttemptState> { AttemptState::Completed, "completed" },
    WireName<AttemptState> { AttemptState::Failed, "failed" },
    WireName<AttemptState> { AttemptState::Stopped, "stopped" },
    WireName<AttemptState> { AttemptState::Revoked, "revoked" },
};

constexpr std::array stopModes {
    WireName<StopMode> { StopMode::Checkpoint, "checkpoint" },
    WireName<StopMode> { StopMode::Throttle, "throttle" },
    WireName<StopMode> { StopMode::Stop, "stop" },
};

template <typename Value, std::size_t size>
std::string_view toWireName(const std::array<WireName<Value>, size>& names, Value value)
{
    const auto found = std::ranges::find(names, value, &WireName<Value>::value);
    return found == names.end() ? std::string_view { "unknown" } : found->text;
}

template <typename Value, std::size_t size>
Value fromWireName(const std::array<WireName<Value>, size>& names, const std::string& wireName)
{
    const auto found = std::ranges::find(names, std::string_view { wireName }, &WireName<Value>::text);
    if (found == names.end())
        throw FieldError {};
    return found->value;
}

std::int64_t toMilliseconds(Duration duration)
{
    return std::clamp<std::int64_t>(std::chrono::duration_cast<milliseconds>(duration).count(), 0, maxMilliseconds);
}

Duration durationField(const json& object, const char* field)
{
    const auto value = count(object, field);
    if (value > maxMilliseconds)
        throw FieldError {};
    return milliseconds { value };
}

json toJson(const ResourceSize& size)
{
    return { { "processors", size.processors.count() }, { "memory", size.memory.count() },
        { "accelerators", size.accelerators.count() } };
}

ResourceSize toSize(const json& object)
{
    return { Millicores { count(object, "processors") }, Mebibytes { count(object, "memory") },
        Accelerators { count(object, "accelerators") } };
}

void requireAttempt(const json& document, const AttemptId& attempt)
{
    if (text(document, "attempt") != attempt.value())
        throw FieldError {};
}

} // namespace

std::string_view name(TaskStatus status) { return toWireName(taskStatuses, status); }

std::string_view name(AttemptState state) { return toWireName(attemptStates, state); }

std::optional<std::string> encodeOrder(const TaskOrder& order, TimePoint now)
{
    return encodeJson({ { "request", order.request.value() }, { "attempt", order.attempt.value() },
        { "pool", order.pool.value() }, { "poolEpoch", order.poolEpoch }, { "kind", order.kind.value() },
        { "size", toJson(order.size) }, { "runTimeMs", toMilliseconds(order.declaredRunTime) },
        { "payload", order.payload }, { "leaseMs", toMilliseconds(order.lease.remaining(now)) } });
}

std::optional<ReceivedOrder> decodeOrder(const std::string& source)
{
    return decodeJson(source, [](const json& document) {
        ReceivedOrder received;
        auto& order = received.order;
        order.request = RequestId { text(document, "request") };
        order.attempt = AttemptId { text(document, "attempt") };
        order.pool = PoolId { text(document, "pool") };
        order.poolEpoch = unsignedNumber(document, "poolEpoch");
        order.kind = WorkKind { text(document, "kind") };
        order.size = toSize(document.at("size"));
        order.declaredRunTime = durationField(document, "runTimeMs");
        order.payload = text(document, "payload");
        received.leaseTime = durationField(document, "leaseMs");
        return received;
    });
}

std::optional<std::string> encodeOutcome(const AttemptId& attempt, const TaskOutcome& outcome)
{
    return encodeJson({ { "attempt", attempt.value() }, { "status", toWireName(taskStatuses, outcome.status) },
        { "output", outcome.output }, { "detail", outcome.detail } });
}

std::optional<TaskOutcome> decodeOutcome(const std::string& source, const AttemptId& attempt)
{
    return decodeJson(source, [&](const json& document) {
        requireAttempt(document, attempt);
        return TaskOutcome { fromWireName(taskStatuses, text(document, "status")), text(document, "output"),
            text(document, "detail") };
    });
}

std::optional<std::string> encodeAttempt(const AttemptId& attempt, const AttemptReport& report)
{
    return encodeJson({ { "attempt", attempt.value() }, { "state", toWireName(attemptStates, report.state) },
        { "output", report.output } });
}

std::optional<AttemptReport> decodeAttempt(const std::string& source, const AttemptId& attempt)
{
    return decodeJson(source, [&](const json& document) {
        requireAttempt(document, attempt);
        return AttemptReport { fromWireName(attemptStates, text(document, "state")), text(document, "output") };
    });
}

std::string encodeLease(Duration leaseTime) { return json { { "leaseMs", toMilliseconds(leaseTime) } }.dump(); }

std::optional<Duration> decodeLease(const std::string& source)
{
    return decodeJson(source, [](const json& document) { return durationField(document, "leaseMs"); });
}

std::string encodeStop(StopMode mode) { return json { { "mode", toWireName(stopModes, mode) } }.dump(); }

std::optional<StopMode> decodeStop(const std::string& source)
{
    return decodeJson(source, [](const json& document) { return fromWireName(stopModes, text(document, "mode")); });
}

std::string encodeDrain(const DrainOrder& order)
{
    return json {
        { "draining", order.isDraining }, { "poolEpoch", order.poolEpoch }, { "bootId", order.bootId }
    }.dump();
}

std::optional<DrainOrder> decodeDrain(const std::string& source)
{
    return decodeJson(source, [](const json& document) {
        return DrainOrder { flag(document, "draining"), unsignedNumber(document, "poolEpoch"),
            unsignedNumber(document, "bootId") };
    });
}

std::string encodeReboot(const RebootOrder& order)
{
    return json { { "poolEpoch", order.poolEpoch }, { "bootId", order.bootId } }.dump();
}

std::optional<RebootOrder> decodeReboot(const std::string& source)
{
    return decodeJson(source, [](const json& document) {
        return RebootOrder { unsignedNumber(document, "poolEpoch"), unsignedNumber(document, "bootId") };
    });
}

std::optional<std::string> encodeReport(const WorkerReport& report)
{
    json tasks = json::array();
    for (const auto& task : report.tasks)
        tasks.push_back({ { "attempt", task.attempt.value() }, { "used", toJson(task.used) } });
    return encodeJson({ { "bootId", report.bootId }, { "poolEpoch", report.poolEpoch },
        { "busySlots", report.busySlots.count() }, { "draining", report.isDraining }, { "tasks", std::move(tasks) } });
}

std::optional<WorkerReport> decodeReport(const std::string& source)
{
    return decodeJson(source, [](const json& document) {
        WorkerReport report;
        report.bootId = unsignedNumber(document, "bootId");
        report.poolEpoch = unsignedNumber(document, "poolEpoch");
        report.busySlots = Slots { count(document, "busySlots") };
        report.isDraining = flag(document, "draining");
        for (const auto& task : array(document, "tasks"))
            report.tasks.push_back({ AttemptId { text(task, "attempt") }, toSize(task.at("used")) });
        return report;
    });
}

} // namespace rattanrack::platform
