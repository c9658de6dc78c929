#pragma once

#include "rattanrack/policy/traffic.h"

#include <cstdint>
#include <functional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace rattanrack::policy {

/// Credits that the node at `nodeIndex` of `nodes` holds on a worker while no home grants any. The shares of all nodes
/// add up to `slots`; `workerIndex` rotates the remainder so that no node collects it.
std::uint32_t standingCredits(Slots slots, std::size_t workerIndex, std::size_t nodeIndex, std::size_t nodes);

/// The credits of one pool that this node holds, and those that its running attempts use.
class CreditHolder {
public:
    struct Worker {
        WorkerView view;
        std::uint32_t held { 0 }; ///< Includes the ones in use.
        std::uint32_t inUse { 0 };
        std::uint64_t lastUse { 0 };

        std::uint32_t idle() const { return view.takesWork && held > inUse ? held - inUse : 0; }
    };

    /// Takes over a new view. Workers that left stay until their attempts have ended.
    void setWorkers(const std::vector<WorkerView>&);

    /// Holds the standing share of each worker again, and never less than what is in use.
    void resetToStanding(std::size_t nodeIndex, std::size_t nodes);

    /// An idle worker that `isWanted` accepts, the one longest unused first; null when there is none.
    const Worker* pick(const std::function<bool(const Worker&)>& isWanted) const;

    void use(const VmId&);
    void release(const VmId&);

    const Worker* worker(const VmId&) const;
    const std::vector<Worker>& workers() const { return m_workers; }
    std::uint32_t idle() const;

private:
    using IdleKey = std::pair<std::uint64_t, std::size_t>;

    void changeIdle(std::size_t index, const std::function<void(Worker&)>& change);
    void rebuildIdle();

    std::vector<Worker> m_workers;
    std::unordered_map<VmId, std::size_t> m_index;
    std::set<IdleKey> m_idle;
    std::uint64_t m_uses { 0 };
};

} // namespace rattanrack::policy
