#pragma once

#include <mutex>
#include <set>
#include <string>

namespace rattanrack::node {

/// Why the balancer should send this node nothing. Ready when no reason stands. Thread-safe.
class Readiness {
public:
    /// `reason` such as "no_configuration" stands, or no longer stands.
    void set(const std::string& reason, bool stands)
    {
        const std::lock_guard lock(m_mutex);
        if (stands)
            m_reasons.insert(reason);
        else
            m_reasons.erase(reason);
    }

    /// The reasons that stand, separated by commas; empty when ready.
    std::string reasons() const
    {
        const std::lock_guard lock(m_mutex);
        std::string text;
        for (const std::string& reason : m_reasons)
            text += (text.empty() ? "" : ",") + reason;
        return text;
    }

private:
    mutable std::mutex m_mutex;
    std::set<std::string> m_reasons;
};

} // namespace rattanrack::node
