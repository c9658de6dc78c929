#pragma once

#include "../fleet_fakes/random.h"
#include "recorder.h"

#include <array>
#include <atomic>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace rattanrack::tools {

/// Where callers find a node, and whether the balancer sends it new connections.
struct Entry {
    std::string node;
    int port { 0 };
    int readinessPort { 0 };
    std::atomic<bool> isInRotation { false };
};

inline constexpr std::array poolNames { "poolA", "poolB" };

/// The path of a job; its last digit chooses the queue.
std::string pathOf(const jobs::JobId& job);

/// The pool of the job's queue.
std::string poolOf(const jobs::JobId& job);

/// Asks one node for the state of a job; nothing without an answer, "gone" when there is no such job.
std::optional<std::string> askState(int port, const jobs::JobId& job);

enum class TrafficKind {
    Usual,
    Crashing, ///< Some jobs crash the workers that start them.
    LongRuns, ///< Runs of up to the length of a lease.
};

/// Threads that submit jobs, ask for them and cancel some, each over one connection that it keeps until it ends.
class Callers {
public:
    Callers(Recorder& recorder, std::vector<std::unique_ptr<Entry>>& entries, std::uint64_t seed, TrafficKind traffic);
    ~Callers();
    Callers(const Callers&) = delete;
    Callers& operator=(const Callers&) = delete;

private:
    void call(std::uint64_t seed, int number, TrafficKind traffic);
    void probe();

    Recorder& m_recorder;
    std::vector<std::unique_ptr<Entry>>& m_entries;
    std::atomic<bool> m_isEnding { false };
    std::vector<std::thread> m_threads;
};

} // namespace rattanrack::tools
