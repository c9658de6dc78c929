#pragma once

#include <cstdint>
#include <string_view>

namespace rattanrack {

/// Checks a property that must always hold. A violation is logged and counted, and aborts the process when
/// `setInvariantsFatal` has enabled that (tests, soak runs). Returns `holds`, so that the caller can handle the
/// violation.
///
///     if (!checkInvariant(permits >= 0, "budget.permits_not_negative", pool.value()))
///         return {};
bool checkInvariant(bool holds, std::string_view name, std::string_view detail = {});

/// Returns the number of violations in this process since its start.
std::uint64_t invariantViolations();

/// Sets whether a violation aborts the process. Off by default.
void setInvariantsFatal(bool areFatal);

} // namespace rattanrack
