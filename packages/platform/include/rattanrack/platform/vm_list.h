#pragma once

#include "rattanrack/base/error.h"
#include "rattanrack/base/ids.h"
#include "rattanrack/base/units.h"

#include <string>
#include <vector>

namespace rattanrack::platform {

enum class VmState { Live, Leaving };

/// One VM as the platform lists it. The list lags by seconds.
struct VmDescription {
    VmId id;
    std::string address; ///< "ip:port" of its worker process.
    RegionId region;
    DataCenterId dataCenter;
    RackId rack;
    ResourceSize capacity;
    Slots slots;
    int connections { 0 }; ///< Connections that the worker accepts at once.
    VmState state { VmState::Live };

    friend bool operator==(const VmDescription&, const VmDescription&) = default;
};

/// Port to the platform's list of VMs. Safe from several threads.
class VmList {
public:
    virtual ~VmList() = default;

    /// Errors: Unavailable, MalformedMessage.
    virtual Result<std::vector<VmDescription>> list() = 0;
};

} // namespace rattanrack::platform
