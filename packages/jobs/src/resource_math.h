#pragma once

#include "rattanrack/base/units.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

/// Arithmetic on sizes, resource by resource.
namespace rattanrack::jobs {

/// The resources of a size, so that one rule can be applied to each.
using Amounts = std::array<std::int64_t, 3>;

inline Amounts amountsOf(const ResourceSize& size)
{
    return { size.processors.count(), size.memory.count(), size.accelerators.count() };
}

inline ResourceSize sizeOf(const Amounts& amounts)
{
    return { Millicores { amounts[0] }, Mebibytes { amounts[1] }, Accelerators { amounts[2] } };
}

/// Applies `rule(amounts...)` to each resource.
template <typename Rule, typename... Sizes> ResourceSize forEachResource(Rule rule, const Sizes&... sizes)
{
    Amounts result {};
    for (std::size_t at = 0; at < result.size(); ++at)
        result[at] = rule(amountsOf(sizes)[at]...);
    return sizeOf(result);
}

template <typename Condition, typename... Sizes> bool anyResource(Condition condition, const Sizes&... sizes)
{
    for (std::size_t at = 0; at < Amounts {}.size(); ++at) {
        if (condition(amountsOf(sizes)[at]...))
            return true;
    }
    return false;
}

inline ResourceSize smaller(const ResourceSize& left, const ResourceSize& right)
{
    return forEachResource([](std::int64_t a, std::int64_t b) { return std::min(a, b); }, left, right);
}

inline ResourceSize larger(const ResourceSize& left, const ResourceSize& right)
{
    return forEachResource([](std::int64_t a, std::int64_t b) { return std::max(a, b); }, left, right);
}

inline ResourceSize sum(ResourceSize left, const ResourceSize& right) { return left += right; }

/// What is left of `size`, at least nothing.
inline ResourceSize remainder(const ResourceSize& size, const ResourceSize& taken)
{
    return forEachResource(
        [](std::int64_t all, std::int64_t part) { return std::max<std::int64_t>(all - part, 0); }, size, taken);
}

/// The part of `size` that concerns resources with a quota.
inline ResourceSize limitedPart(const ResourceSize& size, const ResourceSize& quota)
{
    return forEachResource([](std::int64_t amount, std::int64_t limit) { return limit > 0 ? amount : 0; }, size, quota);
}

inline ResourceSize partOf(const ResourceSize& size, std::size_t parts)
{
    return forEachResource([&](std::int64_t all) { return all / static_cast<std::int64_t>(parts); }, size);
}

inline bool isAnyAbove(const ResourceSize& size, const ResourceSize& bound)
{
    return anyResource([](std::int64_t amount, std::int64_t most) { return amount > most; }, size, bound);
}

} // namespace rattanrack::jobs
