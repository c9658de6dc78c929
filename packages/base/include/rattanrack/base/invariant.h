#pragma once

#include <cstdint>
#include <string_view>

namespace rattanrack {

/// Checks a property that must always hold. On a violation it logs one line, counts it, and, when `setInvariantsFatal`
/// is on (tests, soak runs), ends the process. Returns `holds`, so that callers can take a safe path.
///
///     if (!checkInvariant(permits >= 0, "budget.permits_not_negative", pool.value()))
///         return {};
bool checkInvariant(bool holds, std::string_view name, std::string_view detail = {});

/// Violations seen by this process since its start.
std::uint64_t invariantViolations();

/// Whether a violation ends the process. Off by default.
void setInvariantsFatal(bool areFatal);

} // namespace rattanrack
