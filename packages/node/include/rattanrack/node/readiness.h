#pragma once

#include <mutex>
#include <set>
#include <string>

namespace rattanrack::node {

/// Reasons why the load balancer should not send callers to this node. The node is ready while there is none.
/// Thread-safe.
class Readiness {
public:
    /// Adds or removes a reason, such as "no_configuration".
    void set(const std::string& reason, bool applies)
    {
        const std::lock_guard lock(m_mutex);
        if (applies)
            m_reasons.insert(reason);
        else
            m_reasons.erase(reason);
    }

    /// Returns the reasons, separated by commas; empty when ready.
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
