#pragma once

#include <compare>
#include <cstdint>

namespace rattanrack {

/// An integer with a unit. Quantities of different units cannot be compared or combined.
template <typename Tag> class Quantity {
public:
    constexpr Quantity() = default;
    constexpr explicit Quantity(std::int64_t count)
        : m_count(count)
    {
    }

    constexpr std::int64_t count() const { return m_count; }

    constexpr Quantity& operator+=(Quantity other)
    {
        m_count += other.m_count;
        return *this;
    }
    constexpr Quantity& operator-=(Quantity other)
    {
        m_count -= other.m_count;
        return *this;
    }
    friend constexpr Quantity operator+(Quantity left, Quantity right) { return left += right; }
    friend constexpr Quantity operator-(Quantity left, Quantity right) { return left -= right; }
    friend constexpr auto operator<=>(const Quantity&, const Quantity&) = default;

private:
    std::int64_t m_count { 0 };
};

using Millicores = Quantity<struct MillicoresTag>; ///< Thousandths of a processor core.
using Mebibytes = Quantity<struct MebibytesTag>;
using Accelerators = Quantity<struct AcceleratorsTag>;
using Slots = Quantity<struct SlotsTag>; ///< Tasks that a worker can run concurrently.

/// Resources that a task needs or that a worker provides.
struct ResourceSize {
    Millicores processors;
    Mebibytes memory;
    Accelerators accelerators;

    constexpr ResourceSize& operator+=(const ResourceSize& other)
    {
        processors += other.processors;
        memory += other.memory;
        accelerators += other.accelerators;
        return *this;
    }
    constexpr ResourceSize& operator-=(const ResourceSize& other)
    {
        processors -= other.processors;
        memory -= other.memory;
        accelerators -= other.accelerators;
        return *this;
    }

    friend constexpr bool operator==(const ResourceSize&, const ResourceSize&) = default;
};

/// True when each resource of `needed` is at most that of `available`.
constexpr bool fits(const ResourceSize& needed, const ResourceSize& available)
{
    return needed.processors <= available.processors && needed.memory <= available.memory
        && needed.accelerators <= available.accelerators;
}

} // namespace rattanrack
