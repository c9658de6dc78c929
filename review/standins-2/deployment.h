#pragma once

#include "fleet.h"

#include <sys/types.h>

/// The project's daemons, started by the command of the deploy file, and consumers of them.
namespace review {

/// The route and pool of a queue.
struct Route {
    std::string name;
    std::string host;
    std::string prefix;
    std::string pool;
    int attempts { 3 };
    int targetMs { 600 };
    int priority { 0 };
};

/// Returns the operator's manifest.
Json manifestOf(int version, const std::vector<Route>& routes, const std::string& standbyPool = {});

/// One node: a process of the daemon with its settings.
class Node {
public:
    Node(std::string name, std::string directory, int storePort, int machinesPort, Record& record);
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    const std::string& name() const { return m_name; }
    int frontend() const { return m_frontend; }
    void start();

    /// Kills the process and waits for its end.
    void kill();

    /// Whether the platform's readiness check succeeds.
    bool isReady() const;

private:
    std::string m_name;
    std::string m_directory;
    Record& m_record;
    std::string m_settings;
    int m_frontend { 0 };
    int m_readiness { 0 };
    pid_t m_process { 0 };
};

/// Store, fleet and nodes of one case, in a temporary folder.
class Deployment {
public:
    Deployment(const std::string& recordPath, FleetLimits limits, int nodes);
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    Record& record() { return m_record; }
    Store& store() { return m_store; }
    Fleet& fleet() { return m_fleet; }

    /// Writes the manifest, starts the nodes, and waits until all are ready and each queue answers. False: not in time.
    bool start(const std::vector<Route>& routes, const std::string& standbyPool = {});

    /// Sends a call to a node. Status 0: no response in time.
    HttpMessage call(std::size_t node, const std::string& method, const Route& route, const std::string& id,
        const std::string& body = {}, Milliseconds timeout = Milliseconds { 3000 });

    /// Hands a job in, again at other nodes as long as the call may be repeated. Returns whether it was accepted.
    bool submit(const Route& route, const std::string& id, const Json& job);

    /// State of a job as any node shows it within the time; empty: none does.
    std::string state(const Route& route, const std::string& id, Milliseconds time = Milliseconds { 14'000 });

    /// Waits until the job has this state.
    bool waitForState(const Route& route, const std::string& id, const std::string& state, Milliseconds time);

private:
    std::string m_directory;
    Record m_record;
    Store m_store;
    Fleet m_fleet;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::size_t m_nextNode { 0 };
};

/// A job's id of 16 hexadecimal digits.
std::string jobId(int number);

/// Whether the case runs with its disruption (TROUBLE is not 0).
bool hasTrouble();

constexpr int held = 0;
constexpr int broken = 1;
constexpr int couldNotRun = 2;

} // namespace review
