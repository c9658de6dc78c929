#pragma once

#include "rattanrack/base/strong_id.h"

namespace rattanrack {

using AttemptId = StrongId<struct AttemptIdTag>; ///< One attempt to run a request on a worker. Never reused.
using CallerId = StrongId<struct CallerIdTag>; ///< Sender of a request.
using DataCenterId = StrongId<struct DataCenterIdTag>;
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>; ///< Chosen by the caller; equal keys mean the same request.
using NodeId = StrongId<struct NodeIdTag>; ///< One run of a rattanrackd process. A restart gets a new id.
using OperatorId = StrongId<struct OperatorIdTag>;
using PoolId = StrongId<struct PoolIdTag>;
using RackId = StrongId<struct RackIdTag>;
using RegionId = StrongId<struct RegionIdTag>;
using RequestId
    = StrongId<struct RequestIdTag>; ///< Unique over all nodes; assigned by the node that accepts the request.
using RollOutId = StrongId<struct RollOutIdTag>;
using TeamId = StrongId<struct TeamIdTag>;
using VmId = StrongId<struct VmIdTag>; ///< A VM, which is a worker while it serves a pool.
using WorkKind = StrongId<struct WorkKindTag>; ///< A kind of work, such as "fitting-check". Bound to one pool.

} // namespace rattanrack
