#include "worker.h"

#include "common.h"

#include <condition_variable>
#include <map>
#include <optional>
#include <random>

namespace review {

namespace {

constexpr std::int64_t longestLeaseMs = 10'000; ///< `hold_max_ms` of lindmayr-rack.
constexpr std::int64_t firstClockMs = 1000;
constexpr std::int64_t heartbeatMs = 1500;
constexpr std::int64_t longestWaitMs = 2000;
constexpr std::int64_t tickMs = 2;
constexpr std::int64_t stopMs = 50; ///< That a stop takes.
constexpr std::int64_t startupMs = 100; ///< Until a subtask that lasts is at work.
constexpr std::size_t maxEndsInAnswer = 500;
constexpr std::size_t workerThreads = 24;
constexpr std::int64_t memoryMb = 65536;

/// The value of "name=" in a job's text; 0 if it has none.
std::int64_t numberIn(const std::string& spec, const std::string& name)
{
    const auto at = spec.find(name + "=");
    return at == std::string::npos ? 0 : std::atoll(spec.c_str() + at + name.size() + 1);
}

struct Run {
    std::int64_t number { 0 };
    std::int64_t startedAtMs { 0 };
    std::int64_t lengthMs { 0 };
    std::int64_t cpu { 0 };
    bool lasts { false };
    std::optional<std::int64_t> stoppedAtMs;
};

struct End {
    std::int64_t number { 0 };
    std::string task;
    std::int64_t run { 0 };
    const char* how { "" };
};

struct Settings {
    int port { 0 };
    std::string store;
    std::string id;
    std::string machine;
    std::string pool;
    std::string rack;
    std::int64_t cpu { 0 };
};

class Worker {
public:
    Worker(Settings settings, Record& record)
        : m_settings(std::move(settings))
        , m_record(record)
        , m_server(m_settings.port, workerThreads, [this](httplib::Server& server) { addRoutes(server); })
    {
        m_record.line(m_settings.id + " begins, born " + std::to_string(m_born));
    }

    [[noreturn]] void run()
    {
        httplib::Client store { "http://" + m_settings.store };
        std::minstd_rand random { std::random_device {}() };
        std::uniform_int_distribution<std::int64_t> phase { 0, heartbeatMs };
        store.Post("/worker-row?id=" + m_settings.id, description(), "application/json");
        std::int64_t nextReportMs = clockMs() + phase(random);
        while (true) {
            if (clockMs() >= nextReportMs) {
                nextReportMs = clockMs() + heartbeatMs;
                store.Post("/worker-row?id=" + m_settings.id, description(), "application/json");
            }
            {
                const std::lock_guard lock(m_mutex);
                endWhatIsOver();
            }
            sleepMs(tickMs);
        }
    }

private:
    void addRoutes(httplib::Server& server)
    {
        const auto add = [&](const char* path, void (Worker::*handler)(const Json&, httplib::Response&)) {
            server.Post(path, [this, handler](const httplib::Request& request, httplib::Response& response) {
                if (request.has_header("X-Expect-Instance")
                    && request.get_header_value("X-Expect-Instance") != m_settings.id)
                    return respond(response, 421, Json::object());
                (this->*handler)(parse(request.body), response);
            });
        };
        add("/rattanrack/run-start", &Worker::start);
        add("/rattanrack/run-stop", &Worker::stop);
        add("/rattanrack/hold", &Worker::hold);
        add("/rattanrack/pace", &Worker::pace);
    }

    std::int64_t clockMs() const
    {
        const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_startedAt);
        return firstClockMs + since.count();
    }

    std::string description()
    {
        return Json {
            { "backend", m_settings.pool }, { "address", "127.0.0.1:" + std::to_string(m_settings.port) },
            { "zone", "muc-a" }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "cold_remaining_ms", 0 },
            { "sequence", ++m_reports },
            { "capacity", { { "cpu", m_settings.cpu }, { "mem_mb", memoryMb }, { "gpu", 0 } } },
            { "labels", { "a", m_settings.rack } }, { "machine", m_settings.machine }, { "born", m_born }
        }.dump();
    }

    void refuse(httplib::Response& response, const char* reason)
    {
        respond(response, 409, { { "clock_ms", clockMs() }, { "reason", reason } });
    }

    bool takesFence(const Json& body)
    {
        const auto fence = body.value("fence", std::int64_t { 0 });
        if (fence < m_fence)
            return false;
        m_fence = fence;
        return true;
    }

    void extendLease(std::int64_t untilMs)
    {
        m_leaseEndMs = std::max(m_leaseEndMs, std::min(untilMs, clockMs() + longestLeaseMs));
    }

    void endRun(const std::string& task, const char* how)
    {
        const auto found = m_runs.find(task);
        m_highestRuns[task] = std::max(m_highestRuns[task], found->second.number);
        m_ends.push_back({ ++m_lastEnd, task, found->second.number, how });
        m_record.line(m_settings.id + " " + task + " run " + std::to_string(found->second.number) + " ends " + how);
        m_runs.erase(found);
        m_changed.notify_all();
    }

    void endWhatIsOver()
    {
        const std::int64_t now = clockMs();
        std::vector<std::pair<std::string, const char*>> over;
        for (const auto& [task, run] : m_runs) {
            if (run.stoppedAtMs && now >= *run.stoppedAtMs + stopMs)
                over.emplace_back(task, "stopped");
            else if (now >= m_leaseEndMs)
                over.emplace_back(task, "lapsed");
            else if (!run.lasts && now >= run.startedAtMs + run.lengthMs)
                over.emplace_back(task, "done");
        }
        for (const auto& [task, how] : over)
            endRun(task, how);
    }

    std::int64_t usedCpu() const
    {
        std::int64_t used = 0;
        for (const auto& [task, run] : m_runs)
            used += run.cpu;
        return used;
    }

    void start(const Json& body, httplib::Response& response)
    {
        const auto task = body.value("task", std::string {});
        const auto number = body.value("run", std::int64_t { 0 });
        const auto spec = body.value("spec", std::string {});
        const auto untilMs = body.value("until_ms", std::int64_t { 0 });
        const std::lock_guard lock(m_mutex);
        endWhatIsOver();
        if (!takesFence(body))
            return refuse(response, "fence");
        if (untilMs <= clockMs())
            return refuse(response, "late");
        extendLease(untilMs);
        const auto present = m_runs.find(task);
        if (present != m_runs.end() && present->second.number == number)
            return respond(response, 200, { { "clock_ms", clockMs() } });
        const auto highest = m_highestRuns.find(task);
        if (present != m_runs.end() || (highest != m_highestRuns.end() && number <= highest->second))
            return refuse(response, "old");
        const std::int64_t cpu = numberIn(spec, "cpu");
        if (usedCpu() + cpu > m_settings.cpu)
            return refuse(response, "room");
        const bool lasts = spec.find("lasts") != std::string::npos;
        m_runs[task] = { number, clockMs(), numberIn(spec, "ms"), cpu, lasts, std::nullopt };
        m_record.line(m_settings.id + " " + task + " run " + std::to_string(number) + " starts");
        respond(response, 200, { { "clock_ms", clockMs() } });
    }

    void stop(const Json& body, httplib::Response& response)
    {
        const auto task = body.value("task", std::string {});
        const auto number = body.value("run", std::int64_t { 0 });
        const std::lock_guard lock(m_mutex);
        endWhatIsOver();
        if (!takesFence(body))
            return refuse(response, "fence");
        const auto present = m_runs.find(task);
        if (present != m_runs.end() && present->second.number == number && !present->second.stoppedAtMs)
            present->second.stoppedAtMs = clockMs();
        m_highestRuns[task] = std::max(m_highestRuns[task], number);
        respond(response, 200, { { "clock_ms", clockMs() } });
    }

    void pace(const Json& body, httplib::Response& response)
    {
        const std::lock_guard lock(m_mutex);
        if (!takesFence(body))
            return refuse(response, "fence");
        respond(response, 200, { { "clock_ms", clockMs() } });
    }

    int percentOf(const Run& run) const
    {
        const std::int64_t age = clockMs() - run.startedAtMs;
        if (run.lasts)
            return age >= startupMs ? 100 : 0;
        return static_cast<int>(std::min<std::int64_t>(99, age * 100 / std::max<std::int64_t>(run.lengthMs, 1)));
    }

    void hold(const Json& body, httplib::Response& response)
    {
        const auto waitMs = std::min(body.value("wait_ms", std::int64_t { 0 }), longestWaitMs);
        const auto acked = body.value("acked_through", std::int64_t { 0 });
        std::unique_lock lock(m_mutex);
        endWhatIsOver();
        if (!takesFence(body))
            return refuse(response, "fence");
        extendLease(body.value("until_ms", std::int64_t { 0 }));
        std::erase_if(m_ends, [&](const End& end) { return end.number <= acked; });
        m_changed.wait_for(lock, std::chrono::milliseconds { waitMs }, [this] { return !m_ends.empty(); });
        Json running = Json::array();
        for (const auto& [task, run] : m_runs)
            running.push_back(Json::array({ task, run.number, "", percentOf(run), run.cpu }));
        Json finished = Json::array();
        for (const End& end : m_ends) {
            if (finished.size() < maxEndsInAnswer)
                finished.push_back(Json::array({ end.number, end.task, end.run, end.how, "" }));
        }
        respond(response, 200,
            { { "clock_ms", clockMs() }, { "born", m_born }, { "running", running }, { "finished", finished } });
    }

    Settings m_settings;
    Record& m_record;
    const Clock::time_point m_startedAt { Clock::now() };
    const std::int64_t m_born { unixMs() };
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Run> m_runs;
    std::map<std::string, std::int64_t> m_highestRuns;
    std::vector<End> m_ends;
    std::int64_t m_lastEnd { 0 };
    std::int64_t m_fence { 0 };
    std::int64_t m_leaseEndMs { 0 };
    int m_reports { 0 };
    Server m_server; ///< Last, since its thread uses the members above.
};

} // namespace

int runWorker(const std::vector<std::string>& arguments)
{
    constexpr std::size_t count = 9;
    if (arguments.size() != count)
        return 2;
    Settings settings { std::atoi(arguments[0].c_str()), arguments[1], arguments[2], arguments[3], arguments[4],
        arguments[5], std::atoll(arguments[8].c_str()) };
    Record record { arguments[6], std::atoll(arguments[7].c_str()) };
    Worker worker { std::move(settings), record };
    worker.run();
}

} // namespace review
