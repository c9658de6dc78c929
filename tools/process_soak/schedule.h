#pragma once

#include "loopback_proxy.h"

#include <cstdint>
#include <vector>

namespace rattanrack::tools {

enum class Action {
    Terminate,
    Reload,
    Drain,
    Wave,
    Kill,
    Freeze,
    StoreLink,
    WorkerLink,
    Crash,
    Death, ///< The worker ends and is replaced under another id.
    TerminateOwner,
    KillOwner,
    FreezeOwner,
    OwnerStoreLink,
    /// The link of the worker `target` with the owner of its pool's cell.
    OwnerWorkerLink,
    OtherWorkerLinks, ///< The links of the worker `target` with all other daemons.
    PeerLink, ///< What the other daemons send to the node `target`; what it sends to them passes.
    OwnerPeerLink, ///< The same for the owner of the pool's cell.
    StoreDown, ///< For all daemons.
    OwnerStoreRefusal, ///< The store turns away the owner of the pool's cell, and serves the others.
    MoveRoute, ///< The next configuration sends a queue to another pool, or nowhere for `length`.
};

/// One thing that is done to the world.
struct Step {
    Duration at {}; ///< Since the beginning.
    Action action { Action::Terminate };
    std::size_t target { 0 }; ///< Number of a node or a worker; of a pool where its owner is meant.
    Duration length {};
    LinkMode mode { LinkMode::Pass };
    Duration restartAfter { std::chrono::milliseconds { 300 } }; ///< Of a process that ends.
};

/// Size of a fleet. Workers belong to the pools by turns: worker 0 to pool 0, worker 1 to pool 1 and so on.
struct FleetSize {
    std::size_t nodes { 0 };
    std::size_t workers { 0 };
    std::size_t pools { 1 };
};

/// Series of troubles that overlap, in order of time; the same for equal arguments. Even seeds play planned work
/// alone, so that what it costs callers can be told; odd ones all kinds.
std::vector<Step> mixedSchedule(std::uint64_t seed, Duration length, const FleetSize& fleet);

/// Series in which workers of one pool die while its owner, other nodes or both are in trouble, in order of time; the
/// same for equal arguments. Some series overlap; between others it is calm for long enough that all must run again.
/// With seeds that four divides, one worker at a time dies for good, and the owner of its pool's cell is killed; with
/// seeds of remainder two, the owner and other nodes are cut from the store together.
std::vector<Step> deathsSchedule(std::uint64_t seed, Duration length, const FleetSize& fleet);

/// Series that overlap, in which daemons are killed, restarted, signalled and frozen, owners of cells more often than
/// others, and a worker crashes now and then without cause, in order of time; the same for equal arguments. The crashes
/// by tasks are not part of it.
std::vector<Step> crashesSchedule(std::uint64_t seed, Duration length, const FleetSize& fleet);

/// Moves of the queues' routes, alone and several within a second, some away for a while, beside the troubles of
/// `crashesSchedule`; the same for equal arguments. Seeds that three divides move routes only.
std::vector<Step> routesSchedule(std::uint64_t seed, Duration length, const FleetSize& fleet);

/// Series that overlap: links of single daemons with single workers are in trouble, those of the owner with some
/// workers and those of all others with other workers, while owners are frozen, killed, terminated or cut from the
/// store, the store is away or turns them away, workers are silent for all or crash. In order of time; the same for
/// equal arguments.
std::vector<Step> linksSchedule(std::uint64_t seed, Duration length, const FleetSize& fleet);

/// Series that overlap, in which what other daemons send to one daemon, most often to an owner of a cell, is delayed,
/// lost or reset, while owners are frozen, killed, terminated or cut from the store, and single daemons lose the store
/// so that their calls go through the others. In order of time; the same for equal arguments.
std::vector<Step> peersSchedule(std::uint64_t seed, Duration length, const FleetSize& fleet);

} // namespace rattanrack::tools
