#pragma once

#include "../../platform/standin/standin_machine_list.h"
#include "callers.h"
#include "daemon.h"
#include "loopback_proxy.h"
#include "recorder.h"
#include "schedule.h"
#include "task_crashes.h"

#include <functional>
#include <memory>

namespace rattanrack::tools {

enum class Troubles { Mixed, Deaths, Crashes, Routes, Links, Peers };

struct PlaySettings {
    std::string program;
    std::string directory; ///< Exists.
    std::uint64_t seed { 1 };
    Duration length {}; ///< Of the traffic and the troubles.
    std::size_t daemons { 0 }; ///< 0: three to five, by the seed.
    std::size_t workers { 6 }; ///< At least two.
    Troubles troubles { Troubles::Mixed };
    Duration longestLease {}; ///< That workers grant; zero: chosen by the seed for deaths and crashes, else 4.5 s.
};

/// A fleet of daemons as processes among stand-ins of the users' platform, played through one schedule.
class Play {
public:
    explicit Play(PlaySettings settings);

    /// Takes `length` and some twenty seconds more, 45 with crashes. Returns what was seen.
    History run();

    /// Processes that ended by themselves, with their wait status.
    const std::vector<std::string>& faults() const { return m_faults; }
    int killedAtGrace() const { return m_killedAtGrace; }

private:
    struct Node {
        std::unique_ptr<adapter::standin::StandinStore::Endpoint> store;
        std::unique_ptr<LoopbackProxy> storeLink;
        std::vector<std::unique_ptr<LoopbackProxy>> workerLinks; ///< One for each worker; empty: all nodes share them.
        std::unique_ptr<LoopbackProxy> peerLink; ///< From all other daemons to this one; null: they connect directly.
        std::unique_ptr<Daemon> daemon;
        bool isLeaving { false };
        bool isKilled { false };
        TimePoint killAt {}; ///< While it is leaving.
        Duration restartAfter { Step {}.restartAfter };
        std::size_t trouble { 0 }; ///< That of its end.
    };

    struct LinkName {
        std::string kind;
        std::string target;
        bool isOfNode { false }; ///< The target is a daemon.
    };

    void addWorkers();
    void addNodes();
    std::string settingsOf(const Node& node, const Entry& entry, int peerPort) const;
    void perform(const Step& step);
    void end(Node& node, int signal, const Step& step);
    void addWorkerLinks(Node& node);
    void freeze(Node& node, Duration length);
    void reload(Node& node);
    void trouble(LoopbackProxy& link, const Step& step, const LinkName& name);
    void troubleStoreLink(Node& node, const Step& step);
    void troublePeerLink(Node& node, const Step& step);
    void drain(adapter::standin::StandinWorker& worker, Duration length);
    void crash(const Step& step, bool isReplaced);
    Node* ownerOf(std::size_t pool);
    void performOnOwner(const Step& step);
    void performOnWorkerLinks(const Step& step);
    void turnAway(std::atomic<bool>& isUnavailable, const Step& step, const std::string& target);
    void orderWave(std::size_t first);
    void putConfiguration();
    void moveRoute(std::size_t queue, Duration absence);
    void later(Duration after, std::function<void()> action);
    void tick();
    void supervise(Node& node);
    void playUntil(TimePoint until);
    std::vector<Step> schedule() const;
    void askForJobs(bool thatCrashWorkers);

    PlaySettings m_settings;
    Recorder m_recorder;
    adapter::standin::StandinStore m_store;
    std::vector<std::unique_ptr<adapter::standin::StandinWorker>> m_workers;
    std::unique_ptr<TaskCrashes> m_taskCrashes;
    std::vector<std::unique_ptr<LoopbackProxy>> m_workerLinks;
    std::unique_ptr<adapter::standin::StandinMachineList> m_machines;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::vector<Node> m_nodes;
    std::multimap<TimePoint, std::function<void()>> m_due;
    std::vector<std::string> m_faults;
    int m_killedAtGrace { 0 };
    int m_waves { 0 };
    std::uint64_t m_version; ///< Of the next configuration.
    std::array<std::string, 2> m_poolOfQueue { poolNames[0], poolNames[1] }; ///< Empty: the queue has no route.
};

} // namespace rattanrack::tools
