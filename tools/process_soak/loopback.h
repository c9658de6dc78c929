#pragma once

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cstdint>
#include <string>

/// Plain sockets on loopback.
namespace rattanrack::tools {

/// Of "ip:port".
inline int portOf(const std::string& address) { return std::stoi(address.substr(address.find(':') + 1)); }

inline sockaddr_in loopbackAddress(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// A connected socket that gives up sending after a second; -1 when nobody listens.
inline int connectTo(int port)
{
    const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopbackAddress(port);
    if (connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        close(connection);
        return -1;
    }
    const int isOn = 1;
    const timeval patience { 1, 0 };
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof(isOn));
    setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof(patience));
    return connection;
}

inline bool sendAll(int connection, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = send(connection, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

} // namespace rattanrack::tools
