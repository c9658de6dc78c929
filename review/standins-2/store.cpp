#include "store.h"

#include <array>

namespace review {

namespace {

constexpr std::size_t rowBytes = 65536; ///< `platform.row_bytes` of the settings.
constexpr std::size_t mostEntries = 100; ///< Of a transaction.
constexpr std::size_t mostRows = 500; ///< Of a page.
constexpr std::size_t mostPageBytes = 1'000'000;
constexpr Milliseconds transactionTime { 5 };
constexpr Milliseconds readTime { 4 };
constexpr int badRequest = 400;
constexpr int notFound = 404;
constexpr int preconditionFailed = 412;
constexpr int ok = 200;

constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr unsigned digitBits = 6;
constexpr unsigned digitMask = 63;
constexpr unsigned byteBits = 8;
constexpr unsigned byteMask = 255;

} // namespace

std::string toBase64(const std::string& bytes)
{
    std::string text;
    unsigned pending = 0;
    unsigned bits = 0;
    for (const char each : bytes) {
        pending = (pending << byteBits) | static_cast<unsigned char>(each);
        bits += byteBits;
        while (bits >= digitBits) {
            bits -= digitBits;
            text += digits[(pending >> bits) & digitMask];
        }
    }
    if (bits > 0)
        text += digits[(pending << (digitBits - bits)) & digitMask];
    while (text.size() % 4 != 0)
        text += '=';
    return text;
}

std::string fromBase64(const std::string& text)
{
    std::string bytes;
    unsigned pending = 0;
    unsigned bits = 0;
    for (const char each : text) {
        const auto digit = digits.find(each);
        if (digit == std::string_view::npos)
            break;
        pending = (pending << digitBits) | static_cast<unsigned>(digit);
        bits += digitBits;
        if (bits >= byteBits) {
            bits -= byteBits;
            bytes += static_cast<char>((pending >> bits) & byteMask);
        }
    }
    return bytes;
}

HttpMessage jsonResponse(int status, const Json& body)
{
    HttpMessage response;
    response.status = status;
    response.headers["Content-Type"] = "application/json";
    response.body = body.dump();
    return response;
}

Store::Store()
    : m_server([this](const HttpMessage& request) { return handle(request); })
{
}

void Store::put(const std::string& table, const std::string& key, const Json& value)
{
    const std::lock_guard lock(m_mutex);
    ++m_version;
    write({ table, "", key }, { toBase64(value.dump()), m_version, false });
    m_changed.notify_all();
}

void Store::remove(const std::string& table, const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    const auto row = m_rows.find({ table, "", key });
    if (row == m_rows.end() || row->second.isRemoved)
        return;
    ++m_version;
    write({ table, "", key }, { "", m_version, true });
    m_changed.notify_all();
}

std::string Store::value(const std::string& table, const std::string& part, const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    const auto row = m_rows.find({ table, part, key });
    return row == m_rows.end() || row->second.isRemoved ? "" : fromBase64(row->second.value);
}

int Store::oversizedTransactions()
{
    const std::lock_guard lock(m_mutex);
    return m_oversized;
}

void Store::write(const Key& key, Row row)
{
    m_keysByVersion[row.version].push_back(key);
    m_rows[key] = std::move(row);
}

HttpMessage Store::handle(const HttpMessage& request)
{
    if (request.path == "/rattanrack/rows-tx") {
        std::this_thread::sleep_for(transactionTime);
        return commit(Json::parse(request.body));
    }
    if (request.path == "/rattanrack/rows-get") {
        std::this_thread::sleep_for(readTime);
        return read(request);
    }
    return request.path == "/rattanrack/rows-feed" ? changes(request) : jsonResponse(notFound, Json::object());
}

Store::Key Store::keyOf(const Json& row)
{
    return { row.at("table").get<std::string>(), row.at("part").get<std::string>(), row.at("key").get<std::string>() };
}

Json Store::toJson(const Key& key, const Row& row)
{
    const auto& [table, part, name] = key;
    Json json { { "table", table }, { "part", part }, { "key", name }, { "value", row.value }, { "ver", row.version } };
    if (row.isRemoved)
        json["tombstone"] = true;
    return json;
}

HttpMessage Store::commit(const Json& body)
{
    const Json none = Json::array();
    const Json& expected = body.contains("expected") ? body.at("expected") : none;
    const Json& put = body.contains("put") ? body.at("put") : none;
    const Json& removed = body.contains("remove") ? body.at("remove") : none;
    const std::lock_guard lock(m_mutex);
    if (expected.size() + put.size() + removed.size() > mostEntries)
        return jsonResponse(badRequest, { { "error", "too many entries" } });
    for (const Json& row : put) {
        if (fromBase64(row.at("value").get<std::string>()).size() <= rowBytes)
            continue;
        ++m_oversized;
        return jsonResponse(badRequest, { { "error", "a value is larger than row_bytes" } });
    }
    bool doConditionsHold = true;
    Json current = Json::array();
    for (const Json& row : expected) {
        const Key key = keyOf(row);
        const auto found = m_rows.find(key);
        const bool exists = found != m_rows.end() && !found->second.isRemoved;
        doConditionsHold
            = doConditionsHold && row.at("ver").get<std::uint64_t>() == (exists ? found->second.version : 0);
        if (exists)
            current.push_back(toJson(key, found->second));
    }
    if (!doConditionsHold)
        return jsonResponse(preconditionFailed, { { "rows", current }, { "ver", m_version }, { "now_ms", 1 } });
    ++m_version;
    for (const Json& row : put)
        write(keyOf(row), { row.at("value").get<std::string>(), m_version, false });
    for (const Json& row : removed)
        write(keyOf(row), { "", m_version, true });
    m_changed.notify_all();
    return jsonResponse(ok, { { "ver", m_version }, { "now_ms", 1 } });
}

HttpMessage Store::read(const HttpMessage& request)
{
    const auto parameter = [&](const char* name) {
        const auto found = request.query.find(name);
        return found == request.query.end() ? std::string {} : found->second;
    };
    const std::string limitText = parameter("limit");
    const std::size_t limit = limitText.empty() ? mostRows : std::min<std::size_t>(std::stoul(limitText), mostRows);
    const std::string target = parameter("target");
    const std::lock_guard lock(m_mutex);
    Json rows = Json::array();
    bool hasMore = false;
    std::size_t bytes = 0;
    const Key from { parameter("table"), parameter("part"), parameter("from") };
    for (auto row = m_rows.lower_bound(from); row != m_rows.end(); ++row) {
        const auto& [table, part, key] = row->first;
        if (table != std::get<0>(from) || part != std::get<1>(from) || (!target.empty() && key >= target))
            break;
        if (row->second.isRemoved)
            continue;
        hasMore = rows.size() >= limit || bytes > mostPageBytes;
        if (hasMore)
            break;
        bytes += row->second.value.size();
        rows.push_back(toJson(row->first, row->second));
    }
    return jsonResponse(ok, { { "rows", rows }, { "has_more", hasMore }, { "ver", m_version }, { "now_ms", 1 } });
}

HttpMessage Store::changes(const HttpMessage& request)
{
    const std::string table = request.query.at("table");
    const std::uint64_t after = std::stoull(request.query.at("after"));
    const Milliseconds wait { std::stoi(request.query.at("wait_ms")) };
    std::unique_lock lock(m_mutex);
    Json rows = Json::array();
    std::uint64_t seen = after;
    const auto collect = [&] {
        for (auto each = m_keysByVersion.upper_bound(seen); each != m_keysByVersion.end(); ++each) {
            for (const Key& key : each->second) {
                const Row& row = m_rows.at(key);
                if (std::get<0>(key) == table && row.version == each->first)
                    rows.push_back(toJson(key, row));
            }
        }
        seen = m_version;
        return !rows.empty();
    };
    m_changed.wait_for(lock, wait, collect);
    return jsonResponse(ok, { { "rows", rows }, { "ver", m_version }, { "now_ms", 1 } });
}

} // namespace review
