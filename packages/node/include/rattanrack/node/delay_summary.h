#pragma once

#include "rattanrack/base/time.h"

#include <algorithm>
#include <cstddef>

namespace rattanrack::node {

/// Count, maximum and mean of delays. Not thread-safe.
///
///     summary.observe(clock.now() - dueAt);
///     report(std::exchange(summary, {}).worst());
class DelaySummary {
public:
    void observe(Duration delay)
    {
        ++m_count;
        m_worst = std::max(m_worst, delay);
        m_total += delay;
    }

    std::size_t count() const { return m_count; }

    /// Zero when nothing has been observed.
    Duration worst() const { return m_worst; }
    Duration mean() const { return m_count == 0 ? Duration {} : m_total / static_cast<std::int64_t>(m_count); }

private:
    std::size_t m_count { 0 };
    Duration m_worst {};
    Duration m_total {};
};

} // namespace rattanrack::node
