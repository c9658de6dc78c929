#pragma once

#include "rattanrack/base/error.h"

#include <sys/socket.h>

#include <string>

namespace rattanrack::peer {

/// An IP address and port, as a socket address.
struct SocketAddress {
    sockaddr_storage storage {};
    socklen_t size { 0 };

    const sockaddr* socketAddress() const { return reinterpret_cast<const sockaddr*>(&storage); }
};

/// Parses "1.2.3.4:port" or "[::1]:port". Host names are not resolved. Errors: InvalidArgument.
Result<SocketAddress> parseSocketAddress(const std::string& text);

} // namespace rattanrack::peer
