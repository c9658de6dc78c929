#pragma once

#include <cstdint>
#include <iterator>
#include <random>

namespace rattanrack::fakes {

/// Seeded random choices; equal seeds give equal runs.
class Random {
public:
    explicit Random(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /// 0 to `bound` - 1; 0 when `bound` is 0.
    std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : m_engine() % bound; }

    /// True once in `n` calls on average.
    bool oneIn(std::uint64_t n) { return below(n) == 0; }

    double uniform() { return static_cast<double>(m_engine() >> 11U) * 0x1.0p-53; }

    /// An element of a container that is not empty.
    template <typename Container> auto& pick(Container& container)
    {
        return *std::next(container.begin(), static_cast<std::ptrdiff_t>(below(container.size())));
    }

private:
    std::mt19937_64 m_engine;
};

} // namespace rattanrack::fakes
