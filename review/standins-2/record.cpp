#include "record.h"

#include <iomanip>

namespace review {

std::int64_t unixMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Milliseconds>(sinceEpoch).count();
}

Record::Record(const std::string& path)
    : m_startedAt(Clock::now())
    , m_file(path)
{
}

void Record::add(const std::string& line)
{
    const std::lock_guard lock(m_mutex);
    m_file << std::setw(7) << now() << " ms  " << line << std::endl;
}

std::int64_t Record::now() const { return at(Clock::now()); }

std::int64_t Record::at(TimePoint time) const
{
    return std::chrono::duration_cast<Milliseconds>(time - m_startedAt).count();
}

} // namespace review
