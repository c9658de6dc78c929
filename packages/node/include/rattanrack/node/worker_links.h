#pragma once

#include "rattanrack/jobs/ports.h"
#include "rattanrack/node/control_loop.h"
#include "rattanrack/node/elastic_thread_pool.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace rattanrack::node {

/// Sends a cell's commands to its workers. Each worker has one thread for polls, which wait for ended runs, and one
/// thread for all other commands, which are sent in order. Control thread only.
class WorkerLinks {
public:
    struct Callbacks {
        std::function<void(const jobs::StartCommand&, const jobs::CommandResult&)> onStartResult;
        std::function<void(const jobs::StopCommand&, const jobs::CommandResult&)> onStopResult;
        std::function<void(const jobs::ThrottleCommand&, const jobs::CommandResult&)> onThrottleResult;
        std::function<void(const jobs::PollCommand&, const jobs::PollResult&, TimePoint sentAt)> onPollResult;
    };

    /// `callbacks` are called on the control thread, until this object is destroyed. `threads` must outlive the
    /// commands that are in flight at that time.
    WorkerLinks(ControlLoop& control, const Clock& clock, ElasticThreadPool& threads, jobs::WorkerConnector& connector,
        Callbacks callbacks);
    ~WorkerLinks();
    WorkerLinks(const WorkerLinks&) = delete;
    WorkerLinks& operator=(const WorkerLinks&) = delete;

    /// Sets the current addresses of the workers. Closes the links to workers that are not in use any more or have
    /// another address; a worker in use that is not listed keeps its last address.
    void setAddresses(const std::map<jobs::WorkerId, std::string>& listed, const jobs::WorkerMachines& inUse);

    void send(jobs::WorkerCommand command);

private:
    class Link;
    struct ResultSink;
    std::shared_ptr<Link> open(const jobs::WorkerId& worker, const std::string& address);

    ElasticThreadPool& m_threads;
    jobs::WorkerConnector& m_connector;
    std::shared_ptr<ResultSink> m_resultSink;
    std::map<jobs::WorkerId, std::shared_ptr<Link>> m_links;
    std::map<jobs::WorkerId, std::string> m_addresses;
};

} // namespace rattanrack::node
