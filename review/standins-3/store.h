#pragma once

#include "common.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <set>

/// The platform's store: rows in tables and parts, transactions under conditions, and a feed of changes.
namespace review {

struct RowName {
    std::string table;
    std::string part;
    std::string key;
    friend auto operator<=>(const RowName&, const RowName&) = default;
};

class Store {
public:
    explicit Store(Record& record);

    std::string address() const { return m_server->address(); }

    /// Writes or removes a row of the part without a name, as operators and workers do.
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    std::string value(const RowName& name);

    /// Keys of the rows of a table, with the size of each value in bytes.
    std::map<std::string, std::size_t> sizes(const std::string& table, const std::string& part);

    /// While the store is down, it answers every call with 503.
    void setDown(bool isDown) { m_isDown = isDown; }

    /// Removes the rows of workers, as when their leases run out while the store is down.
    void removeWorkers();

    /// Transactions that were refused, since a value was longer than the limit.
    int refusedForSize() const { return m_refusedForSize; }

private:
    struct Row {
        std::string base64;
        std::uint64_t version { 0 };
        bool isRemoved { false };
    };

    using Handler = void (Store::*)(const httplib::Request&, httplib::Response&);

    void transact(const httplib::Request& request, httplib::Response& response);
    void read(const httplib::Request& request, httplib::Response& response);
    void listParts(const httplib::Request& request, httplib::Response& response);
    void feed(const httplib::Request& request, httplib::Response& response);
    void putFromWorker(const httplib::Request& request, httplib::Response& response);
    Json rowJson(const RowName& name, const Row& row) const;

    Record& m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<RowName, Row> m_rows;
    std::uint64_t m_version { 1 };
    std::atomic<int> m_refusedForSize { 0 };
    std::atomic<bool> m_isDown { false };
    const Clock::time_point m_startedAt { Clock::now() };
    std::unique_ptr<Server> m_server;
};

std::string toBase64(const std::string& bytes);
std::string fromBase64(const std::string& text);

} // namespace review
