#include "cell_simulation.h"

/// The workers' entries in the store, as owners read them.
namespace rattanrack::jobs::model {

namespace {

using namespace std::chrono_literals;

constexpr Duration longestLapse = 2s;
constexpr int longestAgeDifference = 50; ///< In incarnations.

} // namespace

std::vector<WorkerDescription> CellSimulation::listedEntries()
{
    std::vector<WorkerDescription> listed;
    for (const ModelWorker& worker : m_workers) {
        const auto lapsed = m_lapsedUntil.find(worker.description().id);
        if (worker.isUp() && (lapsed == m_lapsedUntil.end() || m_now >= lapsed->second))
            listed.push_back(worker.description());
    }
    const auto hasEnded = [&](const StaleEntry& entry) { return m_now >= entry.until; };
    std::erase_if(m_staleEntries, hasEnded);
    std::erase_if(m_foreignEntries, hasEnded);
    for (const StaleEntry& entry : m_staleEntries) {
        if (!find(entry.description.id))
            listed.push_back(entry.description);
    }
    for (const StaleEntry& entry : m_foreignEntries)
        listed.push_back(entry.description);
    return listed;
}

void CellSimulation::addForeignEntry(std::size_t worker)
{
    WorkerDescription description = m_workers[worker].description();
    description.id = WorkerId { "f" + std::to_string(m_foreignEntries.size()) + "-" + description.machine.value() };
    const int difference = std::uniform_int_distribution<> { -longestAgeDifference, longestAgeDifference }(m_random);
    description.incarnationUnixMs = std::max<std::int64_t>(description.incarnationUnixMs + difference, 1);
    m_foreignEntries.push_back({ std::move(description), m_now + randomBetween(500ms, 8s) });
}

void CellSimulation::lapseEntries()
{
    for (const ModelWorker& worker : m_workers) {
        if (happens(0.5))
            m_lapsedUntil[worker.description().id] = m_now + randomBetween(0us, longestLapse);
    }
}

} // namespace rattanrack::jobs::model
