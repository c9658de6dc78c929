#pragma once

#include "rattanrack/base/error.h"
#include "rattanrack/base/ids.h"
#include "rattanrack/base/units.h"

#include <string>
#include <vector>

namespace rattanrack::platform {

enum class VmState { Live, Leaving };

/// One VM as the platform lists it. The list may be seconds out of date.
struct VmDescription {
    VmId id;
    std::string address; ///< "ip:port" of its worker process.
    RegionId region;
    DataCenterId dataCenter;
    RackId rack;
    ResourceSize capacity;
    Slots slots;
    int connections { 0 }; ///< Concurrent connections that the worker accepts.
    VmState state { VmState::Live };

    friend bool operator==(const VmDescription&, const VmDescription&) = default;
};

/// Interface of the platform's list of VMs. Thread-safe.
class VmList {
public:
    virtual ~VmList() = default;

    /// Errors: Unavailable, MalformedMessage.
    virtual Result<std::vector<VmDescription>> list() = 0;
};

} // namespace rattanrack::platform
