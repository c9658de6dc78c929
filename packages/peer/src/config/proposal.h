#pragma once

#include "../exchange_ids.h"
#include "config_patch.h"

namespace rattanrack::peer {

/// Commits one operator's change of the configuration to the table. Reads first, so that a change that was accepted
/// earlier, but whose response was lost, is found by its attempt id. Then commits, and reads back until the outcome is
/// certain.
class Proposal {
public:
    Proposal(ConfigProposal proposal, TimePoint now);

    /// Adds the next request when it is due.
    void tick(TimePoint now, const ConfigDocument& inForce, ExchangeIds& ids, TableRequests& requests);

    /// Returns whether the response belongs to this proposal.
    bool onResponse(const TableResponse& response, TimePoint now);

    /// The outcome once it is known or the timeout has passed, else nullopt. After a conflict, `inForce` is reported as
    /// the configuration that was accepted first.
    std::optional<ProposalOutcome> outcome(TimePoint now, const ConfigDocument& inForce) const;

    /// The configuration of this proposal, once it is known to be accepted.
    const std::optional<ConfigDocument>& accepted() const { return m_accepted; }

private:
    void read(TimePoint now, ExchangeIds& ids, TableRequests& requests);
    void commit(TimePoint now, const ConfigDocument& inForce, ExchangeIds& ids, TableRequests& requests);
    void onRows(const platform::Rows& rows);
    void onNextPatch(const platform::Row& row);
    void onCommit(const platform::CommitOutcome& outcome, TimePoint now);
    void scheduleRetry(TimePoint now);

    ConfigProposal m_proposal;
    Deadline m_deadline;
    Deadline m_nextRequest;
    PendingExchange m_reading;
    PendingExchange m_committing;
    platform::RowVersion m_headRowVersion { 0 };
    ConfigHead m_head;
    bool m_isHeadCurrent { false }; ///< The head has been read since the last commit.
    bool m_mayTakeEffect { false }; ///< A commit without a known outcome may have taken effect or may do so later.
    bool m_isRefused { false };
    bool m_isConflict { false };
    std::optional<ConfigDocument> m_accepted;
};

} // namespace rattanrack::peer
