#pragma once

#include "rattanrack/base/ids.h"
#include "rattanrack/base/time.h"
#include "rattanrack/peer/messages.h"
#include "rattanrack/peer/table_exchange.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// Distributes each accepted configuration to all nodes. A configuration is accepted when one transaction, conditional
/// on the version of the row "config/head", has written its version to "config/head", its document to
/// "config/<version>" and its difference from the previous version to "config_patch/<version>". Nodes that have the
/// previous version read only the difference.
namespace rattanrack::peer {

constexpr const char* configHeadKey = "config/head";
constexpr Duration headPollPeriod = std::chrono::seconds { 1 };
/// Minimum time between announcements of one version to a peer.
constexpr Duration announcementInterval = std::chrono::seconds { 1 };
/// The outcome of a proposal is reported after this time at the latest.
constexpr Duration proposalTimeout = std::chrono::seconds { 10 };
constexpr std::uint64_t retainedVersions = 16; ///< Documents that stay in the table; older ones are removed.
constexpr std::size_t maxProposals = 64; ///< Open at one time; further proposals get the outcome Unavailable.

/// The row "config/head".
struct ConfigHead {
    std::uint64_t version { 0 }; ///< Of the configuration; each change increments it by one.
    std::string attempt; ///< Id of the operator's change.
    OperatorId author;
};

/// A configuration and its version. Version 0: no configuration.
struct ConfigDocument {
    std::uint64_t version { 0 };
    std::string text;

    friend bool operator==(const ConfigDocument&, const ConfigDocument&) = default;
};

/// An operator's change of the configuration.
struct ConfigProposal {
    std::string attempt; ///< Unique id; a retry after a lost response has the same one.
    OperatorId author;
    std::uint64_t basedOn { 0 }; ///< Version that the change was made from; 0 for the first configuration.
    std::string text; ///< The whole configuration, merged and validated.
};

enum class ProposalStatus : std::uint8_t {
    Accepted, ///< Durable; comes into force on all nodes.
    Conflict, ///< Another change was accepted first; see `current`.
    Refused, ///< The table rejected the change as too large.
    Unavailable, ///< Nothing was written; the change may be proposed again.
    Unknown, ///< May have been accepted; propose again with the same attempt.
};

struct ProposalOutcome {
    std::string attempt;
    ProposalStatus status { ProposalStatus::Unavailable };
    /// The accepted configuration, or the one that was accepted first; version 0 when not known.
    ConfigDocument current;
    OperatorId author; ///< Of `current`, when it was read from the table.
};

struct ConfigDistributionOutput {
    std::optional<ConfigDocument> inForce; ///< A newer version to put into force now.
    std::vector<ProposalOutcome> outcomes;
    std::vector<std::pair<std::string, ConfigAnnouncement>> announcements; ///< Address and message.
    TableRequests requests;
};

/// Distribution of the configuration on one node: a state machine without I/O and without a clock. Not thread-safe.
///
///     auto output = distribution.propose({ attempt, author, basedOn, text }, now);
///     if (output.inForce)
///         apply(*output.inForce);
class ConfigDistribution {
public:
    /// `address`: "ip:port" at which this node accepts peer messages.
    ConfigDistribution(std::string address, std::uint32_t randomSeed, TimePoint now);
    ~ConfigDistribution();
    ConfigDistribution(ConfigDistribution&&) noexcept;
    ConfigDistribution& operator=(ConfigDistribution&&) noexcept;

    /// Polls the table for a newer version and advances open proposals. Call at least every 250 ms.
    ConfigDistributionOutput tick(TimePoint now);

    /// Processes the response to a request of an earlier output.
    ConfigDistributionOutput onResponse(const TableResponse& response, TimePoint now);

    /// Sends the configuration to a peer whose heartbeat reports an older one, and requests it from a peer with a newer
    /// one.
    ConfigDistributionOutput onHeartbeat(const Heartbeat& heartbeat, TimePoint now);

    /// Puts a newer configuration into force; sends the configuration to a peer whose message requests it.
    ConfigDistributionOutput onAnnouncement(const ConfigAnnouncement& announcement, TimePoint now);

    /// Starts to commit a change. Its outcome is part of this or a later output, after `proposalTimeout` at the latest.
    ConfigDistributionOutput propose(ConfigProposal proposal, TimePoint now);

    /// The configuration in force; version 0 while there is none.
    const ConfigDocument& inForce() const;

    /// Whether a configuration is in force and, until this has been true once, no peer is known to have a newer one.
    bool isReady() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Key of the document of a version.
std::string configDocumentKey(std::uint64_t version);

/// Key of the difference between a version and the previous one.
std::string configPatchKey(std::uint64_t version);

} // namespace rattanrack::peer
