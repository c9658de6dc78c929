#pragma once

#include "http_server.h"
#include "lagging_list.h"
#include "memory_table.h"

#include <map>
#include <random>

namespace rattanrack::standin {

/// Faults that are switched on at the moment.
struct PlatformFaults {
    bool isDown { false }; ///< Everything answers 503.
    Duration delay {}; ///< Before each call takes effect.
    double loseAnswer { 0 }; ///< Part of commits and puts that take effect and whose answer is cut off.
    double applyLate { 0 }; ///< Part of commits whose answer is cut off and that take effect `lateBy` later.
    Duration lateBy { std::chrono::seconds { 1 } };
};

/// Table, object store and VM list on one port, with their faults.
///
///     BOOST_LEAF_AUTO(server, PlatformServer::create("127.0.0.1:7000", vms, 1));
class PlatformServer {
public:
    /// Errors: InvalidArgument (address), Unavailable (port in use).
    static Result<std::unique_ptr<PlatformServer>> create(
        const std::string& address, std::vector<platform::VmDescription> vms, std::uint64_t seed);
    ~PlatformServer();
    PlatformServer(const PlatformServer&) = delete;
    PlatformServer& operator=(const PlatformServer&) = delete;

    const std::string& address() const { return m_server->address(); }
    MemoryTable& table() { return m_table; }
    void setFaults(const PlatformFaults&);

private:
    using Request = httplib::Request;
    using Response = httplib::Response;
    using Handler = void (PlatformServer::*)(const Request&, Response&);

    PlatformServer(std::vector<platform::VmDescription> vms, std::uint64_t seed);
    void addRoutes(httplib::Server&);
    httplib::Server::Handler faulty(Handler);
    httplib::Server::Handler plain(Handler);

    void commit(const Request&, Response&);
    void read(const Request&, Response&);
    void scan(const Request&, Response&);
    void putObject(const Request&, Response&);
    void readObject(const Request&, Response&);
    void listVms(const Request&, Response&);
    void changeVm(const Request&, Response&);
    void changeFaults(const Request&, Response&);
    void answerHistory(const Request&, Response&);
    void answerCounters(const Request&, Response&);

    bool happens(double probability);
    PlatformFaults faults();
    void applyLater(platform::Transaction, Duration);

    MemoryTable m_table;
    LaggingList m_list;
    SystemClock m_clock;
    std::mutex m_mutex;
    PlatformFaults m_faults;
    std::mt19937_64 m_random;
    std::map<std::string, std::string> m_objects;
    std::vector<std::thread> m_lateWrites;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace rattanrack::standin
