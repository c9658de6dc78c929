#include "common.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace review {

namespace {

constexpr time_t keepAliveSeconds = 60;
constexpr std::size_t callsPerConnection = 1'000'000'000;
constexpr int recordMode = 0644;

/// 0: the port is not free.
int boundPort(int port)
{
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    socklen_t size = sizeof(address);
    const bool isBound = bind(probe, reinterpret_cast<sockaddr*>(&address), size) == 0
        && getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    close(probe);
    return isBound ? ntohs(address.sin_port) : 0;
}

void setReuseAddress(socket_t socket)
{
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
}

} // namespace

std::int64_t unixMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

void sleepMs(std::int64_t milliseconds) { std::this_thread::sleep_for(std::chrono::milliseconds { milliseconds }); }

void Record::line(const std::string& text)
{
    std::array<char, 32> time {};
    const auto at = static_cast<long long>(nowMs());
    (void)std::snprintf(time.data(), time.size(), "%8lld.%03lld  ", at / 1000, at % 1000);
    const std::string all = time.data() + text + "\n";
    const std::lock_guard lock(m_mutex);
    const int file = open(m_path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, recordMode);
    if (file < 0)
        return;
    (void)!write(file, all.data(), all.size());
    close(file);
}

Server::Server(int port, std::size_t threads, const std::function<void(httplib::Server&)>& addRoutes)
{
    m_server.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
    m_server.set_tcp_nodelay(true);
    m_server.set_socket_options(setReuseAddress);
    m_server.set_keep_alive_timeout(keepAliveSeconds);
    m_server.set_keep_alive_max_count(callsPerConnection);
    addRoutes(m_server);
    if (port == 0)
        m_port = m_server.bind_to_any_port("127.0.0.1");
    else if (m_server.bind_to_port("127.0.0.1", port))
        m_port = port;
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
}

Server::~Server()
{
    m_server.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void respond(httplib::Response& response, int status, const Json& body)
{
    response.status = status;
    response.set_content(body.dump(-1, ' ', false, Json::error_handler_t::replace), "application/json");
}

int freePort() { return boundPort(0); }

bool isFree(int port) { return boundPort(port) == port; }

} // namespace review
