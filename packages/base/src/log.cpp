#include "rattanrack/base/log.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include <algorithm>
#include <atomic>
#include <iostream>

namespace rattanrack {

namespace {

namespace expressions = boost::log::expressions;

constexpr const char* levelName(LogLevel level)
{
    constexpr const char* names[] = { "debug", "info", "warning", "error" };
    return names[static_cast<int>(level)];
}

std::atomic<LogLevel>& minimumLevel()
{
    static std::atomic<LogLevel> s_level { LogLevel::Info };
    return s_level;
}

void addStandardErrorSink()
{
    using Backend = boost::log::sinks::text_ostream_backend;
    auto backend = boost::make_shared<Backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter {}));
    backend->auto_flush(true);
    auto sink = boost::make_shared<boost::log::sinks::synchronous_sink<Backend>>(backend);
    sink->set_formatter(expressions::stream
        << "time=" << expressions::format_date_time<boost::posix_time::ptime>("TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
        << ' ' << expressions::smessage);
    boost::log::core::get()->add_sink(sink);
    boost::log::add_common_attributes();
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char c) {
        return c <= ' ' || c == '"' || c == '=' || c == '\\';
    });
}

void appendQuoted(std::string& line, std::string_view value)
{
    line += '"';
    for (const char c : value) {
        if (c == '\n')
            line += "\\n";
        else if (c == '"' || c == '\\')
            (line += '\\') += c;
        else
            line += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
    line += '"';
}

} // namespace

std::string formatLogLine(std::string_view event, std::span<const LogField> fields)
{
    std::string line = "event=" + std::string(event);
    for (const LogField& field : fields) {
        line += ' ' + field.key + '=';
        if (needsQuotes(field.value))
            appendQuoted(line, field.value);
        else
            line += field.value;
    }
    return line;
}

void logEvent(std::string_view event, std::span<const LogField> fields, LogLevel level)
{
    if (level < minimumLevel().load(std::memory_order_relaxed))
        return;
    static const bool s_isInitialized = (addStandardErrorSink(), true);
    static boost::log::sources::severity_logger_mt<LogLevel> s_logger;
    (void)s_isInitialized;
    BOOST_LOG_SEV(s_logger, level) << "level=" << levelName(level) << ' ' << formatLogLine(event, fields);
}

void setLogLevel(LogLevel level) { minimumLevel().store(level, std::memory_order_relaxed); }

} // namespace rattanrack
