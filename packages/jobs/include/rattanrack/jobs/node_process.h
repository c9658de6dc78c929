#pragma once

#include "rattanrack/base/ids.h"

#include <cstdint>
#include <string>

/// Ids of the processes of nodes. Each process of a node has an id of its own, which contains the node's name.
namespace rattanrack::jobs {

/// The id of a process that started at that time.
NodeId processId(const std::string& nodeName, std::int64_t startedUnixMs);

/// Whether both are ids of processes of the same node. False for ids that `processId` has not made.
bool areOfOneNode(const NodeId& left, const NodeId& right);

/// Whether the process `later` has replaced `earlier` on its node. False where a step of the wall clock hides the
/// order.
bool isLaterProcess(const NodeId& later, const NodeId& earlier);

} // namespace rattanrack::jobs
