#pragma once

#include "rattanrack/base/time.h"
#include "rattanrack/peer/table_exchange.h"

namespace rattanrack::peer {

/// Generates exchange ids.
class ExchangeIds {
public:
    ExchangeId next() { return ++m_last; }

private:
    ExchangeId m_last { 0 };
};

/// A request to the table that waits for its response. Once its deadline has passed, the request is overdue, and its
/// response counts as lost.
class PendingExchange {
public:
    void begin(ExchangeId id, TimePoint now, Duration timeout)
    {
        m_id = id;
        m_sentAt = now;
        m_deadline = Deadline::after(now, timeout);
    }
    void end() { m_id = 0; }
    ExchangeId id() const { return m_id; }
    bool isOpen() const { return m_id != 0; }
    bool isOverdue(TimePoint now) const { return isOpen() && m_deadline.hasPassed(now); }
    bool matches(ExchangeId id) const { return isOpen() && m_id == id; }
    TimePoint sentAt() const { return m_sentAt; }

private:
    ExchangeId m_id { 0 };
    TimePoint m_sentAt;
    Deadline m_deadline;
};

} // namespace rattanrack::peer
