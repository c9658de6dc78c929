#pragma once

#include "rattanrack/base/error.h"
#include "rattanrack/platform/vm_list.h"

#include <string>
#include <vector>

namespace rattanrack::standin {

/// Reads a fleet file (YAML or JSON): a list `vms` of maps with `id`, `address`, `region`, `dataCenter`, `rack`,
/// `processors` (thousandths of a core), `memory` (MiB), `accelerators`, `slots`, `connections`. Numbers default to
/// 16000, 65536, 0, 8 and 64. Errors: InvalidConfiguration.
///
///     vms:
///       - { id: w1, address: "127.0.0.1:7101", region: r, dataCenter: dc1, rack: rack1 }
Result<std::vector<platform::VmDescription>> readFleetFile(const std::string& path);

} // namespace rattanrack::standin
