#include "rattanrack/node/worker_directory.h"

namespace rattanrack::node {

WorkerDirectory::WorkerDirectory(Connect connect)
    : m_connect(std::move(connect))
{
}

void WorkerDirectory::update(const std::vector<platform::VmDescription>& vms)
{
    std::unordered_map<VmId, Entry> entries;
    const std::lock_guard lock(m_mutex);
    for (const platform::VmDescription& vm : vms) {
        const auto known = m_entries.find(vm.id);
        if (known != m_entries.end() && known->second.address == vm.address)
            entries.emplace(vm.id, known->second);
        else if (auto worker = m_connect(vm))
            entries.emplace(vm.id, Entry { vm.address, std::move(worker) });
    }
    m_entries.swap(entries);
}

std::shared_ptr<platform::Worker> WorkerDirectory::find(const VmId& id) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : found->second.worker;
}

std::vector<std::shared_ptr<platform::Worker>> WorkerDirectory::all() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::shared_ptr<platform::Worker>> workers;
    workers.reserve(m_entries.size());
    for (const auto& [id, entry] : m_entries)
        workers.push_back(entry.worker);
    return workers;
}

} // namespace rattanrack::node
