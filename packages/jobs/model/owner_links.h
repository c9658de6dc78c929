#pragma once

#include "rattanrack/base/time.h"
#include "rattanrack/jobs/worker.h"

#include <algorithm>
#include <vector>

namespace rattanrack::jobs::model {

enum class LinkState : std::uint8_t {
    Up,
    ResponsesLost, ///< Commands are carried out, and their responses do not arrive.
    Down,
};

/// Links between owners, by number, and workers. A worker that one owner does not reach may be reached by another.
class OwnerLinks {
public:
    struct Cut {
        WorkerId worker;
        int firstOwner { 0 };
        int lastOwner { 0 };
        LinkState state { LinkState::Down };
        TimePoint until {};
    };

    void add(Cut cut) { m_cuts.push_back(std::move(cut)); }

    LinkState state(int owner, const WorkerId& worker, TimePoint now) const
    {
        LinkState state = LinkState::Up;
        for (const Cut& cut : m_cuts) {
            const bool isOfOwner = owner >= cut.firstOwner && owner <= cut.lastOwner;
            if (isOfOwner && cut.worker == worker && now < cut.until)
                state = std::max(state, cut.state);
        }
        return state;
    }

    void removeEnded(TimePoint now)
    {
        std::erase_if(m_cuts, [&](const Cut& cut) { return now >= cut.until; });
    }

private:
    std::vector<Cut> m_cuts;
};

} // namespace rattanrack::jobs::model
