#pragma once

#include "rattanrack/base/metrics.h"
#include "rattanrack/node/control_loop.h"
#include "rattanrack/node/table_runner.h"
#include "rattanrack/peer/config_distribution.h"
#include "rattanrack/peer/duties.h"
#include "rattanrack/peer/membership.h"
#include "rattanrack/peer/peer_network.h"

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace rattanrack::node {

/// Callbacks of the coordination service; always called on the control thread.
struct CoordinationEvents {
    std::function<void(const peer::ConfigDocument&)> onConfiguration;
    std::function<void(const std::vector<NodeId>& live)> onMembers; ///< Live nodes, this one included.
    std::function<void(const peer::DutyName&, const NodeId& holder, platform::RowVersion term)> onDuty;
    std::function<void(const policy::CreditAsk&)> onCreditAsk;
    std::function<void(const policy::CreditGrant&)> onCreditGrant;
    std::function<void(const peer::ClaimRequest&)> onClaimRequest;
    std::function<void(const peer::ClaimReply&)> onClaimReply;
    std::function<void(const peer::AnswerQuery&)> onAnswerQuery;
    std::function<void(const peer::AnswerReply&)> onAnswerReply;
};

/// Membership, duties and distribution of the configuration, fed by the peer network and the table. All methods must be
/// called on the control thread.
class CoordinationService {
public:
    struct Parts {
        ControlLoop& control;
        const Clock& clock;
        Metrics& metrics;
        TableRunner& table;
        peer::MembershipSettings membership;
        CoordinationEvents events;
    };

    explicit CoordinationService(Parts parts);

    /// Starts to send and receive through `network`, which must outlive the last call of this object.
    void start(peer::PeerNetwork& network);

    void receive(const peer::Message& message);

    /// Duties of the federation; the same on every node that has the same configuration in force.
    void setDuties(std::vector<peer::DutyName> names);

    const DataCenterId& dataCenter() const { return m_parts.membership.dataCenter; }
    void setDigest(const peer::NodeDigest& digest) { m_membership.setDigest(digest); }

    using OnProposal = std::function<void(const peer::ProposalOutcome&)>;
    /// Starts a change of the configuration; `onOutcome` is called once.
    void propose(peer::ConfigProposal proposal, OnProposal onOutcome);

    /// Sends a message to a node; drops the message if the node is unknown.
    void send(const NodeId& node, peer::Message message);

    /// Whether the node is known and not gone.
    bool isMember(const NodeId& node) const { return m_addresses.contains(node); }

    const peer::ConfigDocument& configuration() const { return m_config.inForce(); }
    peer::LivenessView liveness() const { return m_membership.liveness(); }
    const peer::Duties& duties() const { return m_duties; }

    /// Starts a graceful leave: announces it to peers and hands duties over.
    void leave();
    bool hasHandedOver() const { return m_duties.heldCount() == 0; }

    /// Removes this node's row; the last step of a leave.
    void removeRow();

private:
    void tick();
    void apply(peer::MembershipOutput output);
    void apply(peer::DutiesOutput output);
    void apply(peer::ConfigDistributionOutput output);
    void onMemberChanged(const peer::MemberChange& change);
    void publishMembers();
    void publishDuties();

    void received(const peer::Heartbeat&);
    void received(const peer::ConfigAnnouncement&);
    void received(const peer::CreditAskMessage& message) { m_parts.events.onCreditAsk(message.ask); }
    void received(const peer::CreditGrantMessage& message) { m_parts.events.onCreditGrant(message.grant); }
    void received(const peer::ClaimRequest& message) { m_parts.events.onClaimRequest(message); }
    void received(const peer::ClaimReply& message) { m_parts.events.onClaimReply(message); }
    void received(const peer::AnswerQuery& message) { m_parts.events.onAnswerQuery(message); }
    void received(const peer::AnswerReply& message) { m_parts.events.onAnswerReply(message); }
    // Only nodes of a federation that runs jobs send each other these messages.
    void received(const jobs::NodeAnnouncement&) { }
    void received(const peer::JobCall&) { }
    void received(const peer::JobReply&) { }
    void received(const peer::StoreCall&) { }
    void received(const peer::StoreReply&) { }

    Parts m_parts;
    peer::Membership m_membership;
    peer::Duties m_duties;
    peer::ConfigDistribution m_config;
    peer::PeerNetwork* m_network { nullptr };
    std::unordered_map<NodeId, std::string> m_addresses;
    std::vector<NodeId> m_publishedMembers;
    std::vector<peer::DutyName> m_dutyNames;
    std::map<peer::DutyName, std::pair<NodeId, platform::RowVersion>> m_publishedDuties;
    std::map<std::string, std::vector<OnProposal>> m_proposals;
};

} // namespace rattanrack::node
