#include "load_run.h"

#include "caller_client.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <iterator>
#include <memory>
#include <optional>
#include <thread>

namespace rattanrack::cli {

namespace {

constexpr Duration progressInterval = std::chrono::seconds { 1 };
constexpr Duration logTimeout = std::chrono::seconds { 10 };

/// Progress of a run as its threads see it.
struct Counters {
    std::atomic<std::size_t> next { 0 }; ///< The call that is taken next.
    std::atomic<std::size_t> done { 0 };
    std::atomic<std::size_t> waitingForTime { 0 }; ///< Threads that hold a call whose time has not come.
};

/// What one thread needs.
struct Player {
    const LoadPlan& plan;
    CallerClient client;
    TimePoint start;
    Counters& counters;
    std::vector<CallRecord> records;

    void run()
    {
        for (;;) {
            const std::size_t index = counters.next.fetch_add(1);
            if (index >= plan.calls.size())
                return;
            waitUntil(plan.calls[index].at);
            records.push_back(client.play(index));
            counters.done.fetch_add(1);
        }
    }

    void waitUntil(Duration offset) const
    {
        const SystemClock clock;
        counters.waitingForTime.fetch_add(1);
        std::this_thread::sleep_for(Deadline { start + offset }.remaining(clock.now()));
        counters.waitingForTime.fetch_sub(1);
    }
};

void printProgress(std::ostream& progress, const LoadPlan& plan, const Counters& counters, Duration sinceStart)
{
    const std::size_t taken = std::min(counters.next.load(), plan.calls.size());
    const std::size_t done = counters.done.load();
    const std::size_t waiting = std::min(counters.waitingForTime.load(), taken - std::min(done, taken));
    progress << "load: t=" << std::chrono::duration_cast<std::chrono::seconds>(sinceStart).count()
             << "s planned=" << plan.calls.size() << " sent=" << taken - waiting << " finished=" << done
             << " in_flight=" << taken - waiting - std::min(done, taken - waiting) << "\n"
             << std::flush;
}

void watch(std::ostream& progress, const LoadPlan& plan, const Counters& counters, TimePoint start)
{
    const SystemClock clock;
    TimePoint lastLine = start;
    while (counters.done.load() < plan.calls.size()) {
        std::this_thread::sleep_for(std::chrono::milliseconds { 20 });
        if (clock.now() - lastLine < progressInterval)
            continue;
        lastLine = clock.now();
        printProgress(progress, plan, counters, lastLine - start);
    }
    printProgress(progress, plan, counters, clock.now() - start);
}

std::string textOf(const nlohmann::json& entry, const char* key)
{
    const auto found = entry.find(key);
    return found != entry.end() && found->is_string() ? found->get<std::string>() : "";
}

/// Adds the page that starts at entry `first`. Returns its length, or nothing when it could not be read.
std::optional<std::size_t> readPage(httplib::Client& client, std::size_t first, std::vector<LoggedRun>& runs)
{
    const auto result = client.Get("/log?first=" + std::to_string(first));
    if (!result || result->status != 200)
        return std::nullopt;
    const auto page = nlohmann::json::parse(result->body, nullptr, false);
    if (!page.is_array())
        return std::nullopt;
    for (const auto& entry : page) {
        if (!entry.is_object())
            return std::nullopt;
        runs.push_back({ AttemptId { textOf(entry, "attempt") }, RequestId { textOf(entry, "request") },
            textOf(entry, "payload") });
    }
    return page.size();
}

bool readLog(const config::Address& address, std::vector<LoggedRun>& runs)
{
    httplib::Client client { address.host, address.port };
    client.set_tcp_nodelay(true);
    client.set_read_timeout(logTimeout);
    std::size_t first = 0;
    for (;;) {
        const auto length = readPage(client, first, runs);
        if (!length)
            return false;
        if (*length == 0)
            return true;
        first += *length;
    }
}

} // namespace

std::vector<CallRecord> playLoad(
    const LoadProfile& profile, const LoadPlan& plan, const std::vector<config::Address>& nodes, std::ostream& progress)
{
    const TimePoint start = SystemClock {}.now();
    const Deadline end { start + profile.duration + profile.drainTime };
    Counters counters;
    std::vector<std::unique_ptr<Player>> players;
    std::vector<std::thread> threads;
    players.reserve(profile.connections);
    threads.reserve(profile.connections);
    for (std::uint32_t index = 0; index < profile.connections; ++index) {
        players.push_back(
            std::unique_ptr<Player>(new Player { plan, { profile, plan, nodes, start, end }, start, counters, {} }));
        threads.emplace_back(&Player::run, players.back().get());
    }
    watch(progress, plan, counters, start);
    std::vector<CallRecord> records;
    records.reserve(plan.calls.size());
    for (std::size_t index = 0; index < threads.size(); ++index) {
        threads[index].join();
        std::move(players[index]->records.begin(), players[index]->records.end(), std::back_inserter(records));
    }
    return records;
}

WorkerLogs readWorkerLogs(const std::vector<config::Address>& addresses)
{
    WorkerLogs logs;
    std::size_t answered = 0;
    for (const config::Address& address : addresses)
        answered += readLog(address, logs.runs) ? 1 : 0;
    if (answered > 0)
        logs.coverage = answered == addresses.size() ? LogCoverage::Whole : LogCoverage::Partial;
    return logs;
}

} // namespace rattanrack::cli
