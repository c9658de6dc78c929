#pragma once

#include "http.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <tuple>
#include <vector>

/// Stand-in of the platform's store: rows, transactions under conditions, and the feed of changes.
namespace review {

using Json = nlohmann::json;

class Store {
public:
    Store();

    int port() const { return m_server.port(); }

    /// Writes a row of the operator or a worker, in the empty part.
    void put(const std::string& table, const std::string& key, const Json& value);
    void remove(const std::string& table, const std::string& key);

    /// Value of a row; empty: there is none.
    std::string value(const std::string& table, const std::string& part, const std::string& key);

    /// Transactions that were refused since a value was larger than `row_bytes`.
    int oversizedTransactions();

private:
    using Key = std::tuple<std::string, std::string, std::string>; ///< Table, part, key.
    struct Row {
        std::string value; ///< As Base64.
        std::uint64_t version { 0 };
        bool isRemoved { false };
    };

    HttpMessage handle(const HttpMessage& request);
    HttpMessage commit(const Json& body);
    HttpMessage read(const HttpMessage& request);
    HttpMessage changes(const HttpMessage& request);
    static Key keyOf(const Json& row);
    static Json toJson(const Key& key, const Row& row);
    void write(const Key& key, Row row);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Key, Row> m_rows;
    std::map<std::uint64_t, std::vector<Key>> m_keysByVersion;
    std::uint64_t m_version { 0 };
    int m_oversized { 0 };
    HttpServer m_server;
};

std::string toBase64(const std::string& bytes);
std::string fromBase64(const std::string& text);

/// A response with a JSON body.
HttpMessage jsonResponse(int status, const Json& body);

} // namespace review
