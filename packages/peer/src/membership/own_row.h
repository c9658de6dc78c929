#pragma once

#include "../exchange_ids.h"

#include "rattanrack/peer/membership.h"

#include <random>

namespace rattanrack::peer {

/// Renews this node's row in the table, and detects when another node has fenced it.
class OwnRow {
public:
    OwnRow(const MembershipSettings& settings, TimePoint now);

    void tick(TimePoint now, ExchangeIds& ids, MembershipOutput& output);

    /// Returns whether the response belongs to a request of this object.
    bool onResponse(const TableResponse& response, TimePoint now, ExchangeIds& ids, MembershipOutput& output);

    void leave(TimePoint now);
    void remove(ExchangeIds& ids, MembershipOutput& output);

    Deadline lease() const { return m_lease; }
    bool isLeaving() const { return m_row.isLeaving; }
    bool isRemoved() const { return m_isRemoved; }

private:
    void renew(TimePoint now, ExchangeIds& ids, MembershipOutput& output);
    void readBack(TimePoint now, ExchangeIds& ids, MembershipOutput& output);
    void onCommit(const platform::CommitOutcome& outcome, TimePoint now, ExchangeIds& ids, MembershipOutput& output);
    void onRows(const RowsResponse& response, TimePoint now, MembershipOutput& output);
    void onStoredRow(const platform::Row& stored, TimePoint now, MembershipOutput& output);
    void onRenewed(platform::RowVersion version, MembershipOutput& output);
    void onRowLost(platform::RowVersion version, TimePoint now, MembershipOutput& output);
    void scheduleRetry(TimePoint now);
    Duration jittered(Duration duration);

    NodeRow m_row;
    platform::RowVersion m_version { 0 };
    Deadline m_lease;
    Deadline m_nextRenewal;
    PendingExchange m_commit;
    PendingExchange m_read;
    TimePoint m_renewedAt; ///< When the latest renewal was sent.
    bool m_mustReadBack { false };
    bool m_isRegistered { false };
    bool m_isRemoved { false };
    std::minstd_rand m_random;
};

} // namespace rattanrack::peer
