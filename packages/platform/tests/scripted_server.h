#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace rattanrack::test {

/// The reaction of a scripted server to one request.
struct Reply {
    std::string bytes; ///< Sent unchanged, except that "{exchange}" is replaced by the request's exchange number.
    bool closesConnection { false }; ///< Closes the connection afterwards.
    bool isSentTwice { false }; ///< Sends the bytes again, 20 ms later, before it reads the next request.
};

inline Reply jsonReply(const std::string& body, bool closes = false)
{
    return { "HTTP/1.1 200 OK\r\nExchange-Id: {exchange}\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body,
        closes };
}

/// A raw TCP server that reads complete HTTP requests and responds to each with the next scripted bytes. Has one
/// thread, which serves one connection after another.
class ScriptedServer {
public:
    explicit ScriptedServer(std::deque<Reply> script)
        : m_script(std::move(script))
        , m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        (void)bind(m_listener, reinterpret_cast<sockaddr*>(&address), size);
        (void)listen(m_listener, 16);
        (void)getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
        m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        m_thread = std::thread { [this] { serve(); } };
    }

    ~ScriptedServer()
    {
        shutdown(m_listener, SHUT_RDWR);
        {
            const std::lock_guard guard { m_mutex };
            m_isStopping = true;
            if (m_connection >= 0)
                shutdown(m_connection, SHUT_RDWR);
        }
        m_thread.join();
        close(m_listener);
    }
    ScriptedServer(const ScriptedServer&) = delete;
    ScriptedServer& operator=(const ScriptedServer&) = delete;

    const std::string& address() const { return m_address; }

    /// Returns every complete request that arrived on any connection.
    std::vector<std::string> requests() const
    {
        const std::lock_guard guard { m_mutex };
        return m_requests;
    }

private:
    void serve()
    {
        for (;;) {
            const int connection = accept(m_listener, nullptr, nullptr);
            if (connection < 0)
                return;
            {
                const std::lock_guard guard { m_mutex };
                m_connection = m_isStopping ? -1 : connection;
            }
            serveConnection(connection);
            const std::lock_guard guard { m_mutex };
            m_connection = -1;
            close(connection);
            if (m_isStopping)
                return;
        }
    }

    void serveConnection(int connection)
    {
        std::string received;
        for (;;) {
            if (!readRequest(connection, received))
                return;
            if (!respond(connection))
                return;
        }
    }

    bool readRequest(int connection, std::string& received)
    {
        for (;;) {
            if (const auto size = wholeRequestSize(received)) {
                const std::lock_guard guard { m_mutex };
                m_requests.push_back(received.substr(0, size));
                received.erase(0, size);
                return true;
            }
            char buffer[4096];
            const auto got = recv(connection, buffer, sizeof(buffer), 0);
            if (got <= 0)
                return false;
            received.append(buffer, static_cast<std::size_t>(got));
        }
    }

    static std::size_t wholeRequestSize(const std::string& received)
    {
        const auto headEnd = received.find("\r\n\r\n");
        if (headEnd == std::string::npos)
            return 0;
        const std::string field = "Content-Length: ";
        const auto position = received.find(field);
        const auto body = position < headEnd ? std::stoul(received.substr(position + field.size())) : 0;
        const auto size = headEnd + 4 + body;
        return received.size() >= size ? size : 0;
    }

    bool respond(int connection)
    {
        std::string request;
        Reply reply { {}, true };
        {
            const std::lock_guard guard { m_mutex };
            request = m_requests.back();
            if (!m_script.empty()) {
                reply = m_script.front();
                m_script.pop_front();
            }
        }
        const std::string field = "Exchange-Id: ";
        const auto position = request.find(field) + field.size();
        const auto exchange = request.substr(position, request.find('\r', position) - position);
        for (auto placeholder = reply.bytes.find("{exchange}"); placeholder != std::string::npos;
             placeholder = reply.bytes.find("{exchange}"))
            reply.bytes.replace(placeholder, 10, exchange);
        if (send(connection, reply.bytes.data(), reply.bytes.size(), MSG_NOSIGNAL) < 0)
            return false;
        if (reply.isSentTwice) {
            std::this_thread::sleep_for(std::chrono::milliseconds { 20 });
            (void)send(connection, reply.bytes.data(), reply.bytes.size(), MSG_NOSIGNAL);
        }
        return !reply.closesConnection;
    }

    mutable std::mutex m_mutex;
    std::deque<Reply> m_script;
    std::vector<std::string> m_requests;
    int m_listener;
    int m_connection { -1 };
    bool m_isStopping { false };
    std::string m_address;
    std::thread m_thread;
};

} // namespace rattanrack::test
