#pragma once

#include "worker_server.h"

#include <nlohmann/json_fwd.hpp>

namespace rattanrack::standin {

/// All workers of one process, and the port that controls them: POST /faults, GET /log, GET /refused.
///
///     BOOST_LEAF_AUTO(group, WorkerGroup::create("127.0.0.1:7100", vms, 1));
class WorkerGroup {
public:
    /// Errors: InvalidArgument (address), Unavailable (port in use).
    static Result<std::unique_ptr<WorkerGroup>> create(
        const std::string& controlAddress, const std::vector<platform::VmDescription>&, std::uint64_t seed);

    const TaskLog& log() const { return m_log; }

private:
    using Request = httplib::Request;
    using Response = httplib::Response;

    WorkerGroup() = default;
    void changeFaults(const Request&, Response&);
    void applyFaults(const nlohmann::json& command);
    void answerLog(const Request&, Response&) const;
    void answerRefused(const Request&, Response&) const;

    TaskLog m_log;
    std::vector<std::unique_ptr<WorkerServer>> m_workers;
    std::unique_ptr<HttpServer> m_control;
};

} // namespace rattanrack::standin
