#pragma once

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>

namespace rattanrack {

enum class LogLevel { Debug, Info, Warning, Error };

/// One key=value pair of a log line.
struct LogField {
    LogField(std::string_view key, std::string_view value)
        : key(key)
        , value(value)
    {
    }
    LogField(std::string_view key, const char* value)
        : LogField(key, std::string_view { value })
    {
    }
    LogField(std::string_view key, const std::string& value)
        : LogField(key, std::string_view { value })
    {
    }
    template <typename Number>
    requires std::is_arithmetic_v<Number> LogField(std::string_view key, Number value)
        : key(key)
        , value(std::to_string(value))
    {
    }

    std::string key;
    std::string value;
};

/// Writes one line to standard error: `time=... level=... event=... key=value ...`. Values with spaces, quotes or line
/// breaks are quoted and escaped. Thread-safe.
///
///     logEvent("request.refused", { { "request", id.value() }, { "reason", "queue_full" } });
void logEvent(std::string_view event, std::span<const LogField> fields, LogLevel level = LogLevel::Info);

inline void logEvent(
    std::string_view event, std::initializer_list<LogField> fields = {}, LogLevel level = LogLevel::Info)
{
    logEvent(event, std::span { fields.begin(), fields.size() }, level);
}

/// Sets the minimum level; lines below it are dropped. Info by default.
void setLogLevel(LogLevel level);

/// Returns the text of a log line without time and level. Exposed for tests.
std::string formatLogLine(std::string_view event, std::span<const LogField> fields);

inline std::string formatLogLine(std::string_view event, std::initializer_list<LogField> fields)
{
    return formatLogLine(event, std::span { fields.begin(), fields.size() });
}

} // namespace rattanrack
