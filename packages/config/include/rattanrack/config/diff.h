#pragma once

#include "rattanrack/config/federation.h"

#include <string>
#include <vector>

namespace rattanrack::config {

enum class ChangeType { Added, Removed, Modified };

/// One difference between two federations.
struct Change {
    ChangeType type { ChangeType::Modified };
    std::string path; ///< Such as "pools.office.workers" or "sites.munich.pools.office.maxQueued".
    std::string before; ///< Empty when added.
    std::string after; ///< Empty when removed.

    friend bool operator==(const Change&, const Change&) = default;
};

/// "~ pools.office.workers: 10 -> 12", "+ pools.hall", "- teams.guilds".
std::string describe(const Change&);

/// What turns `before` into `after`, ordered by path. Empty exactly when both hold the same, order aside.
std::vector<Change> diff(const Federation& before, const Federation& after);

} // namespace rattanrack::config
