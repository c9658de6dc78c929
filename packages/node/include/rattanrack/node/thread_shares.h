#pragma once

#include "rattanrack/base/ids.h"

#include <cstddef>
#include <mutex>
#include <unordered_map>

namespace rattanrack::node {

/// Shares the threads that serve callers among kinds of work. A kind below its fair share always gets a thread. A kind
/// above it gets one only while enough threads are left for the others, so that an overload in one kind does not starve
/// the other kinds. Thread-safe.
class ThreadShares {
public:
    /// `threads`: total number, at least 4.
    explicit ThreadShares(std::size_t threads);

    /// Sets the number of kinds of work that share the threads.
    void setKinds(std::size_t count);

    /// Reserves a thread for a kind of work during its lifetime; converts to false if none was available.
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
    std::size_t m_reservedThreads { 0 };
    std::unordered_map<WorkKind, std::size_t> m_reservedPerKind;
};

} // namespace rattanrack::node
