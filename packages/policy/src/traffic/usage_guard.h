#pragma once

#include "traffic/request.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace rattanrack::policy {

/// Watches the reported usage of the attempts that this node runs, and restrains those that use more than their size
/// when their worker has not enough for all: first the least urgent, first by throttling or a checkpoint, then by a
/// stop.
class UsageGuard {
public:
    /// What to do to an attempt. `isStop`: end it; otherwise apply `restraint`.
    struct Action {
        Request* request { nullptr };
        bool isStop { false };
        Restraint restraint { Restraint::Throttle };
    };

    void add(Request& request) { m_running[request.worker].push_back(&request); }
    void remove(const Request&);

    bool isEmpty() const { return m_running.empty(); }

    /// Records the usage of a running request and names the action that it calls for, if any. `capacity` is the
    /// worker's, of which this node's attempts may use their part by slots.
    std::optional<Action> report(
        Request&, const ResourceSize& used, const ResourceSize& capacity, Slots slots, TimePoint now);

private:
    std::unordered_map<VmId, std::vector<Request*>> m_running;
    std::unordered_map<VmId, Deadline> m_nextAction;
};

} // namespace rattanrack::policy
