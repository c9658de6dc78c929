#pragma once

#include "../exchange_ids.h"
#include "config_patch.h"

namespace rattanrack::peer {

/// One operator's change on its way into the table. Reads first, so that a proposal that was accepted before, its
/// answer lost, is found by its attempt id; then commits, and reads back until the outcome is certain.
class Proposal {
public:
    Proposal(ConfigProposal proposal, TimePoint now);

    /// Sends what is due.
    void tick(TimePoint now, const ConfigDocument& inForce, ExchangeIds& ids, TableRequests& requests);

    /// True when the answer was meant for this proposal.
    bool onResponse(const TableResponse& answer, TimePoint now);

    /// The outcome once it is known or the time is up; `inForce` supplies the configuration that came first.
    std::optional<ProposalOutcome> outcome(TimePoint now, const ConfigDocument& inForce) const;

    /// The configuration that was accepted, when this proposal's commit took effect.
    const std::optional<ConfigDocument>& accepted() const { return m_accepted; }

private:
    void read(TimePoint now, ExchangeIds& ids, TableRequests& requests);
    void commit(TimePoint now, const ConfigDocument& inForce, ExchangeIds& ids, TableRequests& requests);
    void onRows(const platform::Rows& rows);
    void onSuccessor(const platform::Row& row);
    void onCommit(const platform::CommitOutcome& outcome, TimePoint now);
    void pause(TimePoint now);

    ConfigProposal m_proposal;
    Deadline m_deadline;
    Deadline m_next;
    PendingExchange m_reading;
    PendingExchange m_committing;
    platform::RowVersion m_headRowVersion { 0 };
    ConfigHead m_head;
    bool m_isHeadCurrent { false }; ///< Since the last commit.
    bool m_mayTakeEffect { false }; ///< A commit may still take effect.
    bool m_isRefused { false };
    bool m_isConflict { false };
    std::optional<ConfigDocument> m_accepted;
};

} // namespace rattanrack::peer
