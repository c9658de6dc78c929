#pragma once

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <random>

namespace rattanrack::node::tests {

/// Ports below the ephemeral range, from which the system assigns ports to clients and to servers that bind to any
/// port.
constexpr int firstTestPort = 20'000;
constexpr int lastTestPort = 31'999;

/// Returns a socket that is bound to the port of the loopback interface, or -1 if the port is in use.
inline int bindPort(int type, int port)
{
    const int bound = socket(AF_INET, type, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (bind(bound, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0)
        return bound;
    close(bound);
    return -1;
}

/// Returns a TCP port that is not in use and that this function returns to no other caller while this process runs: the
/// process keeps the UDP port of the same number bound. Returns 0 if there is none.
inline int freePort()
{
    constexpr int tries = 1000;
    std::random_device random;
    std::uniform_int_distribution<int> anyPort { firstTestPort, lastTestPort };
    for (int count = 0; count < tries; ++count) {
        const int port = anyPort(random);
        const int claim = bindPort(SOCK_DGRAM, port);
        const int probe = claim < 0 ? -1 : bindPort(SOCK_STREAM, port);
        if (probe >= 0) {
            close(probe);
            return port;
        }
        if (claim >= 0)
            close(claim);
    }
    return 0;
}

} // namespace rattanrack::node::tests
