#include "schedule.h"

#include "../fleet_fakes/random.h"

#include <algorithm>
#include <array>

namespace rattanrack::tools {

namespace {

using namespace std::chrono_literals;

constexpr Duration firstSeries = 4s; ///< By then all nodes are ready.
constexpr std::size_t plannedActions = 4; ///< The first of the table below.
constexpr std::array actions { Action::Terminate, Action::Reload, Action::Drain, Action::Wave, Action::Kill,
    Action::Freeze, Action::StoreLink, Action::WorkerLink, Action::Crash, Action::Terminate, Action::Drain };
constexpr std::array modes { LinkMode::Delay, LinkMode::Silent, LinkMode::Reset, LinkMode::CutAnswers };

Duration between(fakes::Random& random, Duration least, Duration most)
{
    return least + Duration { random.below(static_cast<std::uint64_t>((most - least).count())) };
}

bool isOfNode(Action action)
{
    return action == Action::Terminate || action == Action::Reload || action == Action::Kill || action == Action::Freeze
        || action == Action::StoreLink;
}

} // namespace

std::vector<Step> scheduleOf(std::uint64_t seed, Duration length, std::size_t nodes, std::size_t workers)
{
    fakes::Random random { seed };
    const std::size_t choices = seed % 2 == 0 ? plannedActions : actions.size();
    std::vector<Step> steps;
    for (Duration at = firstSeries; at < length; at += between(random, 2s, 6s)) {
        const std::uint64_t count = 1 + random.below(3);
        for (std::uint64_t each = 0; each < count; ++each) {
            Step step { at + between(random, 0s, 1500ms), actions[random.below(choices)] };
            step.target = random.below(isOfNode(step.action) ? nodes : workers);
            step.length = between(random, 500ms, 6s);
            step.mode = random.pick(modes);
            steps.push_back(step);
        }
    }
    std::stable_sort(steps.begin(), steps.end(), [](const Step& a, const Step& b) { return a.at < b.at; });
    return steps;
}

} // namespace rattanrack::tools
