#pragma once

#include "http_server.h"
#include "worker_model.h"

#include <random>

namespace rattanrack::standin {

/// Serves one worker model over HTTP. A dead worker does not listen.
///
///     BOOST_LEAF_AUTO(server, WorkerServer::create(vm, log, 1));
class WorkerServer {
public:
    /// Listens on the VM's address. Errors: InvalidArgument (address), Unavailable (port in use).
    static Result<std::unique_ptr<WorkerServer>> create(const platform::VmDescription&, TaskLog&, std::uint64_t seed);
    ~WorkerServer();
    WorkerServer(const WorkerServer&) = delete;
    WorkerServer& operator=(const WorkerServer&) = delete;

    /// "ip:port" at which it listens while it lives.
    const std::string& address() const { return m_address; }
    WorkerModel& model() { return m_model; }

    /// Sets the faults; dying kills what runs, and coming back listens again.
    void setFaults(const WorkerFaults&);

    /// Kills what runs, and listens again after `rebootTime`.
    void reboot();

private:
    using Request = httplib::Request;
    using Response = httplib::Response;
    using Handler = void (WorkerServer::*)(const Request&, Response&);

    WorkerServer(const platform::VmDescription&, TaskLog&, std::uint64_t seed);
    std::thread takeBackgroundThread(); ///< Not joinable when there is none.
    Result<void> listen();
    void die();
    void revive();
    void addRoutes(httplib::Server&);
    httplib::Server::Handler faulty(Handler);

    void runTask(const Request&, Response&);
    void answerAttempt(const Request&, Response&);
    void revoke(const Request&, Response&);
    void renewLease(const Request&, Response&);
    void stopTask(const Request&, Response&);
    void setDraining(const Request&, Response&);
    void rebootIfIdle(const Request&, Response&);
    void report(const Request&, Response&);
    void answerFaultily(Response&, const std::string& body);

    std::string m_address;
    WorkerModel m_model;
    std::mutex m_mutex; ///< Guards what follows.
    std::mt19937_64 m_random;
    std::unique_ptr<HttpServer> m_server; ///< Empty while dead.
    std::vector<std::thread> m_background; ///< Ends of old servers, and reboots.
};

} // namespace rattanrack::standin
