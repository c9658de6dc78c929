#pragma once

#include "rattanrack/jobs/ownership.h"

#include <string>
#include <vector>

/// How often a node tells its news.
namespace rattanrack::jobs {

/// A node that holds nothing and has told nothing new for a while says so more rarely, since n nodes send n x n
/// messages. All others tell their news whenever they ask. Pure; not thread-safe.
class AnnouncementPacer {
public:
    /// Whether `news` should be sent to `addresses` now.
    bool isDue(const NodeAnnouncement& news, const std::vector<std::string>& addresses, TimePoint now) const;

    /// `news` has been sent to `addresses`.
    void onSent(const NodeAnnouncement& news, const std::vector<std::string>& addresses, TimePoint now);

private:
    NodeAnnouncement m_lastNews;
    std::vector<std::string> m_lastAddresses;
    TimePoint m_sentAt {};
    TimePoint m_newAt {}; ///< When something new was first told.
};

} // namespace rattanrack::jobs
