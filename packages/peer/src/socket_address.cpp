#include "socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <charconv>
#include <cstdint>
#include <cstring>

namespace rattanrack::peer {

namespace {

template <typename Address> SocketAddress stored(const Address& address)
{
    SocketAddress result;
    std::memcpy(&result.storage, &address, sizeof(address));
    result.size = sizeof(address);
    return result;
}

bool parsePort(const std::string& text, in_port_t& port)
{
    std::uint16_t number = 0;
    const char* end = text.data() + text.size();
    const auto [next, error] = std::from_chars(text.data(), end, number);
    port = htons(number);
    return error == std::errc {} && next == end;
}

} // namespace

Result<SocketAddress> parseSocketAddress(const std::string& text)
{
    const auto invalid = [&] { return fail(ErrorCode::InvalidArgument, "peer.address", text, "not ip:port"); };
    const std::size_t colon = text.rfind(':');
    in_port_t port = 0;
    if (colon == std::string::npos || !parsePort(text.substr(colon + 1), port))
        return invalid();
    const std::string host = text.substr(0, colon);

    sockaddr_in v4 {};
    v4.sin_family = AF_INET;
    v4.sin_port = port;
    if (inet_pton(AF_INET, host.c_str(), &v4.sin_addr) == 1)
        return stored(v4);

    sockaddr_in6 v6 {};
    v6.sin6_family = AF_INET6;
    v6.sin6_port = port;
    if (host.size() < 2 || host.front() != '[' || host.back() != ']')
        return invalid();
    if (inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &v6.sin6_addr) != 1)
        return invalid();
    return stored(v6);
}

} // namespace rattanrack::peer
