#include "table_wire.h"
#include "vm_wire.h"
#include "worker_wire.h"

#include "rattanrack/policy/claim_row_codec.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

/// Whatever bytes the platform or a worker answers, decoding ends, and what it accepts is whole: it survives being
/// encoded and decoded again.
namespace {

using namespace rattanrack;
using namespace rattanrack::platform;

const AttemptId attempt { "a1" };

void require(bool holds)
{
    if (!holds)
        std::abort();
}

void checkTableAnswers(const std::string& text)
{
    if (const auto rows = decodeRows(text))
        require(decodeRows(encodeRows(*rows).value()) == rows);
    if (const auto version = decodeVersion(text))
        require(decodeVersion(encodeVersion(*version)) == version);
    if (const auto vms = decodeVms(text))
        require(decodeVms(encodeVms(*vms).value()) == vms);
}

void checkWorkerAnswers(const std::string& text)
{
    if (const auto outcome = decodeOutcome(text, attempt)) {
        require(outcome->status != TaskStatus::Unknown && outcome->status != TaskStatus::NotSent);
        const auto again = decodeOutcome(encodeOutcome(attempt, *outcome).value(), attempt);
        require(again && again->status == outcome->status && again->output == outcome->output);
        require(!decodeOutcome(text, AttemptId { "a2" }));
    }
    if (const auto report = decodeAttempt(text, attempt)) {
        const auto again = decodeAttempt(encodeAttempt(attempt, *report).value(), attempt);
        require(again && again->state == report->state && again->output == report->output);
        require(!decodeAttempt(text, AttemptId { "a2" }));
    }
    if (const auto report = decodeReport(text)) {
        const auto again = decodeReport(encodeReport(*report).value());
        require(again && again->busySlots == report->busySlots && again->tasks.size() == report->tasks.size());
    }
}

void checkRequests(const std::string& text)
{
    if (const auto transaction = decodeTransaction(text))
        require(decodeTransaction(encodeTransaction(*transaction).value()).has_value());
    if (const auto order = decodeOrder(text))
        require(decodeOrder(encodeOrder(order->order, TimePoint {}).value()).has_value());
}

void checkClaims(const std::string& text)
{
    const auto claims = policy::decodeClaimRow(text);
    if (!claims)
        return;
    const auto encoded = policy::encodeClaimRow(NodeId { "n" }, 1, *claims);
    require(policy::decodeClaimRow(encoded.value()) == claims);
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): the fuzzing library calls it by this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string text { reinterpret_cast<const char*>(data), size };
    checkTableAnswers(text);
    checkWorkerAnswers(text);
    checkRequests(text);
    checkClaims(text);
    return 0;
}
