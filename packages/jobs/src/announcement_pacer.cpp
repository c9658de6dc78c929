#include "rattanrack/jobs/announcement_pacer.h"

namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

/// A change is sent at the full rate for this long, since a connection may just have been lost.
constexpr Duration repeatTime = 800ms;

bool isSame(const NodeAnnouncement& left, NodeAnnouncement right)
{
    right.sequence = left.sequence;
    return left == right;
}

} // namespace

bool AnnouncementPacer::isDue(
    const NodeAnnouncement& announcement, const std::vector<std::string>& addresses, TimePoint now) const
{
    const bool isIdle = announcement.cells.empty();
    const bool hasRecentChange
        = now - m_changedAt < repeatTime || !isSame(m_lastAnnouncement, announcement) || m_lastAddresses != addresses;
    return !isIdle || hasRecentChange || now - m_sentAt >= announcement.interval;
}

void AnnouncementPacer::onSent(
    const NodeAnnouncement& announcement, const std::vector<std::string>& addresses, TimePoint now)
{
    if (!isSame(m_lastAnnouncement, announcement) || m_lastAddresses != addresses)
        m_changedAt = now;
    m_lastAnnouncement = announcement;
    m_lastAddresses = addresses;
    m_sentAt = now;
}

} // namespace rattanrack::jobs
