#include "rattanrack/config/node_settings.h"

#include "quantity_text.h"

#include <arpa/inet.h>

#include <array>

namespace rattanrack::config {

namespace {

bool isIpNumber(int family, const std::string& host)
{
    std::array<unsigned char, sizeof(in6_addr)> binary {};
    return inet_pton(family, host.c_str(), binary.data()) == 1;
}

} // namespace

std::string Address::text() const
{
    const bool isVersion6 = host.find(':') != std::string::npos;
    return (isVersion6 ? "[" + host + "]" : host) + ":" + std::to_string(port);
}

std::optional<Address> parseAddress(std::string_view text)
{
    constexpr std::uint64_t maxPort = 65535;
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const auto port = parseCount(text.substr(colon + 1));
    if (!port || *port == 0 || *port > maxPort)
        return std::nullopt;
    std::string host { text.substr(0, colon) };
    const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed)
        host = host.substr(1, host.size() - 2);
    if (!isIpNumber(isBracketed ? AF_INET6 : AF_INET, host))
        return std::nullopt;
    return Address { std::move(host), static_cast<std::uint16_t>(*port) };
}

} // namespace rattanrack::config
