#include "commands.h"

#include "config_commands.h"

#include <algorithm>

namespace rattanrack::cli {

namespace {

constexpr Duration pollInterval = std::chrono::milliseconds { 200 };

/// Brings one proposal to a certain end: accepted, or lost to another change.
class Proposer {
public:
    Proposer(Context& context, ConfigProposal proposal, Deadline deadline)
        : m_context(context)
        , m_proposal(std::move(proposal))
        , m_deadline(deadline)
    {
    }

    /// Errors: Unavailable (certainly not accepted), OutcomeUnknown, Refused.
    Result<ConfigVerdict> settle()
    {
        for (;;) {
            std::optional<Error> failure;
            const auto verdict = tryOnce(failure);
            if (verdict)
                return *verdict;
            if (failure->code == ErrorCode::Refused)
                return fail(*failure);
            m_maySent = m_maySent || failure->code != ErrorCode::Unavailable;
            if (m_deadline.hasPassed(m_context.pause.now()))
                return fail(lastWord(*failure));
            m_context.progress << "settling attempt " << m_proposal.attempt << ": " << describe(*failure) << "\n";
            m_context.pause.sleepFor(pollInterval);
        }
    }

private:
    std::optional<ConfigVerdict> tryOnce(std::optional<Error>& failure)
    {
        return handle(
            [&]() -> Result<std::optional<ConfigVerdict>> {
                if (m_maySent) {
                    BOOST_LEAF_AUTO(found, findAttempt());
                    if (found)
                        return found;
                }
                BOOST_LEAF_AUTO(verdict, m_context.client.propose(m_proposal));
                return confirm(verdict);
            },
            [&](const Error& error) {
                failure = error;
                return std::optional<ConfigVerdict> {};
            });
    }

    Result<std::optional<ConfigVerdict>> findAttempt()
    {
        BOOST_LEAF_AUTO(attempt, m_context.client.configAttempt(m_proposal.attempt));
        if (!attempt.isFound)
            return std::optional<ConfigVerdict> {};
        return std::optional<ConfigVerdict> { ConfigAccepted { attempt.version } };
    }

    /// A conflict may be with this very attempt, when an answer was lost on the way to us or to the node.
    Result<std::optional<ConfigVerdict>> confirm(const ConfigVerdict& verdict)
    {
        if (std::holds_alternative<ConfigConflict>(verdict)) {
            BOOST_LEAF_AUTO(found, findAttempt());
            if (found)
                return found;
        }
        return std::optional { verdict };
    }

    Error lastWord(Error error) const
    {
        error.code = m_maySent ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable;
        error.detail += "; attempt " + m_proposal.attempt.value();
        return error;
    }

    Context& m_context;
    ConfigProposal m_proposal;
    Deadline m_deadline;
    bool m_maySent { false }; ///< Some try may have reached the table.
};

struct Spread {
    std::size_t nodes { 0 };
    std::size_t inForce { 0 };
    bool isComplete() const { return nodes > 0 && inForce == nodes; }
};

Spread spreadOf(const FederationStatus& status, std::uint64_t version)
{
    Spread spread;
    for (const NodeStatus& node : status.nodes) {
        if (node.isLeaving)
            continue;
        ++spread.nodes;
        spread.inForce += node.configVersion >= version ? 1 : 0;
    }
    return spread;
}

std::string spreadText(const Spread& spread, std::uint64_t version)
{
    return "version " + std::to_string(version) + " in force at " + std::to_string(spread.inForce) + " of "
        + std::to_string(spread.nodes) + " nodes\n";
}

/// Waits until every node that is not leaving reports `version` or a later one.
Spread waitUntilInForce(Context& context, std::uint64_t version, Deadline deadline)
{
    Spread last;
    for (;;) {
        const Spread now = handle(
            [&]() -> Result<Spread> {
                BOOST_LEAF_AUTO(status, context.client.status());
                return spreadOf(status, version);
            },
            [&](const Error&) {
                return Spread { last.nodes, 0 };
            });
        if (now.inForce != last.inForce || now.nodes != last.nodes)
            context.progress << spreadText(now, version);
        last = now;
        if (last.isComplete() || deadline.hasPassed(context.pause.now()))
            return last;
        context.pause.sleepFor(pollInterval);
    }
}

Outcome acceptedOutcome(Context& context, std::uint64_t version, Deadline deadline)
{
    const Spread spread = waitUntilInForce(context, version, deadline);
    return { spread.isComplete() ? ExitCode::Success : ExitCode::NotInForce, spreadText(spread, version),
        { { "version", version }, { "nodes", spread.nodes }, { "inForce", spread.inForce } } };
}

Result<config::Federation> parseInForce(const ConfigInForce& inForce)
{
    if (inForce.document.empty())
        return config::Federation {};
    return config::parse(inForce.document).result("config.parse_in_force");
}

/// Shows what the winner changed and what would still be different from it.
Result<Outcome> conflictOutcome(
    const config::Federation& known, const config::Federation& wanted, const ConfigInForce& inForce)
{
    BOOST_LEAF_AUTO(winner, parseInForce(inForce));
    const auto theirs = config::diff(known, winner);
    const auto ours = config::diff(winner, wanted);
    const std::string version = std::to_string(inForce.version);
    return Outcome { ExitCode::Conflict,
        "conflict: version " + version + " is in force; nothing was changed\nwhat it changed since:\n"
            + changesText(theirs) + "what this configuration would change in it:\n" + changesText(ours),
        { { "conflict", true }, { "version", inForce.version }, { "theirs", changesJson(theirs) },
            { "ours", changesJson(ours) } } };
}

} // namespace

Result<Outcome> apply(Context& context)
{
    const Deadline deadline = Deadline::after(context.pause.now(), context.invocation.timeout);
    BOOST_LEAF_AUTO(loaded, loadFiles(context.invocation));
    if (!loaded.isValid())
        return validate(context);
    BOOST_LEAF_AUTO(inForce, context.client.config());
    BOOST_LEAF_AUTO(known, parseInForce(inForce));
    const std::uint64_t expected = context.invocation.expectedVersion.value_or(inForce.version);
    if (expected != inForce.version)
        return conflictOutcome(known, loaded.value(), inForce);
    const auto changes = config::diff(known, loaded.value());
    context.progress << changesText(changes);
    if (changes.empty())
        return acceptedOutcome(context, inForce.version, deadline);
    Proposer proposer { context, { serialize(loaded.value()), expected, context.invocation.operatorId, newAttemptId() },
        deadline };
    BOOST_LEAF_AUTO(verdict, proposer.settle());
    if (const auto* const conflict = std::get_if<ConfigConflict>(&verdict))
        return conflictOutcome(known, loaded.value(), conflict->inForce);
    return acceptedOutcome(context, std::get<ConfigAccepted>(verdict).version, deadline);
}

} // namespace rattanrack::cli
