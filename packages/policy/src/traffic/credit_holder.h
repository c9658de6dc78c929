#pragma once

#include "rattanrack/policy/traffic.h"

#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace rattanrack::policy {

/// Credits that the node at `nodeIndex` of `nodes` holds on a worker while no home grants any. The shares of all nodes
/// add up to `slots`; `workerIndex` rotates the remainder so that no node collects it.
std::uint32_t standingCredits(Slots slots, std::size_t workerIndex, std::size_t nodeIndex, std::size_t nodes);

/// Whether nodes keep idle credits of a pool with so many slots. Where the slots are too few to go round, holders give
/// idle credits back to the home at once.
bool keepsStanding(std::int64_t slots, std::size_t nodes);

/// The credits of one pool that this node holds, and those that its running attempts use.
class CreditHolder {
public:
    struct Worker {
        WorkerView view;
        std::uint32_t held { 0 }; ///< Includes the ones in use; below them while a recall is outstanding.
        std::uint32_t inUse { 0 };
        std::uint64_t lastUse { 0 };

        std::uint32_t idle() const { return view.takesWork && held > inUse ? held - inUse : 0; }
    };

    /// Workers that are alike as far as sizes go.
    struct Shape {
        ResourceSize capacity;
        Slots slots;

        friend bool operator==(const Shape&, const Shape&) = default;
    };

    /// Takes over a new view, sorted by id. Workers that left stay until their attempts have ended; new ones are held
    /// by their standing share when `isStanding`, and not at all otherwise.
    void setWorkers(const std::vector<WorkerView>&, bool isStanding, std::size_t nodeIndex, std::size_t nodes);

    /// Holds the standing share of each worker again.
    void resetToStanding(std::size_t nodeIndex, std::size_t nodes);

    void add(const std::vector<Credit>&);
    void takeBack(const std::vector<Credit>&);

    /// Gives up at most `count` idle credits, of the workers of which most are idle; returns how many.
    std::uint32_t giveUp(std::uint32_t count);

    /// An idle worker that `isWanted` accepts, the one longest unused first; null when there is none.
    template <typename Predicate> const Worker* pick(Predicate isWanted) const
    {
        for (const auto& [lastUse, index] : m_idleOrder) {
            if (isWanted(m_workers[index]))
                return &m_workers[index];
        }
        return nullptr;
    }

    void use(const VmId&, std::uint32_t count);
    void release(const VmId&, std::uint32_t count);

    const Worker* worker(const VmId&) const;
    const std::vector<Worker>& workers() const { return m_workers; }
    const std::vector<Shape>& shapes() const { return m_shapes; }
    std::uint32_t idle() const { return m_idle; }
    std::uint32_t held() const { return m_held; }
    std::uint32_t inUse() const { return m_inUse; }
    std::int64_t slots() const { return m_slots; }
    std::vector<Credit> idleCredits() const;
    std::vector<Credit> inUseCredits() const;

private:
    using IdleKey = std::pair<std::uint64_t, std::size_t>;

    template <typename Change> void change(std::size_t index, Change);
    void rebuild();

    std::vector<Worker> m_workers;
    std::vector<Shape> m_shapes;
    std::unordered_map<VmId, std::size_t> m_index;
    std::set<IdleKey> m_idleOrder;
    std::uint64_t m_uses { 0 };
    std::uint32_t m_idle { 0 };
    std::uint32_t m_held { 0 };
    std::uint32_t m_inUse { 0 };
    std::int64_t m_slots { 0 };
};

/// Credits that a request of this size takes on a worker of this shape: the nearest whole number of the worker's even
/// shares, at least one. Zero when it does not fit.
std::uint32_t creditsFor(const ResourceSize&, const ResourceSize& capacity, Slots slots);

} // namespace rattanrack::policy
