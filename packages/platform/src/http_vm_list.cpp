#include "rattanrack/platform/http_vm_list.h"

#include "http_channel.h"
#include "vm_wire.h"

namespace rattanrack::platform {

namespace {

constexpr int statusOk = 200;

} // namespace

HttpVmList::HttpVmList(std::unique_ptr<HttpChannel> channel)
    : m_channel(std::move(channel))
{
}

HttpVmList::~HttpVmList() = default;

Result<std::unique_ptr<HttpVmList>> HttpVmList::create(const std::string& address, const HttpOptions& options)
{
    BOOST_LEAF_AUTO(channel, HttpChannel::create(address, options));
    return std::unique_ptr<HttpVmList> { new HttpVmList { std::move(channel) } };
}

Result<std::vector<VmDescription>> HttpVmList::list()
{
    const auto response = m_channel->exchange({ "GET", "/vms", {} });
    if (!response.hasStatus(statusOk))
        return fail(
            ErrorCode::Unavailable, "vms.list", m_channel->address(), m_channel->failure("vms.list", response).detail);
    auto vms = decodeVms(response.body);
    if (!vms)
        return fail(ErrorCode::MalformedMessage, "vms.list", m_channel->address());
    return std::move(*vms);
}

} // namespace rattanrack::platform
