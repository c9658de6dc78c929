#include "connection_server.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <string>

namespace rattanrack::node {

namespace {

using Milliseconds = std::chrono::milliseconds;

constexpr std::size_t bufferBytes = 4096; ///< httplib reads headers byte by byte.

Milliseconds toMilliseconds(time_t seconds, time_t microseconds)
{
    return std::chrono::duration_cast<Milliseconds>(
        std::chrono::seconds { seconds } + std::chrono::microseconds { microseconds });
}

int waitFor(pollfd* entries, nfds_t count, Milliseconds timeout)
{
    int ready = poll(entries, count, static_cast<int>(timeout.count()));
    while (ready < 0 && errno == EINTR)
        ready = poll(entries, count, static_cast<int>(timeout.count()));
    return ready;
}

bool isReady(int descriptor, short events, Milliseconds timeout)
{
    pollfd entry { descriptor, events, 0 };
    return waitFor(&entry, 1, timeout) > 0;
}

using NameOf = int (*)(int, sockaddr*, socklen_t*);

void nameOf(socket_t socket, NameOf call, std::string& ip, int& port)
{
    sockaddr_in address {};
    socklen_t size = sizeof(address);
    std::array<char, INET_ADDRSTRLEN> text {};
    if (call(socket, reinterpret_cast<sockaddr*>(&address), &size) != 0 || address.sin_family != AF_INET)
        return;
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    ip = text.data();
    port = ntohs(address.sin_port);
}

/// One connection, with a buffer of bytes that were received and are not consumed yet.
class ConnectionStream final : public httplib::Stream {
public:
    ConnectionStream(socket_t socket, Milliseconds readTimeout, Milliseconds writeTimeout)
        : m_socket(socket)
        , m_readTimeout(readTimeout)
        , m_writeTimeout(writeTimeout)
    {
    }

    bool hasBufferedBytes() const { return m_next < m_filled; }

    bool is_readable() const override { return hasBufferedBytes() || isReady(m_socket, POLLIN, m_readTimeout); }
    bool is_writable() const override { return isReady(m_socket, POLLOUT, m_writeTimeout); }

    ssize_t read(char* output, size_t size) override
    {
        if (!hasBufferedBytes()) {
            if (!is_readable())
                return -1;
            if (size >= bufferBytes)
                return receive(output, size);
            const ssize_t received = receive(m_buffer.data(), m_buffer.size());
            if (received <= 0)
                return received;
            m_next = 0;
            m_filled = static_cast<std::size_t>(received);
        }
        const std::size_t copied = std::min(size, m_filled - m_next);
        std::memcpy(output, m_buffer.data() + m_next, copied);
        m_next += copied;
        return static_cast<ssize_t>(copied);
    }

    ssize_t write(const char* bytes, size_t size) override
    {
        if (!is_writable())
            return -1;
        ssize_t sent = send(m_socket, bytes, size, MSG_NOSIGNAL);
        while (sent < 0 && errno == EINTR)
            sent = send(m_socket, bytes, size, MSG_NOSIGNAL);
        return sent;
    }

    void get_remote_ip_and_port(std::string& ip, int& port) const override { nameOf(m_socket, getpeername, ip, port); }
    void get_local_ip_and_port(std::string& ip, int& port) const override { nameOf(m_socket, getsockname, ip, port); }
    socket_t socket() const override { return m_socket; }

private:
    ssize_t receive(char* output, std::size_t size) const
    {
        ssize_t received = recv(m_socket, output, size, 0);
        while (received < 0 && errno == EINTR)
            received = recv(m_socket, output, size, 0);
        return received;
    }

    socket_t m_socket;
    Milliseconds m_readTimeout;
    Milliseconds m_writeTimeout;
    std::array<char, bufferBytes> m_buffer {};
    std::size_t m_next { 0 };
    std::size_t m_filled { 0 };
};

} // namespace

ConnectionServer::ConnectionServer()
{
    if (pipe2(m_stopPipe.data(), O_CLOEXEC) != 0)
        m_stopPipe = { -1, -1 }; // Idle connections then end only by their timeout.
}

ConnectionServer::~ConnectionServer()
{
    for (const int end : m_stopPipe) {
        if (end >= 0)
            close(end);
    }
}

void ConnectionServer::endIdleConnections()
{
    constexpr char byte = 0;
    m_isDraining = true;
    (void)!::write(m_stopPipe[1], &byte, sizeof(byte));
}

/// Waits for the first byte of a request. Returns false if none has arrived within the idle timeout or before the
/// server was stopped.
bool ConnectionServer::awaitRequest(socket_t socket) const
{
    std::array<pollfd, 2> entries { { { socket, POLLIN, 0 }, { m_stopPipe[0], POLLIN, 0 } } };
    const int ready = waitFor(entries.data(), entries.size(), toMilliseconds(keep_alive_timeout_sec_, 0));
    return ready > 0 && (entries[0].revents & POLLIN) != 0;
}

bool ConnectionServer::process_and_close_socket(socket_t socket)
{
    ConnectionStream stream { socket, toMilliseconds(read_timeout_sec_, read_timeout_usec_),
        toMilliseconds(write_timeout_sec_, write_timeout_usec_) };
    bool isOpen = true;
    while (isOpen && (stream.hasBufferedBytes() || awaitRequest(socket))) {
        bool isClosed = false;
        const bool isLast = m_isDraining;
        const bool isProcessed = process_request(stream, isLast, isClosed, nullptr);
        isOpen = isProcessed && !isClosed && !isLast;
    }
    shutdown(socket, SHUT_RDWR);
    close(socket);
    return true;
}

} // namespace rattanrack::node
