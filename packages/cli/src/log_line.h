#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrack::cli {

using LogTime = std::chrono::sys_time<std::chrono::microseconds>;

/// One line of a node's log, as `logEvent` writes it: `time=... level=... event=... key=value ...`.
class LogLine {
public:
    /// Nothing when the line has no time, no event, or a quote that doesn't end.
    static std::optional<LogLine> parse(std::string_view text);

    LogTime time() const { return m_time; }
    const std::string& event() const { return m_event; }

    /// The field's value; empty when the line lacks it. Lives as long as the line.
    std::string_view text(std::string_view key) const;
    /// The field's value; 0 when the line lacks it or it isn't a whole number.
    std::int64_t number(std::string_view key) const;

private:
    struct Field {
        std::string key;
        std::string value;
    };
    bool readFields(std::string_view text);

    LogTime m_time {};
    std::string m_event;
    std::vector<Field> m_fields;
};

} // namespace rattanrack::cli
