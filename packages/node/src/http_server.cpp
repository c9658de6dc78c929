#include "rattanrack/node/http_server.h"

#include "connection_server.h"
#include "rattanrack/node/elastic_thread_pool.h"

#include <chrono>
#include <limits>
#include <thread>

namespace rattanrack::node {

namespace {

using namespace std::chrono_literals;

constexpr auto readTimeout = 5s; ///< A slow sender holds its thread no longer than this for each read.
constexpr auto writeTimeout = 5s;
constexpr auto idleTimeout = 5s;
constexpr std::size_t callsPerConnection = std::numeric_limits<std::size_t>::max();
constexpr std::size_t maxWaitingConnections = 4096;

/// Sets SO_REUSEADDR alone: httplib's default would let a second process share the port without an error.
void setReuseAddress(socket_t socket)
{
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
}

/// Serves each connection on a thread of an elastic pool.
class ConnectionThreads final : public httplib::TaskQueue {
public:
    explicit ConnectionThreads(std::size_t threads)
        : m_pool(threads, maxWaitingConnections)
        , m_overflow(1, std::numeric_limits<std::size_t>::max())
    {
        (void)m_overflow.submit([] {}); // Starts its thread now, while the machine has one.
    }

    void enqueue(std::function<void()> serve) override
    {
        // httplib closes the socket inside `serve`, so dropping `serve` would leak the connection.
        if (!m_pool.submit(serve))
            (void)m_overflow.submit(std::move(serve));
    }

    void shutdown() override
    {
        m_pool.shutdown();
        m_overflow.shutdown();
    }

private:
    ElasticThreadPool m_pool;
    ElasticThreadPool m_overflow;
};

} // namespace

struct HttpServer::State {
    ConnectionServer server;
    std::thread thread;
};

Result<std::unique_ptr<HttpServer>> HttpServer::create(
    const std::string& host, int port, const HttpLimits& limits, const std::function<void(httplib::Server&)>& addRoutes)
{
    auto state = std::make_unique<State>();
    ConnectionServer& server = state->server;
    server.new_task_queue = [threads = limits.threads] { return new ConnectionThreads(threads); };
    server.set_tcp_nodelay(true);
    server.set_socket_options(setReuseAddress);
    server.set_keep_alive_max_count(callsPerConnection);
    server.set_keep_alive_timeout(idleTimeout.count());
    server.set_read_timeout(readTimeout);
    server.set_write_timeout(writeTimeout);
    server.set_payload_max_length(limits.maxBodyBytes);
    addRoutes(server);
    if (!server.bind_to_port(host, port))
        return fail(ErrorCode::Unavailable, "http.listen", host + ':' + std::to_string(port), "address in use");
    state->thread = std::thread([&server] { server.listen_after_bind(); });
    // Stopping a server that does not listen yet would have no effect.
    while (!server.is_running())
        std::this_thread::sleep_for(1ms);
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

HttpServer::HttpServer(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

HttpServer::~HttpServer() { stop(); }

void HttpServer::startDraining() { m_state->server.startDraining(); }

void HttpServer::stop()
{
    m_state->server.stop();
    m_state->server.endIdleConnections();
    if (m_state->thread.joinable())
        m_state->thread.join();
}

} // namespace rattanrack::node
