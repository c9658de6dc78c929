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

constexpr Duration firstDeaths = 7s; ///< By then the lasting jobs run.
constexpr Duration deathSpread = 2s; ///< Within which the troubles of one series begin.
constexpr Duration longAbsence = 15s; ///< Of a worker whose subtasks have to run elsewhere.
constexpr std::uint64_t kindsOfDeaths = 4; ///< By the seed's remainder.
constexpr std::uint64_t takeoverKind = 0; ///< Nothing but owners killed with workers.
constexpr std::uint64_t zoneKind = 2; ///< Several nodes are cut from the store at once.
constexpr Duration takeoverPause = 20s;
constexpr std::array nodeTroubles { Action::KillOwner, Action::KillOwner, Action::OwnerStoreLink,
    Action::OwnerStoreLink, Action::FreezeOwner, Action::TerminateOwner, Action::StoreLink };
constexpr Duration firstCrashes = 5s;
constexpr std::array daemonTroubles { Action::KillOwner, Action::KillOwner, Action::TerminateOwner, Action::FreezeOwner,
    Action::Kill, Action::Terminate, Action::Freeze, Action::Reload };
constexpr Duration firstMoves = 5s; ///< By then jobs have been accepted.
constexpr std::uint64_t kindsOfMoves = 3; ///< By the seed's remainder.
constexpr std::uint64_t calmMoves = 0; ///< Without other troubles.
constexpr Duration firstLinkTroubles = 5s;
constexpr Duration shortestRestart = 300ms;
constexpr Duration longestRestart = 3s;
constexpr std::array ownerTroubles { Action::FreezeOwner, Action::FreezeOwner, Action::FreezeOwner, Action::FreezeOwner,
    Action::OwnerStoreLink, Action::OwnerStoreRefusal, Action::KillOwner, Action::TerminateOwner, Action::StoreDown };
constexpr std::array cuts { LinkMode::Silent, LinkMode::Reset, LinkMode::CutAnswers };
constexpr std::array wholeCuts { LinkMode::Silent, LinkMode::Reset }; ///< In both directions.

Duration between(fakes::Random& random, Duration least, Duration most)
{
    return least + Duration { random.below(static_cast<std::uint64_t>((most - least).count())) };
}

bool isOfNode(Action action)
{
    return action == Action::Terminate || action == Action::Reload || action == Action::Kill || action == Action::Freeze
        || action == Action::StoreLink;
}

std::vector<Step> inOrder(std::vector<Step> steps)
{
    std::stable_sort(steps.begin(), steps.end(), [](const Step& a, const Step& b) { return a.at < b.at; });
    return steps;
}

/// One or two workers of the pool die; at least one of it stays.
void addDeaths(fakes::Random& random, Duration at, std::size_t pool, const FleetSize& fleet, std::vector<Step>& steps)
{
    const std::size_t ofPool = (fleet.workers - pool + fleet.pools - 1) / fleet.pools;
    const std::size_t count = ofPool < 3 || random.below(3) > 0 ? 1 : 2;
    const std::size_t first = random.below(ofPool);
    for (std::size_t each = 0; each < count; ++each) {
        Step step { at + between(random, 0s, deathSpread), random.oneIn(2) ? Action::Death : Action::Crash };
        step.target = pool + (first + each) % ofPool * fleet.pools;
        step.length = step.action == Action::Crash ? between(random, 500ms, 6s)
            : random.oneIn(2)                      ? between(random, 3s, 8s)
                                                   : longAbsence;
        step.mode = random.oneIn(2) ? LinkMode::Silent : LinkMode::Pass;
        steps.push_back(step);
    }
}

/// A worker dies for good, and the owner of its pool's cell within a second of it.
void addTakeover(fakes::Random& random, Duration at, const FleetSize& fleet, std::vector<Step>& steps)
{
    const std::size_t worker = random.below(fleet.workers);
    steps.push_back({ at + between(random, 0s, 1s), Action::Death, worker, longAbsence,
        random.oneIn(2) ? LinkMode::Silent : LinkMode::Pass });
    steps.push_back({ at + between(random, 0s, 1s), Action::KillOwner, worker % fleet.pools });
}

/// The pool's owner and up to half of the nodes lose the store at once, so that their calls go through the others; one
/// owner in three is killed meanwhile.
void addZoneCut(fakes::Random& random, Duration at, std::size_t pool, const FleetSize& fleet, std::vector<Step>& steps)
{
    Step cut { at + between(random, 0s, deathSpread), Action::OwnerStoreLink, pool, between(random, 3s, 10s),
        random.pick(cuts) };
    steps.push_back(cut);
    cut.action = Action::StoreLink;
    cut.target = random.below(fleet.nodes);
    for (std::size_t each = 0; each < fleet.nodes / 2; ++each) {
        steps.push_back(cut);
        cut.target = (cut.target + 1) % fleet.nodes;
    }
    if (random.oneIn(3))
        steps.push_back({ cut.at + between(random, 0s, cut.length), Action::KillOwner, pool });
}

void addNodeTroubles(
    fakes::Random& random, Duration at, std::size_t pool, const FleetSize& fleet, std::vector<Step>& steps)
{
    const std::uint64_t count = random.below(3) + (random.oneIn(2) ? 1 : 0);
    for (std::uint64_t each = 0; each < count; ++each) {
        Step step { at + between(random, 0s, deathSpread), random.pick(nodeTroubles) };
        step.target = step.action == Action::StoreLink ? random.below(fleet.nodes) : pool;
        step.length = between(random, 2s, 8s);
        step.mode = random.pick(cuts);
        steps.push_back(step);
    }
}

/// Troubles of an owner last from below the time of a takeover to well above it.
Step ownerTrouble(fakes::Random& random, Duration at, std::size_t pool)
{
    Step step { at, random.pick(ownerTroubles), pool };
    step.mode = random.pick(cuts);
    if (step.action == Action::FreezeOwner)
        step.length = between(random, 1500ms, 3500ms);
    else if (step.action == Action::KillOwner || step.action == Action::TerminateOwner)
        step.restartAfter = between(random, shortestRestart, longestRestart);
    else
        step.length = between(random, 1500ms, 7s);
    return step;
}

/// Some workers of the pool are cut from the owner, most others from all other daemons. The owner is in trouble at
/// about the time at which the leases that it has granted to the first ones end, and at times once more.
void addLinkSeries(
    fakes::Random& random, Duration at, std::size_t pool, const FleetSize& fleet, std::vector<Step>& steps)
{
    const std::size_t ofPool = (fleet.workers - pool + fleet.pools - 1) / fleet.pools;
    const std::size_t first = random.below(ofPool);
    const std::size_t ofOwner = 1 + random.below(std::max<std::size_t>(ofPool / 2, 1));
    for (std::size_t each = 0; each < ofPool; ++each) {
        Step step { at + between(random, 0s, 500ms),
            each < ofOwner ? Action::OwnerWorkerLink : Action::OtherWorkerLinks };
        if (step.action == Action::OtherWorkerLinks && random.oneIn(8))
            continue;
        step.target = pool + (first + each) % ofPool * fleet.pools;
        step.length = between(random, 6s, 11s);
        const bool isOfOwner = step.action == Action::OwnerWorkerLink;
        step.mode = random.oneIn(8) ? random.pick(modes) : isOfOwner ? random.pick(cuts) : random.pick(wholeCuts);
        steps.push_back(step);
    }
    steps.push_back(ownerTrouble(random, at + between(random, 1500ms, 4500ms), pool));
    if (random.oneIn(3))
        steps.push_back(ownerTrouble(random, at + between(random, 5s, 8s), pool));
}

/// Daemons, most often the pool's owner, receive nothing or late what the others send. At times the owner is in trouble
/// meanwhile, or a daemon needs the others to reach the store.
void addPeerSeries(
    fakes::Random& random, Duration at, std::size_t pool, const FleetSize& fleet, std::vector<Step>& steps)
{
    const std::uint64_t count = 1 + random.below(3);
    for (std::uint64_t each = 0; each < count; ++each) {
        Step step { at + between(random, 0s, 500ms), random.oneIn(3) ? Action::PeerLink : Action::OwnerPeerLink };
        step.target = step.action == Action::PeerLink ? random.below(fleet.nodes) : pool;
        step.length = between(random, 1500ms, 8s);
        step.mode = random.pick(modes);
        steps.push_back(step);
    }
    if (random.oneIn(2))
        steps.push_back(ownerTrouble(random, at + between(random, 500ms, 3s), pool));
    if (random.oneIn(3))
        steps.push_back({ at + between(random, 0s, 1s), Action::StoreLink, random.below(fleet.nodes),
            between(random, 2s, 6s), random.pick(cuts) });
}

} // namespace

std::vector<Step> mixedSchedule(std::uint64_t seed, Duration length, const FleetSize& fleet)
{
    fakes::Random random { seed };
    const std::size_t choices = seed % 2 == 0 ? plannedActions : actions.size();
    std::vector<Step> steps;
    for (Duration at = firstSeries; at < length; at += between(random, 2s, 6s)) {
        const std::uint64_t count = 1 + random.below(3);
        for (std::uint64_t each = 0; each < count; ++each) {
            Step step { at + between(random, 0s, 1500ms), actions[random.below(choices)] };
            step.target = random.below(isOfNode(step.action) ? fleet.nodes : fleet.workers);
            step.length = between(random, 500ms, 6s);
            step.mode = random.pick(modes);
            steps.push_back(step);
        }
    }
    return inOrder(std::move(steps));
}

std::vector<Step> crashesSchedule(std::uint64_t seed, Duration length, const FleetSize& fleet)
{
    fakes::Random random { seed };
    std::vector<Step> steps;
    for (Duration at = firstCrashes; at < length; at += between(random, 1s, 6s)) {
        const std::uint64_t count = 1 + random.below(2);
        for (std::uint64_t each = 0; each < count; ++each) {
            Step step { at + between(random, 0s, 1500ms), random.pick(daemonTroubles) };
            step.target = random.below(isOfNode(step.action) ? fleet.nodes : fleet.pools);
            step.length = between(random, 500ms, 6s);
            steps.push_back(step);
        }
        if (random.oneIn(3))
            steps.push_back({ at + between(random, 0s, 1500ms), Action::Crash, random.below(fleet.workers),
                between(random, 500ms, 4s), random.oneIn(2) ? LinkMode::Silent : LinkMode::Pass });
    }
    return inOrder(std::move(steps));
}

std::vector<Step> routesSchedule(std::uint64_t seed, Duration length, const FleetSize& fleet)
{
    fakes::Random random { seed };
    std::vector<Step> steps;
    if (seed % kindsOfMoves != calmMoves)
        steps = crashesSchedule(seed, length, fleet);
    for (Duration at = firstMoves; at < length; at += between(random, 1s, 6s)) {
        const std::uint64_t count = random.oneIn(3) ? 2 + random.below(3) : 1;
        for (std::uint64_t each = 0; each < count; ++each)
            steps.push_back({ at + between(random, 0s, 1s), Action::MoveRoute, random.below(fleet.pools),
                random.oneIn(4) ? between(random, 300ms, 5s) : Duration {} });
    }
    return inOrder(std::move(steps));
}

std::vector<Step> linksSchedule(std::uint64_t seed, Duration length, const FleetSize& fleet)
{
    fakes::Random random { seed };
    std::vector<Step> steps;
    for (Duration at = firstLinkTroubles; at < length; at += between(random, 2s, 6s)) {
        addLinkSeries(random, at, random.below(fleet.pools), fleet, steps);
        if (random.oneIn(3))
            steps.push_back({ at + between(random, 0s, 3s), random.oneIn(2) ? Action::WorkerLink : Action::Crash,
                random.below(fleet.workers), between(random, 500ms, 5s), random.pick(modes) });
    }
    return inOrder(std::move(steps));
}

std::vector<Step> peersSchedule(std::uint64_t seed, Duration length, const FleetSize& fleet)
{
    fakes::Random random { seed };
    std::vector<Step> steps;
    for (Duration at = firstLinkTroubles; at < length; at += between(random, 2s, 6s))
        addPeerSeries(random, at, random.below(fleet.pools), fleet, steps);
    return inOrder(std::move(steps));
}

std::vector<Step> deathsSchedule(std::uint64_t seed, Duration length, const FleetSize& fleet)
{
    fakes::Random random { seed };
    std::vector<Step> steps;
    const std::uint64_t kind = seed % kindsOfDeaths;
    if (kind == takeoverKind) {
        for (Duration at = firstDeaths; at < length; at += takeoverPause)
            addTakeover(random, at, fleet, steps);
        return inOrder(std::move(steps));
    }
    for (Duration at = firstDeaths; at < length;
         at += random.oneIn(3) ? between(random, 1s, 4s) : between(random, 8s, 16s)) {
        const std::size_t pool = random.below(fleet.pools);
        addDeaths(random, at, pool, fleet, steps);
        if (kind == zoneKind)
            addZoneCut(random, at, pool, fleet, steps);
        else
            addNodeTroubles(random, at, pool, fleet, steps);
    }
    return inOrder(std::move(steps));
}

} // namespace rattanrack::tools
