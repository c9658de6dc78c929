#pragma once

#include "rattanrack/base/ids.h"

#include <cstddef>
#include <mutex>
#include <unordered_map>

namespace rattanrack::node {

/// Shares the threads that serve callers between kinds of work. A kind below its fair share always gets a thread; above
/// it, only while enough threads are left for the others, so that a flood in one kind keeps nobody else out.
/// Thread-safe.
class ThreadShares {
public:
    /// `threads` in all; at least 4.
    explicit ThreadShares(std::size_t threads);

    /// The kinds of work that share the threads now.
    void setKinds(std::size_t count);

    /// Holds a thread for a kind while it lives; converts to false when none was left.
    class Reservation {
    public:
        Reservation() = default;
        Reservation(Reservation&& other) noexcept;
        Reservation& operator=(Reservation&&) = delete;
        ~Reservation();
        explicit operator bool() const { return m_shares != nullptr; }

    private:
        friend class ThreadShares;
        Reservation(ThreadShares& shares, WorkKind kind);
        ThreadShares* m_shares { nullptr };
        WorkKind m_kind;
    };

    [[nodiscard]] Reservation tryReserve(const WorkKind& kind);

private:
    void release(const WorkKind& kind);

    const std::size_t m_threads;
    std::mutex m_mutex;
    std::size_t m_kinds { 1 };
    std::size_t m_inUse { 0 };
    std::unordered_map<WorkKind, std::size_t> m_perKind;
};

} // namespace rattanrack::node
