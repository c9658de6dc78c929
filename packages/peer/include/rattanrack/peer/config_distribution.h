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

/// Brings each accepted configuration into force on every node. Accepted means: "config/head" names its version,
/// "config/<version>" holds its document and "config_patch/<version>" its difference from the one before, all written
/// in one transaction that compares and sets the head. Nodes that have the version before read only the difference.
namespace rattanrack::peer {

constexpr const char* configHeadKey = "config/head";
constexpr Duration headPollPeriod = std::chrono::seconds { 1 };
constexpr Duration announcementInterval
    = std::chrono::seconds { 1 }; ///< Between two announcements of one version to a peer.
constexpr Duration proposalTimeout = std::chrono::seconds { 10 }; ///< After this an open proposal's outcome is given.
constexpr std::uint64_t retainedVersions = 16; ///< Documents kept in the table.
constexpr std::size_t maxProposals = 64; ///< Open at one time; more are told Unavailable.

/// The row "config/head".
struct ConfigHead {
    std::uint64_t version { 0 }; ///< Of the configuration, one above that of its predecessor.
    std::string attempt; ///< Of the operator's change.
    OperatorId author;
};

/// A configuration with its version. Version 0 stands for none.
struct ConfigDocument {
    std::uint64_t version { 0 };
    std::string text;

    friend bool operator==(const ConfigDocument&, const ConfigDocument&) = default;
};

/// An operator's change of the configuration.
struct ConfigProposal {
    std::string attempt; ///< Unique; the same when the operator asks again after a lost answer.
    OperatorId author;
    std::uint64_t basedOn { 0 }; ///< Version that the operator has seen; 0 for the first.
    std::string text; ///< Merged and validated.
};

enum class ProposalStatus : std::uint8_t {
    Accepted, ///< Durable: it comes into force everywhere.
    Conflict, ///< Somebody else's change came first; see `current`.
    Refused, ///< The table does not take it (too large).
    Unavailable, ///< Nothing was written. Ask again.
    Unknown, ///< May have been accepted. Ask again with the same attempt.
};

struct ProposalOutcome {
    std::string attempt;
    ProposalStatus status { ProposalStatus::Unavailable };
    ConfigDocument current; ///< The accepted one, or the one that came first; version 0 when not known.
    OperatorId author; ///< Of `current`, when the table gave it.
};

struct ConfigDistributionOutput {
    std::optional<ConfigDocument> inForce; ///< A newer version to put into force now.
    std::vector<ProposalOutcome> outcomes;
    std::vector<std::pair<std::string, ConfigAnnouncement>> announcements; ///< Address and message.
    TableRequests requests;
};

/// One node's part in spreading the configuration. Pure: no I/O, no clock. Not thread-safe.
///
///     auto output = spread.propose({ attempt, author, basedOn, text }, now);
///     if (output.inForce)
///         apply(*output.inForce);
class ConfigDistribution {
public:
    /// `address` is where this node takes peer messages.
    ConfigDistribution(std::string address, std::uint32_t randomSeed, TimePoint now);
    ~ConfigDistribution();
    ConfigDistribution(ConfigDistribution&&) noexcept;
    ConfigDistribution& operator=(ConfigDistribution&&) noexcept;

    /// Call at least every 250 ms.
    ConfigDistributionOutput tick(TimePoint now);
    ConfigDistributionOutput onResponse(const TableResponse& answer, TimePoint now);

    /// Sends the configuration to a peer whose heartbeat reports an older one.
    ConfigDistributionOutput onHeartbeat(const Heartbeat& heartbeat, TimePoint now);
    ConfigDistributionOutput onAnnouncement(const ConfigAnnouncement& announcement, TimePoint now);

    /// Starts a change; the outcome follows in a later output, within some seconds.
    ConfigDistributionOutput propose(ConfigProposal proposal, TimePoint now);

    /// The configuration in force; version 0 until there is one. A node is not ready before.
    const ConfigDocument& inForce() const;

    /// Whether there is one, and at the start also whether no peer is known to have a newer one.
    bool isReady() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Key of the document of a version.
std::string configDocumentKey(std::uint64_t version);

/// Key of its difference from the version before.
std::string configPatchKey(std::uint64_t version);

} // namespace rattanrack::peer
