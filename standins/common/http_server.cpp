#include "http_server.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <vector>

namespace rattanrack::standin {

namespace {

constexpr const char* exchangeHeader = "Exchange-Id";
constexpr const char* jsonType = "application/json";
constexpr std::size_t exchangesPerConnection = 1U << 30U;

/// Threads for connections: grows with the connections that are open at once, up to a bound.
class ElasticThreads final : public httplib::TaskQueue {
public:
    explicit ElasticThreads(std::size_t maxThreads)
        : m_maxThreads(maxThreads)
    {
    }

    void enqueue(std::function<void()> job) override
    {
        const std::lock_guard guard { m_mutex };
        m_jobs.push_back(std::move(job));
        if (m_jobs.size() > m_idle && m_threads.size() < m_maxThreads)
            m_threads.emplace_back([this] { work(); });
        m_changed.notify_one();
    }

    void shutdown() override
    {
        {
            const std::lock_guard guard { m_mutex };
            m_isEnding = true;
        }
        m_changed.notify_all();
        for (auto& thread : m_threads)
            thread.join();
    }

private:
    void work()
    {
        std::unique_lock lock { m_mutex };
        for (;;) {
            ++m_idle;
            m_changed.wait(lock, [this] { return m_isEnding || !m_jobs.empty(); });
            --m_idle;
            if (m_jobs.empty())
                return;
            auto job = std::move(m_jobs.front());
            m_jobs.pop_front();
            lock.unlock();
            job();
            lock.lock();
        }
    }

    const std::size_t m_maxThreads;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_jobs;
    std::vector<std::thread> m_threads;
    std::size_t m_idle { 0 };
    bool m_isEnding { false };
};

/// Two servers must never share a port unnoticed, so SO_REUSEPORT, the library's default, stays off.
void setListenOptions(socket_t socket)
{
    constexpr int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
}

int portOf(const std::string& address)
{
    const auto colon = address.rfind(':');
    return colon == std::string::npos ? -1 : std::atoi(address.c_str() + colon + 1);
}

} // namespace

Result<std::unique_ptr<HttpServer>> HttpServer::create(
    const std::string& address, std::size_t maxConnections, const AddRoutes& addRoutes)
{
    const int port = portOf(address);
    if (port < 0)
        return fail(ErrorCode::InvalidArgument, "server.create", address, "not ip:port");
    std::unique_ptr<HttpServer> server { new HttpServer };
    auto& routes = server->m_server;
    routes.set_tcp_nodelay(true);
    routes.set_keep_alive_max_count(exchangesPerConnection);
    routes.set_socket_options(setListenOptions);
    routes.new_task_queue = [maxConnections] { return new ElasticThreads { maxConnections }; };
    routes.set_pre_routing_handler([](const httplib::Request& request, httplib::Response& response) {
        if (request.has_header(exchangeHeader))
            response.set_header(exchangeHeader, request.get_header_value(exchangeHeader));
        return httplib::Server::HandlerResponse::Unhandled;
    });
    addRoutes(routes);
    const auto ip = address.substr(0, address.rfind(':'));
    const int boundPort = port == 0 ? routes.bind_to_any_port(ip) : (routes.bind_to_port(ip, port) ? port : -1);
    if (boundPort <= 0)
        return fail(ErrorCode::Unavailable, "server.bind", address);
    server->m_address = ip + ":" + std::to_string(boundPort);
    server->m_thread = std::thread { [&routes] { routes.listen_after_bind(); } };
    while (!routes.is_running())
        std::this_thread::yield();
    return server;
}

HttpServer::~HttpServer()
{
    stop();
    if (m_thread.joinable())
        m_thread.join();
}

void HttpServer::stop() { m_server.stop(); }

void cutAnswer(httplib::Response& response)
{
    response.body.clear();
    response.set_content_provider(1, jsonType, [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

void truncateAnswer(httplib::Response& response, const std::string& body)
{
    response.set_content_provider(
        body.size(), jsonType, [body](std::size_t offset, std::size_t, httplib::DataSink& sink) {
            return offset == 0 && sink.write(body.data(), body.size() / 2);
        });
}

void doubleAnswer(httplib::Response& response, const std::string& body)
{
    const std::string again = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nExchange-Id: "
        + response.get_header_value(exchangeHeader) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    response.set_content_provider(
        body.size(), jsonType, [doubled = body + again + body](std::size_t, std::size_t, httplib::DataSink& sink) {
            return sink.write(doubled.data(), doubled.size());
        });
}

void answerJson(httplib::Response& response, const std::string& body) { response.set_content(body, jsonType); }

void answerStatus(httplib::Response& response, int status, const std::string& text)
{
    response.status = status;
    response.set_content(text, "text/plain");
}

} // namespace rattanrack::standin
