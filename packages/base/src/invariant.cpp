#include "rattanrack/base/invariant.h"

#include "rattanrack/base/log.h"

#include <atomic>
#include <cstdlib>

namespace rattanrack {

namespace {

std::atomic<std::uint64_t>& violationCount()
{
    static std::atomic<std::uint64_t> s_count { 0 };
    return s_count;
}

std::atomic<bool>& isFatal()
{
    static std::atomic<bool> s_isFatal { false };
    return s_isFatal;
}

} // namespace

bool checkInvariant(bool holds, std::string_view name, std::string_view detail)
{
    if (holds)
        return true;
    violationCount().fetch_add(1);
    logEvent("invariant.broken", { { "name", name }, { "detail", detail } }, LogLevel::Error);
    if (isFatal().load())
        std::abort();
    return false;
}

std::uint64_t invariantViolations() { return violationCount().load(); }

void setInvariantsFatal(bool areFatal) { isFatal().store(areFatal); }

} // namespace rattanrack
