#pragma once

#include <string>
#include <vector>

namespace review {

/// Runs a worker as a process of its own, until it is killed. Its arguments: port, address of the store, id, machine,
/// pool, rack, path of the record, start of the record as Unix milliseconds, millicores.
///
/// The text of a job says how its subtasks behave, as in "ms=640 cpu=880": `ms` is the time that each takes, `cpu` what
/// it needs of the worker's capacity; with "lasts" they run until they are stopped.
int runWorker(const std::vector<std::string>& arguments);

} // namespace review
