#include "rattanrack/platform/http_table.h"

#include "http_channel.h"
#include "table_wire.h"

namespace rattanrack::platform {

namespace {

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusConflict = 409;
constexpr int statusTooLarge = 413;
constexpr int statusUnavailable = 503;

CommitOutcome toOutcome(const HttpResponse& response)
{
    if (response.delivery == Delivery::NotSent)
        return { CommitStatus::Unavailable, 0, response.detail };
    if (response.delivery == Delivery::NoResponse)
        return { CommitStatus::Unknown, 0, response.detail };
    switch (response.status) {
    case statusOk:
        if (const auto version = decodeVersion(response.body))
            return { CommitStatus::Done, *version, {} };
        return { CommitStatus::Unknown, 0, "malformed response" };
    case statusConflict:
        return { CommitStatus::Conflict, 0, {} };
    case statusBadRequest:
    case statusTooLarge:
        return { CommitStatus::Refused, 0, "status " + std::to_string(response.status) };
    case statusUnavailable:
        return { CommitStatus::Unavailable, 0, "status 503" };
    default:
        return { CommitStatus::Unknown, 0, "status " + std::to_string(response.status) };
    }
}

} // namespace

HttpTable::HttpTable(std::unique_ptr<HttpChannel> channel)
    : m_channel(std::move(channel))
{
}

HttpTable::~HttpTable() = default;

Result<std::unique_ptr<HttpTable>> HttpTable::create(const std::string& address, const HttpOptions& options)
{
    BOOST_LEAF_AUTO(channel, HttpChannel::create(address, options));
    return std::unique_ptr<HttpTable> { new HttpTable { std::move(channel) } };
}

CommitOutcome HttpTable::commit(const Transaction& transaction)
{
    const auto body = encodeTransaction(transaction);
    if (!body)
        return { CommitStatus::Refused, 0, "not UTF-8" };
    return toOutcome(m_channel->exchange({ "POST", "/table/commit", *body }));
}

Result<Rows> HttpTable::read(const std::vector<std::string>& keys)
{
    const auto body = encodeKeys(keys);
    if (!body)
        return fail(ErrorCode::InvalidArgument, "table.read", m_channel->address(), "not UTF-8");
    return readRows("table.read", "/table/read", *body);
}

Result<Rows> HttpTable::scan(const std::string& prefix, RowVersion newerThan, std::size_t limit)
{
    const auto body = encodeScan({ prefix, newerThan, limit });
    if (!body)
        return fail(ErrorCode::InvalidArgument, "table.scan", m_channel->address(), "not UTF-8");
    return readRows("table.scan", "/table/scan", *body);
}

Result<Rows> HttpTable::readRows(const char* step, const char* path, const std::string& body)
{
    const auto response = m_channel->exchange({ "POST", path, body });
    if (!response.hasStatus(statusOk))
        return fail(ErrorCode::Unavailable, step, m_channel->address(), m_channel->failure(step, response).detail);
    auto rows = decodeRows(response.body);
    if (!rows)
        return fail(ErrorCode::MalformedMessage, step, m_channel->address());
    return std::move(*rows);
}

} // namespace rattanrack::platform
