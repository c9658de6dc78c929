#pragma once

#include "rattanrack/jobs/ports.h"
#include "rattanrack/node/control_loop.h"
#include "rattanrack/node/elastic_thread_pool.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace rattanrack::node {

/// Carries a cell's orders to its workers: for each worker one thread for looks, which wait for ends, and one for all
/// other orders, in their order. Belongs to the control thread.
class WorkerLinks {
public:
    struct Callbacks {
        std::function<void(const jobs::StartCommand&, const jobs::CommandResult&)> onStartResult;
        std::function<void(const jobs::StopCommand&, const jobs::CommandResult&)> onStopResult;
        std::function<void(const jobs::ThrottleCommand&, const jobs::CommandResult&)> onThrottleResult;
        std::function<void(const jobs::PollCommand&, const jobs::PollResult&, TimePoint sentAt)> onPollResult;
    };

    /// `answers` are called on the control thread, until this object is destroyed. `threads` must outlive what is on
    /// its way then.
    WorkerLinks(ControlLoop& control, const Clock& clock, ElasticThreadPool& threads, jobs::WorkerConnector& connector,
        Callbacks answers);
    ~WorkerLinks();
    WorkerLinks(const WorkerLinks&) = delete;
    WorkerLinks& operator=(const WorkerLinks&) = delete;

    /// Where the workers are now. Links to workers that are not in use any more are closed, and so are those whose
    /// worker has moved; a worker in use that is not listed keeps its last address.
    void setAddresses(const std::map<jobs::WorkerId, std::string>& listed, const jobs::WorkerMachines& inUse);

    void send(jobs::WorkerCommand order);

private:
    class Link;
    struct Sink;
    std::shared_ptr<Link> open(const jobs::WorkerId& worker, const std::string& address);

    ElasticThreadPool& m_threads;
    jobs::WorkerConnector& m_connector;
    std::shared_ptr<Sink> m_sink;
    std::map<jobs::WorkerId, std::shared_ptr<Link>> m_links;
    std::map<jobs::WorkerId, std::string> m_addresses;
};

} // namespace rattanrack::node
