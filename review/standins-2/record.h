#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

/// What a case sends, receives and runs, one line an event.
namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/// Milliseconds since the Unix epoch.
std::int64_t unixMilliseconds();

/// Writes lines with the time since the start of the case. Thread-safe.
class Record {
public:
    explicit Record(const std::string& path);

    void add(const std::string& line);

    /// Milliseconds since the start of the case.
    std::int64_t now() const;
    std::int64_t at(TimePoint time) const;

private:
    TimePoint m_startedAt;
    std::mutex m_mutex;
    std::ofstream m_file;
};

} // namespace review
