#pragma once

#include "rattanrack/base/time.h"
#include "rattanrack/platform/vm_list.h"

#include <deque>
#include <mutex>

namespace rattanrack::standin {

/// The list of VMs as it was some time ago. Safe from several threads.
class LaggingList {
public:
    explicit LaggingList(std::vector<platform::VmDescription> vms);

    /// What a reader at `now` sees.
    std::vector<platform::VmDescription> visible(TimePoint now);

    /// Adds or replaces a VM.
    void store(const platform::VmDescription&, TimePoint now);
    bool setState(const VmId&, platform::VmState, TimePoint now);
    bool remove(const VmId&, TimePoint now);
    void setLag(Duration);

private:
    struct Snapshot {
        TimePoint since;
        std::vector<platform::VmDescription> vms;
    };
    void forgetOld(TimePoint now);

    std::mutex m_mutex;
    Duration m_lag;
    std::deque<Snapshot> m_snapshots;
};

} // namespace rattanrack::standin
