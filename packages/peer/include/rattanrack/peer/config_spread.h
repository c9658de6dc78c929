#pragma once

#include "rattanrack/base/ids.h"
#include "rattanrack/base/time.h"
#include "rattanrack/peer/messages.h"
#include "rattanrack/peer/table_exchange.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Brings each accepted configuration into force on every node. Accepted means: "config/head" names its version and
/// "config/<version>" holds its document, written in one transaction that compares and sets the head.
namespace rattanrack::peer {

constexpr const char* configHeadKey = "config/head";
constexpr Duration headPollPeriod = std::chrono::seconds { 1 };
constexpr Duration announcePause = std::chrono::seconds { 1 }; ///< Between two announcements to one peer.

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
    ConfigDocument current; ///< In force when known: the accepted one, or the one that came first.
    OperatorId author; ///< Of `current`, when it came from the table.
};

struct ConfigSpreadOutput {
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
class ConfigSpread {
public:
    explicit ConfigSpread(std::uint32_t randomSeed);
    ~ConfigSpread();
    ConfigSpread(ConfigSpread&&) noexcept;
    ConfigSpread& operator=(ConfigSpread&&) noexcept;

    /// Call at least every 250 ms.
    ConfigSpreadOutput tick(TimePoint now);
    ConfigSpreadOutput onAnswer(const TableAnswer& answer, TimePoint now);

    /// Sends the configuration to a peer whose heartbeat reports an older one.
    ConfigSpreadOutput onHeartbeat(const Heartbeat& heartbeat, TimePoint now);
    ConfigSpreadOutput onAnnouncement(const ConfigAnnouncement& announcement, TimePoint now);

    /// Starts a change; the outcome follows in a later output, within some seconds.
    ConfigSpreadOutput propose(ConfigProposal proposal, TimePoint now);

    /// The configuration in force; version 0 until there is one. A node is not ready before.
    const ConfigDocument& inForce() const;
    bool isReady() const { return inForce().version != 0; }

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Key of the document of a version.
std::string configDocumentKey(std::uint64_t version);

} // namespace rattanrack::peer
