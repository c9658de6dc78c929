#pragma once

#include "rattanrack/base/time.h"

#include <cstddef>
#include <deque>

namespace rattanrack::node {

/// Starts that an owner has sent since its latest confirmed transaction. If the owner turns out to have been replaced,
/// the next owner may have decided otherwise on these tasks.
class UnconfirmedStarts {
public:
    /// `isRepeat`: an earlier run of the task is presumed to have ended.
    void onStart(TimePoint now, bool isRepeat) { m_starts.push_back({ now, isRepeat }); }

    /// A transaction sent at `sentAt` has succeeded.
    void onConfirmed(TimePoint sentAt)
    {
        while (!m_starts.empty() && m_starts.front().at <= sentAt)
            m_starts.pop_front();
    }

    std::size_t count() const { return m_starts.size(); }
    std::size_t repeats() const
    {
        std::size_t count = 0;
        for (const Start& each : m_starts)
            count += each.isRepeat ? 1 : 0;
        return count;
    }

private:
    struct Start {
        TimePoint at;
        bool isRepeat { false };
    };
    std::deque<Start> m_starts;
};

} // namespace rattanrack::node
