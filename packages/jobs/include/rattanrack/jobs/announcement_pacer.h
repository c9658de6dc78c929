#pragma once

#include "rattanrack/jobs/ownership.h"

#include <string>
#include <vector>

/// Limits how often a node sends its announcement.
namespace rattanrack::jobs {

/// Reduces the messages of idle nodes, since n nodes send n x n messages: a node that owns no cell and whose
/// announcement has not changed for a while sends it less often. For any other node, an announcement is always due.
/// Performs no I/O and reads no clock. Not thread-safe.
class AnnouncementPacer {
public:
    /// Whether `announcement` should be sent to `addresses` now.
    bool isDue(const NodeAnnouncement& announcement, const std::vector<std::string>& addresses, TimePoint now) const;

    /// To be called when `announcement` has been sent to `addresses`.
    void onSent(const NodeAnnouncement& announcement, const std::vector<std::string>& addresses, TimePoint now);

private:
    NodeAnnouncement m_lastAnnouncement;
    std::vector<std::string> m_lastAddresses;
    TimePoint m_sentAt {};
    TimePoint m_changedAt {}; ///< When the latest change was first sent.
};

} // namespace rattanrack::jobs
