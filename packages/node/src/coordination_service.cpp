#include "rattanrack/node/coordination_service.h"

#include "rattanrack/base/log.h"

#include <algorithm>

namespace rattanrack::node {

namespace {

using namespace std::chrono_literals;

constexpr Duration tickInterval = 200ms;

std::string_view name(peer::MemberEvent event)
{
    constexpr std::string_view names[] = { "joined", "suspected", "recovered", "leaving", "gone" };
    return names[static_cast<std::size_t>(event)];
}

} // namespace

CoordinationService::CoordinationService(Parts parts)
    : m_parts(std::move(parts))
    , m_membership(m_parts.membership, m_parts.clock.now())
    , m_duties({ m_parts.membership.self, {}, m_parts.membership.randomSeed }, m_parts.clock.now())
    , m_config(m_parts.membership.address, m_parts.membership.randomSeed, m_parts.clock.now())
{
}

void CoordinationService::start(peer::PeerNetwork& network)
{
    m_network = &network;
    publishMembers();
    tick();
}

void CoordinationService::tick()
{
    const TimePoint now = m_parts.clock.now();
    m_parts.control.at(Deadline::after(now, tickInterval), [this] { tick(); });
    apply(m_membership.tick(now));
    apply(m_duties.tick(m_membership.liveness(), now));
    apply(m_config.tick(now));
    publishDuties();
    const auto traffic = m_network->traffic();
    m_parts.metrics.setGauge("rattanrack_peer_bytes_sent_total", {}, static_cast<double>(traffic.bytesSent));
    m_parts.metrics.setGauge("rattanrack_peer_bytes_received_total", {}, static_cast<double>(traffic.bytesReceived));
}

void CoordinationService::receive(const peer::Message& message)
{
    // The network receives messages before it is passed to `start`. They can be dropped, since peers repeat their
    // messages.
    if (!m_network)
        return;
    std::visit([this](const auto& each) { received(each); }, message);
}

void CoordinationService::received(const peer::Heartbeat& heartbeat)
{
    const TimePoint now = m_parts.clock.now();
    apply(m_membership.onHeartbeat(heartbeat, now));
    apply(m_config.onHeartbeat(heartbeat, now));
}

void CoordinationService::received(const peer::ConfigAnnouncement& announcement)
{
    apply(m_config.onAnnouncement(announcement, m_parts.clock.now()));
}

void CoordinationService::setDuties(std::vector<peer::DutyName> names)
{
    m_dutyNames = names;
    apply(m_duties.setNames(std::move(names)));
}

void CoordinationService::propose(peer::ConfigProposal proposal, OnProposal onOutcome)
{
    m_proposals[proposal.attempt].push_back(std::move(onOutcome));
    apply(m_config.propose(std::move(proposal), m_parts.clock.now()));
}

void CoordinationService::send(const NodeId& node, peer::Message message)
{
    const auto found = m_addresses.find(node);
    if (found != m_addresses.end() && m_network)
        m_network->send(found->second, std::move(message));
}

void CoordinationService::leave() { m_membership.leave(); }

void CoordinationService::removeRow() { apply(m_membership.removeOwnRow()); }

void CoordinationService::apply(peer::MembershipOutput output)
{
    for (const peer::MemberChange& change : output.changes)
        onMemberChanged(change);
    for (peer::OutgoingMessage& message : output.messages)
        m_network->send(message.address, std::move(message.message));
    m_parts.table.run(std::move(output.requests),
        [this](const peer::TableResponse& answer) { apply(m_membership.onResponse(answer, m_parts.clock.now())); });
    if (output.ownRow == peer::OwnRowEvent::Fenced)
        logEvent("node.fenced", { { "node", m_parts.membership.self.value() } }, LogLevel::Warning);
    if (!output.changes.empty())
        publishMembers();
}

void CoordinationService::onMemberChanged(const peer::MemberChange& change)
{
    logEvent(
        "member." + std::string(name(change.event)), { { "member", change.id.value() }, { "peer", change.address } });
    if (change.event == peer::MemberEvent::Gone) {
        m_addresses.erase(change.id);
        m_network->disconnect(change.address);
    } else {
        m_addresses[change.id] = change.address;
    }
    m_network->setNodeCount(m_addresses.size());
}

void CoordinationService::apply(peer::DutiesOutput output)
{
    for (const peer::DutyChange& change : output.changes)
        logEvent(change.event == peer::DutyEvent::Taken ? "duty.taken" : "duty.lost",
            { { "duty", change.name.value() }, { "term", change.term } });
    m_parts.table.run(std::move(output.requests),
        [this](const peer::TableResponse& answer) { apply(m_duties.onResponse(answer, m_parts.clock.now())); });
    if (!output.changes.empty())
        publishDuties();
}

void CoordinationService::apply(peer::ConfigDistributionOutput output)
{
    for (auto& [address, announcement] : output.announcements)
        m_network->send(address, std::move(announcement));
    m_parts.table.run(std::move(output.requests),
        [this](const peer::TableResponse& answer) { apply(m_config.onResponse(answer, m_parts.clock.now())); });
    if (output.inForce)
        m_parts.events.onConfiguration(*output.inForce);
    for (const peer::ProposalOutcome& outcome : output.outcomes) {
        const auto waiting = m_proposals.extract(outcome.attempt);
        if (waiting.empty())
            continue;
        for (const OnProposal& onOutcome : waiting.mapped())
            onOutcome(outcome);
    }
}

void CoordinationService::publishMembers()
{
    std::vector<NodeId> live = m_membership.liveMembers();
    live.push_back(m_parts.membership.self);
    std::sort(live.begin(), live.end());
    if (live == m_publishedMembers)
        return;
    m_publishedMembers = live;
    m_parts.events.onMembers(live);
}

void CoordinationService::publishDuties()
{
    for (const peer::DutyName& duty : m_dutyNames) {
        const NodeId holder = m_duties.holder(duty);
        const bool isOwnLapsed = holder == m_parts.membership.self && !m_duties.isHeld(duty);
        const std::pair published { isOwnLapsed ? NodeId {} : holder, m_duties.term(duty) };
        const auto known = m_publishedDuties.find(duty);
        if (known != m_publishedDuties.end() && known->second == published)
            continue;
        m_publishedDuties[duty] = published;
        m_parts.events.onDuty(duty, published.first, published.second);
    }
}

} // namespace rattanrack::node
