#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <sstream>

namespace review {

namespace {

constexpr int backlog = 512;
constexpr Milliseconds longestIdleTime { 120'000 };
constexpr int hexadecimal = 16;
constexpr std::size_t bufferBytes = 65536;

sockaddr_in loopback(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

/// Returns a bound socket and stores its port.
int bindToFreePort(int& port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    (void)::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    socklen_t size = sizeof(address);
    (void)::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return socket;
}

void setNoDelay(int socket)
{
    const int on = 1;
    (void)::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

bool waitFor(int socket, short events, TimePoint deadline)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()).count();
    pollfd entry { socket, events, 0 };
    return left > 0 && ::poll(&entry, 1, static_cast<int>(left)) > 0;
}

bool writeAll(int socket, const std::string& bytes, TimePoint deadline)
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        if (!waitFor(socket, POLLOUT, deadline))
            return false;
        const ssize_t count = ::send(socket, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        written += static_cast<std::size_t>(count);
    }
    return true;
}

std::string decoded(const std::string& text)
{
    std::string result;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, hexadecimal));
            at += 2;
        } else {
            result += text[at] == '+' ? ' ' : text[at];
        }
    }
    return result;
}

void parseTarget(const std::string& target, HttpMessage& message)
{
    const auto mark = target.find('?');
    message.path = target.substr(0, mark);
    if (mark == std::string::npos)
        return;
    std::istringstream parts(target.substr(mark + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
        const auto equals = part.find('=');
        if (equals != std::string::npos)
            message.query[decoded(part.substr(0, equals))] = decoded(part.substr(equals + 1));
    }
}

/// Parses the first line and the headers.
HttpMessage parseHead(const std::string& head)
{
    HttpMessage message;
    std::istringstream lines(head);
    std::string line;
    std::getline(lines, line);
    std::istringstream words(line);
    std::string first;
    std::string second;
    words >> first >> second;
    if (first.starts_with("HTTP/")) {
        message.status = std::stoi(second);
    } else {
        message.method = first;
        parseTarget(second, message);
    }
    while (std::getline(lines, line) && line.size() > 1) {
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char each) { return std::tolower(each); });
        const auto begin = line.find_first_not_of(' ', colon + 1);
        const auto end = line.find_last_not_of("\r ");
        message.headers[name] = begin == std::string::npos || begin > end ? "" : line.substr(begin, end - begin + 1);
    }
    return message;
}

/// Reads one message. Empty: the connection has ended, or nothing complete arrived in time.
std::optional<HttpMessage> readMessage(int socket, TimePoint deadline)
{
    std::string bytes;
    std::array<char, bufferBytes> buffer {};
    std::optional<HttpMessage> message;
    std::size_t bodyAt = 0;
    std::size_t length = 0;
    while (!message || bytes.size() < bodyAt + length) {
        if (!waitFor(socket, POLLIN, deadline))
            return std::nullopt;
        const ssize_t count = ::recv(socket, buffer.data(), buffer.size(), 0);
        if (count <= 0)
            return std::nullopt;
        bytes.append(buffer.data(), static_cast<std::size_t>(count));
        const auto end = message ? std::string::npos : bytes.find("\r\n\r\n");
        if (end == std::string::npos)
            continue;
        message = parseHead(bytes.substr(0, end + 2));
        bodyAt = end + 4;
        const auto field = message->headers.find("content-length");
        length = field == message->headers.end() ? 0 : std::stoul(field->second);
    }
    message->body = bytes.substr(bodyAt, length);
    return message;
}

std::string headersOf(const HttpMessage& message)
{
    std::string text;
    for (const auto& [name, value] : message.headers)
        text.append(name).append(": ").append(value).append("\r\n");
    return text + "Content-Length: " + std::to_string(message.body.size()) + "\r\n\r\n" + message.body;
}

} // namespace

int freePort()
{
    int port = 0;
    const int socket = bindToFreePort(port);
    ::close(socket);
    return port;
}

HttpServer::HttpServer(Handler handler)
    : m_handler(std::move(handler))
    , m_listener(bindToFreePort(m_port))
{
    (void)::listen(m_listener, backlog);
    m_thread = std::thread([this] { accept(); });
}

HttpServer::~HttpServer()
{
    m_isStopping = true;
    ::shutdown(m_listener, SHUT_RDWR);
    m_thread.join();
    setClosed(true);
    while (m_connections > 0)
        std::this_thread::sleep_for(Milliseconds { 1 });
    ::close(m_listener);
}

void HttpServer::setClosed(bool isClosed)
{
    const std::lock_guard lock(m_mutex);
    m_isClosed = isClosed;
    for (const int socket : isClosed ? m_sockets : std::set<int> {})
        ::shutdown(socket, SHUT_RDWR);
}

void HttpServer::accept()
{
    while (!m_isStopping) {
        const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            continue;
        setNoDelay(socket);
        {
            const std::lock_guard lock(m_mutex);
            if (m_isClosed) {
                ::close(socket);
                continue;
            }
            m_sockets.insert(socket);
        }
        ++m_connections;
        std::thread([this, socket] { serve(socket); }).detach();
    }
}

void HttpServer::serve(int socket)
{
    bool isOpen = true;
    while (isOpen && !m_isStopping) {
        const auto request = readMessage(socket, Clock::now() + longestIdleTime);
        if (!request)
            break;
        const HttpMessage response = m_handler(*request);
        if (response.status == 0)
            break;
        const std::string head = "HTTP/1.1 " + std::to_string(response.status) + " -\r\n";
        isOpen = writeAll(socket, head + headersOf(response), Clock::now() + longestIdleTime)
            && !response.headers.contains("Connection");
    }
    {
        const std::lock_guard lock(m_mutex);
        m_sockets.erase(socket);
        ::close(socket);
    }
    --m_connections;
}

HttpClient::~HttpClient() { close(); }

void HttpClient::close()
{
    if (m_socket >= 0)
        ::close(m_socket);
    m_socket = -1;
}

bool HttpClient::send(const HttpMessage& request, Milliseconds timeout)
{
    if (m_socket < 0) {
        m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(m_port);
        if (::connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
            close();
            return false;
        }
        setNoDelay(m_socket);
    }
    const std::string head = request.method + ' ' + request.path + " HTTP/1.1\r\n";
    const bool isSent = writeAll(m_socket, head + headersOf(request), Clock::now() + timeout);
    if (!isSent)
        close();
    return isSent;
}

std::optional<HttpMessage> HttpClient::receive(Milliseconds timeout)
{
    auto response = m_socket < 0 ? std::nullopt : readMessage(m_socket, Clock::now() + timeout);
    const bool isClosing = response && response->headers["connection"] == "close";
    if (!response || isClosing)
        close();
    return response;
}

std::optional<HttpMessage> HttpClient::exchange(const HttpMessage& request, Milliseconds timeout)
{
    return send(request, timeout) ? receive(timeout) : std::nullopt;
}

} // namespace review
