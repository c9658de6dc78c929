#pragma once

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

/// What the stand-ins of the review share: time, the record of what happened, and an HTTP server with a thread.
namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

/// Milliseconds of the wall clock since 1970.
std::int64_t unixMs();

/// Sleeps for that many milliseconds.
void sleepMs(std::int64_t milliseconds);

/// Returns the JSON document, or a discarded value.
inline Json parse(const std::string& text) { return Json::parse(text, nullptr, false); }

/// Appends lines to a file that several processes share. Each line begins with the milliseconds since `zeroUnixMs`.
class Record {
public:
    Record(std::string path, std::int64_t zeroUnixMs)
        : m_path(std::move(path))
        , m_zeroUnixMs(zeroUnixMs)
    {
    }

    void line(const std::string& text);
    std::int64_t nowMs() const { return unixMs() - m_zeroUnixMs; }
    std::int64_t zeroUnixMs() const { return m_zeroUnixMs; }
    const std::string& path() const { return m_path; }

private:
    std::string m_path;
    std::int64_t m_zeroUnixMs;
    std::mutex m_mutex;
};

/// An HTTP server on 127.0.0.1 with a thread of its own.
class Server {
public:
    /// `port`: 0 takes a free one. `threads`: connections that are served at once.
    Server(int port, std::size_t threads, const std::function<void(httplib::Server&)>& addRoutes);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    int port() const { return m_port; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    httplib::Server m_server;
    int m_port { 0 };
    std::thread m_thread;
};

void respond(httplib::Response& response, int status, const Json& body);

/// A free port on 127.0.0.1.
int freePort();

/// Whether nothing uses that port on 127.0.0.1.
bool isFree(int port);

} // namespace review
