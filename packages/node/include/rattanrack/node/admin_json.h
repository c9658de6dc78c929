#pragma once

#include "rattanrack/base/error.h"
#include "rattanrack/node/coordination_service.h"
#include "rattanrack/node/traffic_service.h"
#include "rattanrack/policy/fleet_commands.h"
#include "rattanrack/policy/fleet_snapshot.h"

#include <map>
#include <string>
#include <vector>

namespace rattanrack::node {

/// An operator's request for an operation on VMs.
struct OperationRequest {
    std::string kind; ///< "drain", "reboot", "replace", "move" or "undrain".
    std::vector<VmId> vms; ///< Empty if `rack`, `pool` or `isForAll` selects the VMs.
    RackId rack;
    PoolId pool;
    bool isForAll { false };
    PoolId toPool; ///< For "move".
    RollOutId id; ///< For roll-outs; derived from the attempt otherwise.
    std::uint32_t maxAtOnce { 0 };
    OperatorId requestedBy;
    AttemptId attempt;
};

/// Parses the body of POST /v1/admin/operations and /v1/admin/rollouts. Errors: InvalidArgument.
Result<OperationRequest> parseOperation(const std::string& body, bool isRollOut);

/// Parses the body of POST /v1/admin/config. Errors: InvalidArgument.
Result<peer::ConfigProposal> parseProposal(const std::string& body);

/// The body of GET /v1/admin/status.
struct StatusView {
    NodeId self;
    std::uint64_t configVersion { 0 };
    DataCenterId dataCenter;
    std::vector<peer::Member> members;
    const policy::FleetSnapshot* fleet { nullptr };
    std::size_t liveRequests { 0 };
    std::map<PoolId, TrafficService::PoolLoad> loads; ///< Loads on this node.
};
std::string statusBody(const StatusView& view);

/// Returns the VMs that an operation names by id, rack or pool, or all VMs. Empty if it names none.
std::vector<VmId> targetsOf(const OperationRequest& request, const policy::FleetSnapshot& fleet);

} // namespace rattanrack::node
