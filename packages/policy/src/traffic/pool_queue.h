#pragma once

#include "traffic/request.h"

#include <array>
#include <cstddef>
#include <list>

namespace rattanrack::policy {

/// The requests of one pool that wait on this node. Does not own them.
class PoolQueue {
public:
    void push(Request&);
    void remove(Request&);

    /// The request to serve next; null when none waits.
    Request* first() const;

    std::size_t size() const { return m_size; }
    std::uint64_t bytes() const { return m_bytes; }

private:
    static constexpr std::size_t s_urgencies = 3;
    std::array<std::list<Request*>, s_urgencies> m_waiting;
    std::size_t m_size { 0 };
    std::uint64_t m_bytes { 0 };
};

} // namespace rattanrack::policy
