#include "log_line.h"

#include <algorithm>
#include <charconv>
#include <sstream>

namespace rattanrack::cli {

namespace {

/// Takes a value, quoted or not, off the front of `text`. Nothing when its quote doesn't end.
std::optional<std::string> takeValue(std::string_view& text)
{
    if (!text.starts_with('"')) {
        const auto end = std::min(text.find(' '), text.size());
        std::string value { text.substr(0, end) };
        text.remove_prefix(end);
        return value;
    }
    std::string value;
    for (std::size_t at = 1; at < text.size(); ++at) {
        if (text[at] == '"') {
            text.remove_prefix(at + 1);
            return value;
        }
        if (text[at] == '\\' && ++at < text.size())
            value += text[at] == 'n' ? '\n' : text[at];
        else if (at < text.size())
            value += text[at];
    }
    return std::nullopt;
}

std::optional<LogTime> timeOf(std::string_view text)
{
    std::istringstream stream { std::string { text } };
    int year = 0;
    unsigned month = 0;
    unsigned day = 0;
    int hour = 0;
    int minute = 0;
    double second = 0;
    char separators[5] {};
    stream >> year >> separators[0] >> month >> separators[1] >> day >> separators[2] >> hour >> separators[3] >> minute
        >> separators[4] >> second;
    const std::chrono::year_month_day date { std::chrono::year { year }, std::chrono::month { month },
        std::chrono::day { day } };
    if (stream.fail() || std::string_view { separators, sizeof separators } != "--T::" || !date.ok())
        return std::nullopt;
    const auto ofMinute = std::chrono::duration<double> { second };
    return std::chrono::sys_days { date } + std::chrono::hours { hour } + std::chrono::minutes { minute }
    + std::chrono::round<std::chrono::microseconds>(ofMinute);
}

} // namespace

bool LogLine::readFields(std::string_view text)
{
    while (!text.empty()) {
        if (text.front() == ' ') {
            text.remove_prefix(1);
            continue;
        }
        const auto equals = text.find('=');
        if (equals == std::string_view::npos || equals > text.find(' '))
            return false;
        std::string key { text.substr(0, equals) };
        text.remove_prefix(equals + 1);
        auto value = takeValue(text);
        if (!value)
            return false;
        m_fields.push_back({ std::move(key), *std::move(value) });
    }
    return true;
}

std::optional<LogLine> LogLine::parse(std::string_view text)
{
    LogLine line;
    if (!line.readFields(text))
        return std::nullopt;
    const auto time = timeOf(line.text("time"));
    line.m_event = line.text("event");
    if (!time || line.m_event.empty())
        return std::nullopt;
    line.m_time = *time;
    return line;
}

std::string_view LogLine::text(std::string_view key) const
{
    const auto found
        = std::find_if(m_fields.begin(), m_fields.end(), [&](const Field& each) { return each.key == key; });
    return found == m_fields.end() ? std::string_view {} : std::string_view { found->value };
}

std::int64_t LogLine::number(std::string_view key) const
{
    const std::string_view digits = text(key);
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    return error == std::errc {} && end == digits.data() + digits.size() ? number : 0;
}

} // namespace rattanrack::cli
