#include "rattanrack/policy/fleet_records.h"

#include <array>

namespace rattanrack::policy {

namespace {

template <typename Names, typename Enum> std::string_view nameIn(const Names& names, Enum value)
{
    return names.at(static_cast<std::size_t>(value));
}

} // namespace

std::string_view name(VmPhase phase)
{
    static constexpr std::array<std::string_view, 8> s_names { "serving", "draining", "empty", "rebooting", "replacing",
        "returning", "failed", "leaving" };
    return nameIn(s_names, phase);
}

std::string_view name(DrainPurpose purpose)
{
    static constexpr std::array<std::string_view, 5> s_names { "none", "reboot", "replace", "hold", "move" };
    return nameIn(s_names, purpose);
}

std::string_view name(FailureDomain domain)
{
    static constexpr std::array<std::string_view, 3> s_names { "none", "rack", "data-center" };
    return nameIn(s_names, domain);
}

std::string_view name(RollOutKind kind)
{
    static constexpr std::array<std::string_view, 4> s_names { "reboot", "replace", "drain", "move" };
    return nameIn(s_names, kind);
}

std::string_view name(RollOutState state)
{
    static constexpr std::array<std::string_view, 4> s_names { "running", "paused", "aborted", "finished" };
    return nameIn(s_names, state);
}

} // namespace rattanrack::policy
