#include "rattanrack/platform/http_object_store.h"

#include "http_channel.h"

#include <httplib.h>

namespace rattanrack::platform {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;

std::string objectPath(const std::string& name)
{
    return httplib::append_query_params("/object", httplib::Params { { "name", name } });
}

} // namespace

HttpObjectStore::HttpObjectStore(std::unique_ptr<HttpChannel> channel)
    : m_channel(std::move(channel))
{
}

HttpObjectStore::~HttpObjectStore() = default;

Result<std::unique_ptr<HttpObjectStore>> HttpObjectStore::create(const std::string& address, const HttpOptions& options)
{
    BOOST_LEAF_AUTO(channel, HttpChannel::create(address, options));
    return std::unique_ptr<HttpObjectStore> { new HttpObjectStore { std::move(channel) } };
}

Result<void> HttpObjectStore::put(const std::string& name, const std::string& value)
{
    const auto response = m_channel->exchange({ "PUT", objectPath(name), value });
    if (!response.hasStatus(statusOk))
        return fail(m_channel->failure("object.put", response));
    return {};
}

Result<std::string> HttpObjectStore::read(const std::string& name)
{
    auto response = m_channel->exchange({ "GET", objectPath(name), {} });
    if (response.hasStatus(statusNotFound))
        return fail(ErrorCode::NotFound, "object.read", m_channel->address(), name);
    if (!response.hasStatus(statusOk))
        return fail(ErrorCode::Unavailable, "object.read", m_channel->address(),
            m_channel->failure("object.read", response).detail);
    return std::move(response.body);
}

} // namespace rattanrack::platform
