#pragma once

#include "store.h"

#include <deque>
#include <unordered_map>

/// Stand-ins of the workers and of the platform's list of machines. All behave as PROTOCOL.md says.
namespace review {

constexpr Milliseconds heartbeat { 1500 }; ///< `heartbeat_ms`
constexpr Milliseconds silenceBeforeRemoval = 3 * heartbeat; ///< Of the entry of a worker that is silent.

/// A step of a job, with the run time that its subtasks really take.
struct StepModel {
    int count { 1 };
    std::int64_t cpu { 1000 };
    std::int64_t memory { 100 };
    Milliseconds runTime { 300 };
    bool isGang { false };
    bool isLongRunning { false };
    int mayMiss { 0 };
};

/// Times and limits of the deployment, as in its settings.
struct FleetLimits {
    Milliseconds longestLease { 10'000 }; ///< `hold_max_ms`
    Milliseconds stopTime { 300 }; ///< At most `stop_ms`.
    Milliseconds gangTime { 3'000 }; ///< `gang_ms`
    Milliseconds commandTime { 1 }; ///< From a command's arrival to its response.
    Milliseconds moveTime { 1'500 }; ///< `move_s`
    Milliseconds upkeepTime { 2'000 }; ///< `upkeep_s`
    bool canMove { false }; ///< Otherwise the pools are of different machines.
    bool areConnectionsKept { true }; ///< Otherwise a worker closes each connection after its response.
};

struct WorkerSettings {
    std::string id; ///< Of the first worker on the machine; the machine is called "m-" and this.
    std::string pool;
    std::string kind;
    std::string rack;
    std::int64_t cpu { 16'000 };
    std::int64_t memory { 65'536 };
};

/// The name of a subtask, ID.K.STEP.INDEX.
struct TaskName {
    std::string job;
    int occurrence { 0 };
    int step { 0 };
    int index { 0 };

    static TaskName parse(const std::string& text);
    std::string group() const; ///< ID.K.STEP
};

/// An end of a run, as a worker lists it.
struct RunEnd {
    std::int64_t at { 0 }; ///< Milliseconds since the start of the case.
    std::string worker;
    std::string task;
    std::int64_t run { 0 };
    std::string how;
    bool isNoted { false }; ///< `acked_through` has reached it.
};

/// Subtasks of a lasting step that an upkeep or a move has ended while `may_miss` others of the step were away.
struct AvailabilityBreach {
    std::int64_t at { 0 };
    std::string task;
    std::string machine;
    std::string order;
    std::vector<std::string> othersAway;
};

/// A subtask that a worker has begun on a command.
struct RunStart {
    std::int64_t at { 0 };
    std::string worker;
    std::string task;
    std::int64_t run { 0 };
    std::int64_t fence { 0 };
};

class Fleet {
public:
    Fleet(Store& store, Record& record, FleetLimits limits);
    ~Fleet();

    /// Tells how the subtasks of a job behave. To be called before the job is sent.
    void addJob(const std::string& id, std::vector<StepModel> steps);
    /// The machines of this pool are off. To be called before workers are added.
    void addStandbyPool(const std::string& pool);
    void addWorker(const WorkerSettings& settings);

    /// The worker ends without a word; what runs there is lost.
    void crash(const std::string& worker);

    /// The same, and the worker and its machine never come back.
    void loseForGood(const std::string& worker);

    /// The worker starts again under its id, and holds nothing of before.
    void restart(const std::string& worker);

    /// Cuts the worker off from the store, or ends the cut. It runs on; its entry is removed after three ping intervals
    /// of silence.
    void setCutFromStore(const std::string& worker, bool isCut);

    /// The next order to start a subtask stays on its way for this long: its sender gets no response, and the worker
    /// that is at the address then receives it.
    void holdNextStart(Milliseconds time);

    int machinesPort() const { return m_machines.port(); }

    std::vector<RunStart> starts();
    std::vector<RunEnd> ends();
    std::vector<AvailabilityBreach> breaches();

    /// The operator asks for the upkeep of these machines.
    void requestWave(int number, const std::vector<std::string>& machines, int cap, int seconds);
    std::vector<std::string> machines();

    /// Runs of the job that are at work or wait, by task.
    std::map<std::string, std::int64_t> runningTasks(const std::string& job);

    /// Share of the processors of a pool's workers that are up that its runs use.
    double usedShare(const std::string& pool);

private:
    struct Run {
        std::int64_t number { 0 };
        StepModel step;
        TimePoint startedAt;
        std::optional<TimePoint> endsAt; ///< Empty: it waits for its gang, or lasts.
        std::optional<TimePoint> stopsAt;
        bool isWaiting { false }; ///< For the rest of its gang.
    };
    struct ListedEnd {
        std::int64_t number { 0 };
        std::string task;
        std::int64_t run { 0 };
        std::string how;
        std::size_t index { 0 }; ///< In `m_ends`.
    };
    enum class MachineState : std::uint8_t { Up, Moving, Upkeep };
    struct Worker {
        WorkerSettings settings;
        std::string machine;
        MachineState state { MachineState::Up };
        std::optional<TimePoint> backAt; ///< When its machine's next worker joins the pool.
        std::set<int> upkeeps; ///< Waves whose upkeep the machine has begun.
        int lives { 1 };
        std::unique_ptr<HttpServer> server;
        bool isUp { true };
        std::optional<TimePoint> cutSince; ///< From the store.
        TimePoint lastPingAt;
        std::int64_t bornUnixMs { 0 };
        TimePoint bornAt;
        std::int64_t fence { 0 };
        std::int64_t leaseUntilMs { 0 };
        std::unordered_map<std::string, Run> runs;
        std::unordered_map<std::string, std::int64_t> highestEnded;
        std::deque<ListedEnd> listed;
        std::int64_t ends { 0 };
        std::int64_t sequence { 0 };

        std::int64_t clockMs(TimePoint now) const;
        std::int64_t usedCpu() const;
        std::int64_t usedMemory() const;
    };

    HttpMessage handle(Worker& worker, const HttpMessage& request);
    HttpMessage carryOut(Worker& worker, const HttpMessage& request);
    Milliseconds timeOnTheWay(const HttpMessage& request);
    HttpMessage start(Worker& worker, const Json& body);
    HttpMessage stop(Worker& worker, const Json& body);
    HttpMessage hold(Worker& worker, const Json& body, std::unique_lock<std::mutex>& lock);
    HttpMessage answerMachineCall(const HttpMessage& request);
    HttpMessage move(Worker& worker, const std::string& pool);
    HttpMessage upkeep(Worker& worker, int wave);
    void takeDown(Worker& worker, const std::string& order, Milliseconds time);
    void recordBreaches(const Worker& worker, const std::string& order);
    void bringBack(Worker& worker);
    void removeOldEntries(TimePoint now);
    HttpMessage reject(const Worker& worker, const char* reason);
    bool acceptFence(Worker& worker, const Json& body);
    void extendLease(Worker& worker, const Json& body);
    void beginRun(Worker& worker, const std::string& task, const Json& body, const StepModel& step);
    void completeGang(const TaskName& name, std::int64_t run);
    void endRun(Worker& worker, const std::string& task, const std::string& how);
    void breakGang(const TaskName& name, std::int64_t run);
    void advance();
    void advance(Worker& worker, TimePoint now);
    void begin(Worker& worker);
    void writeRow(Worker& worker);
    const StepModel* modelOf(const std::string& task) const;

    Store& m_store;
    Record& m_record;
    FleetLimits m_limits;
    std::mutex m_mutex;
    std::condition_variable m_hasEnd;
    std::map<std::string, std::vector<StepModel>> m_jobs;
    std::optional<Milliseconds> m_nextStartHeldFor;
    std::map<std::string, std::unique_ptr<Worker>> m_workers; ///< By the first worker's id: one of each machine.
    std::set<std::string> m_standbyPools;
    std::vector<RunStart> m_starts;
    std::vector<RunEnd> m_ends;
    std::vector<AvailabilityBreach> m_breaches;
    std::map<std::string, TimePoint>
        m_endedByOrder; ///< Lasting subtasks that an order has ended and that are not back.
    std::map<int, std::set<std::string>> m_waves; ///< Machines by wave.
    std::map<std::string, TimePoint> m_oldEntries; ///< Entries of workers that are gone, and when their last ping was.
    std::map<std::string, TimePoint> m_atWorkUntil; ///< When a lasting subtask was last at work.
    HttpServer m_machines;
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

} // namespace review
