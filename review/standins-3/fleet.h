#pragma once

#include "common.h"
#include "store.h"

#include <sys/types.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// A small deployment on loopback: the store, the list of machines, workers and nodes as processes, and consumers.
namespace review {

/// Handler of signals: kills all processes that were started, and exits with 2.
void killAllAndExit(int signal);

/// A process that is started again with the same arguments. Killed at the end.
class Process {
public:
    Process(std::vector<std::string> arguments, std::string logPath)
        : m_arguments(std::move(arguments))
        , m_logPath(std::move(logPath))
    {
    }
    ~Process() { kill(); }
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void start();
    void kill(); ///< With SIGKILL.
    void signal(int number) const;
    bool isRunning() const { return m_process > 0; }

private:
    std::vector<std::string> m_arguments;
    std::string m_logPath;
    pid_t m_process { 0 };
};

struct WorkerPlace {
    std::string id;
    std::string machine;
    std::string pool;
    std::string rack;
    std::int64_t cpu { 16000 };
    int port { 0 };
    std::unique_ptr<Process> process;
};

struct NodePlace {
    std::string name;
    int port { 0 };
    int readinessPort { 0 };
    int peerPort { 0 };
    std::unique_ptr<Process> process;
};

struct Queue {
    std::string name;
    std::string prefix;
    std::string pool;
    int attempts { 3 };
};

struct Answer {
    int status { 0 }; ///< 0: none came.
    std::string body;
    std::string state() const;
};

class Fleet {
public:
    /// `program`: of the worker processes, this one. `folder`: for settings and logs.
    Fleet(Record& record, std::string program, std::string folder);
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    Store& store() { return m_store; }
    Record& record() { return m_record; }
    std::vector<WorkerPlace>& workers() { return m_workers; }
    std::vector<NodePlace>& nodes() { return m_nodes; }

    /// Writes the manifest with these queues and their pools.
    void configure(const std::vector<Queue>& queues);

    /// Adds a worker and starts it.
    void addWorker(const std::string& name, const std::string& pool, const std::string& rack, std::int64_t cpu);
    void addNodes(std::size_t count);

    /// Kills the node that was started first and starts another one, at an address of its own or at the same one.
    void replaceOldestNode(bool atNewAddress);

    /// Until all nodes say that they are ready and answer for the queue. Returns false after 20 s.
    bool waitUntilServing(const Queue& queue);

    Answer submit(std::size_t node, const Queue& queue, const std::string& id, const Json& body);
    Answer ask(std::size_t node, const Queue& queue, const std::string& id);
    Answer cancel(std::size_t node, const Queue& queue, const std::string& id);

    /// As consumers do: the same id again, at another node, until it is accepted or `tries` are used up.
    /// The state of the job as consumers see it, asked for at one node after the other; empty without an answer.
    std::string stateOf(const Queue& queue, const std::string& id);
    bool submitUntilAccepted(const Queue& queue, const std::string& id, const Json& body, int tries);

private:
    Answer call(std::size_t node, const std::string& method, const std::string& path, const std::string& body);
    void listMachines(const httplib::Request& request, httplib::Response& response);
    std::string settingsOf(const NodePlace& node) const;
    void startNode(NodePlace& node);
    int nextPeerPort();

    Record& m_record;
    std::string m_program;
    std::string m_folder;
    Store m_store;
    std::mutex m_mutex;
    std::vector<WorkerPlace> m_workers;
    std::vector<NodePlace> m_nodes;
    std::uint64_t m_version { 3 };
    std::size_t m_nodesStarted { 0 };
    int m_nextPeerPort { 0 };
    std::unique_ptr<Server> m_machines;
};

/// A job of one step.
Json jobOfOneStep(const std::string& spec, int count, std::int64_t cpu, std::int64_t estimatedMs);

} // namespace review
