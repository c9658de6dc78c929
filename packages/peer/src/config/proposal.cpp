#include "proposal.h"

#include <algorithm>

namespace rattanrack::peer {

namespace {

constexpr Duration retryDelay = std::chrono::milliseconds { 500 };

template <typename Decoded>
Decoded decodeOrDefault(Result<Decoded> (*decode)(const platform::Row&), const platform::Row& row)
{
    return handle([&] { return decode(row); }, [](const Error&) { return Decoded {}; });
}

} // namespace

Proposal::Proposal(ConfigProposal proposal, TimePoint now)
    : m_proposal(std::move(proposal))
    , m_deadline(Deadline::after(now, proposalTimeout))
    , m_nextRequest(now)
{
}

void Proposal::tick(TimePoint now, const ConfigDocument& inForce, ExchangeIds& ids, TableRequests& requests)
{
    if (m_committing.isOverdue(now)) {
        m_committing.end();
        m_mayTakeEffect = true;
    }
    if (m_reading.isOverdue(now))
        m_reading.end();
    const bool isBusy = m_committing.isOpen() || m_reading.isOpen() || !m_nextRequest.hasPassed(now);
    if (isBusy || m_accepted || m_isConflict || m_isRefused)
        return;
    if (!m_isHeadCurrent)
        read(now, ids, requests);
    else if (inForce.version == m_proposal.basedOn)
        commit(now, inForce, ids, requests);
}

void Proposal::read(TimePoint now, ExchangeIds& ids, TableRequests& requests)
{
    m_reading.begin(ids.next(), now, tableTimeout);
    requests.emplace_back(ReadRows { m_reading.id(), { configHeadKey, configPatchKey(m_proposal.basedOn + 1) } });
}

void Proposal::commit(TimePoint now, const ConfigDocument& inForce, ExchangeIds& ids, TableRequests& requests)
{
    const ConfigDocument document { m_proposal.basedOn + 1, m_proposal.text };
    ConfigPatch patch = makePatch(inForce.text, document);
    patch.attempt = m_proposal.attempt;
    patch.author = m_proposal.author;
    platform::Transaction transaction;
    transaction.conditions.push_back({ configHeadKey, m_headRowVersion });
    transaction.writes.push_back(
        { configHeadKey, encodeHead({ document.version, m_proposal.attempt, m_proposal.author }) });
    transaction.writes.push_back({ configDocumentKey(document.version), document.text });
    transaction.writes.push_back({ configPatchKey(document.version), encodePatch(patch) });
    if (document.version > retainedVersions) {
        transaction.writes.push_back({ configDocumentKey(document.version - retainedVersions), std::nullopt });
        transaction.writes.push_back({ configPatchKey(document.version - retainedVersions), std::nullopt });
    }
    m_isHeadCurrent = false;
    m_committing.begin(ids.next(), now, tableTimeout);
    requests.emplace_back(CommitRows { m_committing.id(), std::move(transaction) });
}

bool Proposal::onResponse(const TableResponse& response, TimePoint now)
{
    if (const auto* commit = std::get_if<CommitResponse>(&response); commit && m_committing.matches(commit->exchange)) {
        m_committing.end();
        onCommit(commit->outcome, now);
        return true;
    }
    if (const auto* rows = std::get_if<RowsResponse>(&response); rows && m_reading.matches(rows->exchange)) {
        m_reading.end();
        if (rows->rows)
            onRows(*rows->rows);
        else
            scheduleRetry(now);
        return true;
    }
    return false;
}

void Proposal::onRows(const platform::Rows& rows)
{
    m_isHeadCurrent = true;
    m_headRowVersion = 0;
    m_head = {};
    for (const platform::Row& row : rows) {
        if (row.key == configHeadKey) {
            m_headRowVersion = row.version;
            m_head = decodeOrDefault(decodeHead, row);
        } else {
            onNextPatch(row);
        }
    }
    if (!m_accepted && m_head.version != m_proposal.basedOn)
        m_isConflict = true;
}

void Proposal::onNextPatch(const platform::Row& row)
{
    if (decodeOrDefault(decodePatch, row).attempt == m_proposal.attempt)
        m_accepted = ConfigDocument { m_proposal.basedOn + 1, m_proposal.text };
}

void Proposal::onCommit(const platform::CommitOutcome& outcome, TimePoint now)
{
    switch (outcome.status) {
    case platform::CommitStatus::Done:
        m_accepted = ConfigDocument { m_proposal.basedOn + 1, m_proposal.text };
        return;
    case platform::CommitStatus::Unknown:
        m_mayTakeEffect = true;
        return;
    case platform::CommitStatus::Conflict:
        return;
    case platform::CommitStatus::Refused:
        m_isRefused = true;
        return;
    case platform::CommitStatus::Unavailable:
        scheduleRetry(now);
        return;
    }
}

void Proposal::scheduleRetry(TimePoint now) { m_nextRequest = Deadline::after(now, retryDelay); }

std::optional<ProposalOutcome> Proposal::outcome(TimePoint now, const ConfigDocument& inForce) const
{
    if (m_accepted)
        return ProposalOutcome { m_proposal.attempt, ProposalStatus::Accepted, *m_accepted, m_proposal.author };
    const bool hasTimedOut = m_deadline.hasPassed(now);
    if (m_isConflict && (hasTimedOut || inForce.version >= m_head.version)) {
        const bool isKnown = inForce.version >= m_head.version;
        return ProposalOutcome { m_proposal.attempt, ProposalStatus::Conflict, isKnown ? inForce : ConfigDocument {},
            m_head.author };
    }
    if (m_isRefused)
        return ProposalOutcome { m_proposal.attempt,
            m_mayTakeEffect ? ProposalStatus::Unknown : ProposalStatus::Refused, inForce, {} };
    if (!hasTimedOut)
        return std::nullopt;
    const bool isUncertain = m_mayTakeEffect || m_committing.isOpen();
    return ProposalOutcome { m_proposal.attempt, isUncertain ? ProposalStatus::Unknown : ProposalStatus::Unavailable,
        inForce, {} };
}

} // namespace rattanrack::peer
