#pragma once

#include "rattanrack/policy/traffic.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <vector>

namespace rattanrack::policy {

/// A request between its submission and its final decision.
struct Request {
    using DeadlineIndex = std::multimap<Deadline, Request*>;

    RequestSpec spec;
    TimePoint arrived;
    TimePoint dispatched;
    VmId worker; ///< Where it runs; empty while it waits.
    std::vector<VmId> tried; ///< Workers of all attempts; no worker is tried twice.
    std::vector<RackId> triedRacks;
    std::vector<DataCenterId> triedDataCenters;
    ResourceSize size; ///< Declared, or learned where that is larger.
    Duration expectedRunTime {}; ///< Learned, or declared while too little is known.
    Duration reservedRunTime {}; ///< Time to leave before the deadline; zero while too little is known.
    ResourceSize used; ///< As last reported.
    std::uint32_t credits { 1 }; ///< Slots that it takes on its worker.
    std::uint32_t restraints { 0 }; ///< Steps taken against its usage so far.
    std::optional<AttemptEnd> ranTo; ///< Set once an attempt may have run; "not run" would be untrue from then on.
    bool isCancelled { false };
    bool isStopping { false };

    std::size_t kind { 0 }; ///< Index in its pool's queue, like `team`.
    std::size_t team { 0 };
    std::list<Request*>::iterator position; ///< Its place in the queue while it waits.
    DeadlineIndex::iterator wake; ///< Its entry in the index of deadlines.

    bool isRunning() const { return !worker.isEmpty(); }
    std::uint32_t attempts() const { return static_cast<std::uint32_t>(tried.size()); }
    bool hasTried(const VmId& id) const { return std::find(tried.begin(), tried.end(), id) != tried.end(); }

    /// How near a worker is to those tried: 0 in another data centre, 1 in another rack, 2 in the same rack.
    int nearness(const WorkerView& view) const
    {
        if (std::find(triedRacks.begin(), triedRacks.end(), view.rack) != triedRacks.end())
            return 2;
        const bool isSameDataCenter
            = std::find(triedDataCenters.begin(), triedDataCenters.end(), view.dataCenter) != triedDataCenters.end();
        return isSameDataCenter ? 1 : 0;
    }
};

} // namespace rattanrack::policy
