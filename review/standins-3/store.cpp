#include "store.h"

#include <string_view>

namespace review {

namespace {

constexpr std::size_t maxRowBytes = 65536; ///< `platform.row_bytes` of the small deployments.
constexpr std::size_t maxEntries = 100; ///< Of one transaction.
constexpr std::size_t maxCallBytes = 1U << 20U;
constexpr std::size_t maxRowsInAnswer = 500;
constexpr std::size_t storeThreads = 250;
constexpr int serviceTimeMs = 4;
constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string text(const Json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string {};
}

RowName nameOf(const Json& row) { return { text(row, "table"), text(row, "part"), text(row, "key") }; }

std::size_t decodedSize(const std::string& base64)
{
    std::size_t padding = 0;
    while (padding < 2 && padding < base64.size() && base64[base64.size() - 1 - padding] == '=')
        ++padding;
    return base64.size() / 4 * 3 - padding;
}

} // namespace

std::string toBase64(const std::string& bytes)
{
    std::string out;
    std::size_t at = 0;
    for (; at + 2 < bytes.size(); at += 3) {
        const auto word = static_cast<unsigned>(static_cast<unsigned char>(bytes[at])) << 16U
            | static_cast<unsigned>(static_cast<unsigned char>(bytes[at + 1])) << 8U
            | static_cast<unsigned char>(bytes[at + 2]);
        for (const unsigned shift : { 18U, 12U, 6U, 0U })
            out += alphabet[word >> shift & 63U];
    }
    const std::size_t left = bytes.size() - at;
    if (left > 0) {
        unsigned word = static_cast<unsigned>(static_cast<unsigned char>(bytes[at])) << 16U;
        if (left == 2)
            word |= static_cast<unsigned>(static_cast<unsigned char>(bytes[at + 1])) << 8U;
        out += alphabet[word >> 18U & 63U];
        out += alphabet[word >> 12U & 63U];
        out += left == 2 ? alphabet[word >> 6U & 63U] : '=';
        out += '=';
    }
    return out;
}

std::string fromBase64(const std::string& base64)
{
    std::string out;
    unsigned word = 0;
    int bits = 0;
    for (const char letter : base64) {
        const auto digit = alphabet.find(letter);
        if (digit == std::string_view::npos)
            break;
        word = word << 6U | static_cast<unsigned>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out += static_cast<char>(word >> static_cast<unsigned>(bits) & 255U);
        }
    }
    return out;
}

Store::Store(Record& record)
    : m_record(record)
{
    m_server = std::make_unique<Server>(0, storeThreads, [this](httplib::Server& server) {
        const auto unlessDown = [this](Handler handler) {
            return [this, handler](const httplib::Request& request, httplib::Response& response) {
                if (m_isDown)
                    return respond(response, 503, Json::object());
                (this->*handler)(request, response);
            };
        };
        server.Post("/rattanrack/rows-tx", unlessDown(&Store::transact));
        server.Get("/rattanrack/rows-get", unlessDown(&Store::read));
        server.Get("/rattanrack/rows-parts", unlessDown(&Store::listParts));
        server.Get("/rattanrack/rows-feed", unlessDown(&Store::feed));
        server.Post("/worker-row", unlessDown(&Store::putFromWorker));
    });
}

void Store::put(const std::string& table, const std::string& key, const std::string& value)
{
    {
        const std::lock_guard lock(m_mutex);
        m_rows[{ table, "", key }] = { toBase64(value), ++m_version, false };
    }
    m_changed.notify_all();
}

void Store::remove(const std::string& table, const std::string& key)
{
    {
        const std::lock_guard lock(m_mutex);
        m_rows[{ table, "", key }] = { "", ++m_version, true };
    }
    m_changed.notify_all();
}

void Store::removeWorkers()
{
    {
        const std::lock_guard lock(m_mutex);
        for (auto& [name, row] : m_rows) {
            if (name.table == "servers")
                row = { "", ++m_version, true };
        }
    }
    m_changed.notify_all();
}

std::string Store::value(const RowName& name)
{
    const std::lock_guard lock(m_mutex);
    const auto row = m_rows.find(name);
    return row == m_rows.end() || row->second.isRemoved ? "" : fromBase64(row->second.base64);
}

std::map<std::string, std::size_t> Store::sizes(const std::string& table, const std::string& part)
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, std::size_t> all;
    for (const auto& [name, row] : m_rows) {
        if (name.table == table && name.part == part && !row.isRemoved)
            all[name.key] = decodedSize(row.base64);
    }
    return all;
}

Json Store::rowJson(const RowName& name, const Row& row) const
{
    Json json { { "table", name.table }, { "part", name.part }, { "key", name.key }, { "ver", row.version } };
    if (row.isRemoved)
        json["tombstone"] = true;
    else
        json["value"] = row.base64;
    return json;
}

void Store::transact(const httplib::Request& request, httplib::Response& response)
{
    sleepMs(serviceTimeMs);
    const Json body = parse(request.body);
    static const Json s_none = Json::array();
    const auto listOf = [&](const char* name) -> const Json& {
        const auto found = body.find(name);
        return found != body.end() && found->is_array() ? *found : s_none;
    };
    const Json& expected = listOf("expected");
    const Json& puts = listOf("put");
    const Json& removals = listOf("remove");
    if (expected.size() + puts.size() + removals.size() > maxEntries || request.body.size() > maxCallBytes)
        return respond(response, 400, { { "error", "too large" } });
    for (const Json& row : puts) {
        const RowName name = nameOf(row);
        if (name.table == "op" || name.table == "servers")
            return respond(response, 403, { { "error", "not yours" } });
        const std::size_t bytes = decodedSize(text(row, "value"));
        if (bytes > maxRowBytes) {
            if (m_refusedForSize++ == 0)
                m_record.line("store: first refusal with 400: the value of " + name.table + "/" + name.part + "/"
                    + name.key + " has " + std::to_string(bytes) + " bytes, row_bytes is 65536");
            return respond(response, 400, { { "error", "value longer than row_bytes" } });
        }
    }
    const std::lock_guard lock(m_mutex);
    bool areAsExpected = true;
    Json current = Json::array();
    for (const Json& row : expected) {
        const RowName name = nameOf(row);
        const auto found = m_rows.find(name);
        const bool exists = found != m_rows.end() && !found->second.isRemoved;
        const std::uint64_t version = exists ? found->second.version : 0;
        areAsExpected = areAsExpected && version == row.value("ver", std::uint64_t { 0 });
        if (exists)
            current.push_back(rowJson(name, found->second));
    }
    const auto nowMs = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_startedAt).count();
    if (!areAsExpected)
        return respond(response, 412, { { "rows", current }, { "ver", m_version }, { "now_ms", nowMs } });
    ++m_version;
    for (const Json& row : puts)
        m_rows[nameOf(row)] = { text(row, "value"), m_version, false };
    for (const Json& row : removals)
        m_rows[nameOf(row)] = { "", m_version, true };
    m_changed.notify_all();
    respond(response, 200, { { "ver", m_version }, { "now_ms", nowMs } });
}

void Store::read(const httplib::Request& request, httplib::Response& response)
{
    sleepMs(serviceTimeMs);
    const RowName from { request.get_param_value("table"), request.get_param_value("part"),
        request.get_param_value("from") };
    const std::string target = request.get_param_value("target");
    const std::string limitText = request.get_param_value("limit");
    const std::size_t limit
        = limitText.empty() ? maxRowsInAnswer : std::min<std::size_t>(maxRowsInAnswer, std::stoul(limitText));
    const std::lock_guard lock(m_mutex);
    Json rows = Json::array();
    bool hasMore = false;
    std::size_t bytes = 0;
    for (auto row = m_rows.lower_bound(from); row != m_rows.end(); ++row) {
        const RowName& name = row->first;
        if (name.table != from.table || name.part != from.part || (!target.empty() && name.key >= target))
            break;
        if (row->second.isRemoved)
            continue;
        hasMore = rows.size() >= limit || bytes > maxCallBytes;
        if (hasMore)
            break;
        bytes += row->second.base64.size();
        rows.push_back(rowJson(name, row->second));
    }
    respond(response, 200, { { "rows", rows }, { "has_more", hasMore }, { "ver", m_version }, { "now_ms", 1 } });
}

void Store::listParts(const httplib::Request& request, httplib::Response& response)
{
    const std::lock_guard lock(m_mutex);
    std::set<std::string> parts;
    for (const auto& [name, row] : m_rows) {
        if (name.table == request.get_param_value("table") && !row.isRemoved)
            parts.insert(name.part);
    }
    respond(response, 200, { { "parts", parts }, { "has_more", false } });
}

void Store::feed(const httplib::Request& request, httplib::Response& response)
{
    const std::string table = request.get_param_value("table");
    const std::uint64_t after = std::stoull(request.get_param_value("after"));
    const std::chrono::milliseconds wait { std::stoll(request.get_param_value("wait_ms")) };
    std::unique_lock lock(m_mutex);
    std::multimap<std::uint64_t, Json> found;
    const auto collect = [&] {
        found.clear();
        for (const auto& [name, row] : m_rows) {
            if (name.table == table && row.version > after)
                found.emplace(row.version, rowJson(name, row));
        }
        return !found.empty();
    };
    m_changed.wait_for(lock, wait, collect);
    if (m_isDown)
        return respond(response, 503, Json::object());
    Json rows = Json::array();
    for (auto& [version, row] : found)
        rows.push_back(std::move(row));
    respond(response, 200, { { "rows", rows }, { "ver", m_version }, { "now_ms", 1 } });
}

/// A worker's report of itself, over a path of its own.
void Store::putFromWorker(const httplib::Request& request, httplib::Response& response)
{
    put("servers", request.get_param_value("id"), request.body);
    respond(response, 200, Json::object());
}

} // namespace review
