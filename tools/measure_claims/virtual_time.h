#pragma once

#include "rattanrack/base/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace rattanrack::measure {

/// Runs actions in the order of their virtual times; equal times in the order of scheduling.
class VirtualTime {
public:
    using Action = std::function<void()>;

    TimePoint now() const { return m_now; }
    void at(TimePoint time, Action action) { m_entries.push({ time, ++m_lastNumber, std::move(action) }); }
    void after(Duration delay, Action action) { at(m_now + delay, std::move(action)); }

    void runUntil(TimePoint end)
    {
        while (!m_entries.empty() && m_entries.top().time <= end) {
            const auto entry = m_entries.top();
            m_entries.pop();
            m_now = entry.time;
            entry.action();
        }
        m_now = end;
    }

private:
    struct Entry {
        TimePoint time;
        std::uint64_t number { 0 };
        Action action;

        bool operator<(const Entry& other) const
        {
            return time != other.time ? time > other.time : number > other.number;
        }
    };

    TimePoint m_now {};
    std::uint64_t m_lastNumber { 0 };
    std::priority_queue<Entry> m_entries;
};

} // namespace rattanrack::measure
