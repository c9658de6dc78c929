#pragma once

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace rattanrack::node::tests {

/// A port of the loopback interface that nobody uses now; 0 when there is none.
inline int freePort()
{
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    const bool isBound = bind(probe, reinterpret_cast<const sockaddr*>(&address), size) == 0
        && getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    close(probe);
    return isBound ? ntohs(address.sin_port) : 0;
}

} // namespace rattanrack::node::tests
