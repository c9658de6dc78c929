#pragma once

#include "rattanrack/base/ids.h"
#include "rattanrack/platform/vm_list.h"
#include "rattanrack/platform/worker.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace rattanrack::node {

/// The connections to workers, by VM. Thread-safe.
class WorkerDirectory {
public:
    using Connect = std::function<std::shared_ptr<platform::Worker>(const platform::VmDescription&)>;

    explicit WorkerDirectory(Connect connect);

    /// Connects to VMs that are new or have a new address, and removes those that are not listed. Attempts in progress
    /// keep their worker.
    void update(const std::vector<platform::VmDescription>& vms);

    /// Returns null if the VM is unknown.
    std::shared_ptr<platform::Worker> find(const VmId& id) const;

    /// All workers, in no particular order.
    std::vector<std::shared_ptr<platform::Worker>> all() const;

private:
    struct Entry {
        std::string address;
        std::shared_ptr<platform::Worker> worker;
    };

    const Connect m_connect;
    mutable std::mutex m_mutex;
    std::unordered_map<VmId, Entry> m_entries;
};

} // namespace rattanrack::node
