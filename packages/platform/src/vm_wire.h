#pragma once

#include "rattanrack/platform/vm_list.h"

#include <optional>
#include <string>
#include <vector>

/// JSON encoding of the list of VMs.
namespace rattanrack::platform {

std::optional<std::string> encodeVms(const std::vector<VmDescription>&);
std::optional<std::vector<VmDescription>> decodeVms(const std::string&);

} // namespace rattanrack::platform
