#include "rattanrack/jobs/announcement_pacer.h"

namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration idlePeriod = 600ms; ///< Half of the silence after which a node is taken for dead, with some slack.
constexpr Duration repeatTime = 800ms; ///< What is new is told this long at full pace: a connection may just be lost.

bool isSame(const NodeAnnouncement& left, NodeAnnouncement right)
{
    right.sequence = left.sequence;
    return left == right;
}

} // namespace

bool AnnouncementPacer::isDue(
    const NodeAnnouncement& news, const std::vector<std::string>& addresses, TimePoint now) const
{
    const bool isIdle = news.cells.empty();
    const bool isNew = now - m_newAt < repeatTime || !isSame(m_lastNews, news) || m_lastAddresses != addresses;
    return !isIdle || isNew || now - m_sentAt >= idlePeriod;
}

void AnnouncementPacer::onSent(const NodeAnnouncement& news, const std::vector<std::string>& addresses, TimePoint now)
{
    if (!isSame(m_lastNews, news) || m_lastAddresses != addresses)
        m_newAt = now;
    m_lastNews = news;
    m_lastAddresses = addresses;
    m_sentAt = now;
}

} // namespace rattanrack::jobs
