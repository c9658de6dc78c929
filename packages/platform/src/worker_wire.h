#pragma once

#include "rattanrack/platform/worker.h"

#include <optional>
#include <string>

/// JSON encoding of the messages between a node and a worker. Times are sent as durations in milliseconds.
namespace rattanrack::platform {

/// An order as a worker receives it.
struct ReceivedOrder {
    TaskOrder order; ///< `order.lease` is set by the receiver.
    Duration leaseTime {};
};

/// `order.lease` is sent as the time left at `now`.
std::optional<std::string> encodeOrder(const TaskOrder&, TimePoint now);
std::optional<ReceivedOrder> decodeOrder(const std::string&);

std::optional<std::string> encodeOutcome(const AttemptId&, const TaskOutcome&);

/// Returns nullopt for text that is malformed, truncated or about another attempt. NotSent and Unknown are not valid on
/// the wire.
std::optional<TaskOutcome> decodeOutcome(const std::string&, const AttemptId&);

std::optional<std::string> encodeAttempt(const AttemptId&, const AttemptReport&);
std::optional<AttemptReport> decodeAttempt(const std::string&, const AttemptId&);

std::string encodeLease(Duration leaseTime);
std::optional<Duration> decodeLease(const std::string&);

std::string encodeStop(StopMode);
std::optional<StopMode> decodeStop(const std::string&);

struct DrainOrder {
    bool isDraining { false };
    std::uint64_t poolEpoch { 0 };
    std::uint64_t bootId { 0 };
};
std::string encodeDrain(const DrainOrder&);
std::optional<DrainOrder> decodeDrain(const std::string&);

struct RebootOrder {
    std::uint64_t poolEpoch { 0 };
    std::uint64_t bootId { 0 };
};
std::string encodeReboot(const RebootOrder&);
std::optional<RebootOrder> decodeReboot(const std::string&);

std::optional<std::string> encodeReport(const WorkerReport&);
std::optional<WorkerReport> decodeReport(const std::string&);

std::string_view name(TaskStatus);
std::string_view name(AttemptState);

} // namespace rattanrack::platform
