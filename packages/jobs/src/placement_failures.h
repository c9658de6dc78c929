#pragma once

#include "rattanrack/jobs/placement.h"

#include <algorithm>
#include <string>
#include <vector>

namespace rattanrack::jobs {

/// What fits on no worker in one scheduling pass, while capacity only shrinks: a step that needs no less fits on none
/// either, and need not be tried.
class PlacementFailures {
public:
    /// No worker that the step may run on has capacity for one task. Only for steps that are limited by their size and
    /// label alone.
    void record(const Step& step)
    {
        if (!covers(step))
            m_needs.push_back({ reservedSize(step), step.requiredLabel });
    }

    bool covers(const Step& step) const
    {
        const ResourceSize size = reservedSize(step);
        return std::any_of(m_needs.begin(), m_needs.end(), [&](const Need& need) {
            return fits(need.size, size) && (need.label.empty() || need.label == step.requiredLabel);
        });
    }

    /// Capacity has been given back.
    void clear() { m_needs.clear(); }

private:
    struct Need {
        ResourceSize size;
        std::string label;
    };
    std::vector<Need> m_needs;
};

} // namespace rattanrack::jobs
