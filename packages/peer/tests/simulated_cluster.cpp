#include "simulated_cluster.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace rattanrack::peer {

namespace {

constexpr Duration tickPeriod = std::chrono::milliseconds { 200 };
constexpr Duration commitTimeout = std::chrono::seconds { 2 };

} // namespace

SimulatedCluster::SimulatedCluster(std::uint32_t seed, std::vector<DutyName> duties)
    : now(std::chrono::hours { 1 })
    , m_dutyNames(std::move(duties))
    , m_random(seed)
{
}

Duration SimulatedCluster::latency() { return std::chrono::milliseconds { 1 + m_random() % 10 }; }

bool SimulatedCluster::occurs(double probability)
{
    return std::uniform_real_distribution<double> {}(m_random) < probability;
}

void SimulatedCluster::schedule(TimePoint time, std::function<void()> action)
{
    m_events.emplace(std::pair { time, m_nextEvent++ }, std::move(action));
}

SimulatedCluster::Node& SimulatedCluster::start(int index, int region)
{
    const NodeId id { "n" + std::to_string(index) + "." + std::to_string(++m_startCount) };
    const std::string address = "10.0.0." + std::to_string(index) + ":7100";
    std::erase_if(nodes, [&](const auto& entry) { return entry.second.address == address; });
    Node& node = nodes[id];
    node.id = id;
    node.address = address;
    node.region = region;
    const auto seed = static_cast<std::uint32_t>(m_random());
    const std::vector<std::string> seeds { "10.0.0.1:7100", "10.0.0.2:7100", "10.0.0.3:7100" };
    node.membership = std::make_unique<Membership>(
        MembershipSettings { id, address, DataCenterId { "dc" + std::to_string(region) }, seeds, seed }, now);
    node.duties = std::make_unique<Duties>(DutiesSettings { id, m_dutyNames, seed }, now);
    node.config = std::make_unique<ConfigDistribution>(address, seed, now);
    schedule(now + std::chrono::milliseconds { m_random() % 200 }, [this, id] { tick(id); });
    return node;
}

void SimulatedCluster::kill(const NodeId& id) { nodes.erase(id); }

void SimulatedCluster::pause(const NodeId& id)
{
    const auto found = nodes.find(id);
    if (found != nodes.end())
        found->second.isPaused = true;
}

void SimulatedCluster::resume(const NodeId& id, Backlog backlog)
{
    const auto found = nodes.find(id);
    if (found == nodes.end() || !found->second.isPaused)
        return;
    found->second.isPaused = false;
    const auto deferred = std::exchange(found->second.deferred, {});
    if (backlog == Backlog::Dropped)
        return;
    for (const auto& action : deferred)
        action();
}

void SimulatedCluster::run(Duration duration)
{
    const TimePoint end = now + duration;
    while (!m_events.empty() && m_events.begin()->first.first <= end) {
        auto event = m_events.extract(m_events.begin());
        now = std::max(now, event.key().first);
        event.mapped()();
    }
    now = end;
}

void SimulatedCluster::deliver(const NodeId& id, const std::function<void(Node&)>& action)
{
    const auto found = nodes.find(id);
    if (found == nodes.end())
        return;
    if (found->second.isPaused)
        found->second.deferred.emplace_back([this, id, action] { deliver(id, action); });
    else
        action(found->second);
}

void SimulatedCluster::tick(const NodeId& id)
{
    const auto found = nodes.find(id);
    if (found == nodes.end())
        return;
    schedule(now + tickPeriod, [this, id] { tick(id); });
    Node& node = found->second;
    if (node.isPaused)
        return;
    node.membership->setDigest({ node.config->inForce().version, 0, 0 });
    handleOutput(node, node.membership->tick(now));
    if (!m_dutyNames.empty())
        handleOutput(node, node.duties->tick(node.membership->liveness(), now));
    handleOutput(node, node.config->tick(now));
}

void SimulatedCluster::handleOutput(Node& node, MembershipOutput output)
{
    node.changes.insert(node.changes.end(), output.changes.begin(), output.changes.end());
    node.fenceCount += output.ownRow == OwnRowEvent::Fenced ? 1 : 0;
    for (OutgoingMessage& message : output.messages)
        send(node, message.address, std::move(message.message));
    request(node, &Node::membership, output.requests);
}

void SimulatedCluster::handleOutput(Node& node, const DutiesOutput& output)
{
    for (const DutyChange& change : output.changes) {
        if (change.event == DutyEvent::Taken)
            EXPECT_TRUE(node.taken.insert(change.name).second);
        else
            EXPECT_EQ(1U, node.taken.erase(change.name));
    }
    request(node, &Node::duties, output.requests);
}

void SimulatedCluster::handleOutput(Node& node, ConfigDistributionOutput output)
{
    if (output.inForce) {
        EXPECT_GT(output.inForce->version, node.highestConfigVersion) << "an older configuration came into force";
        node.highestConfigVersion = output.inForce->version;
    }
    node.outcomes.insert(node.outcomes.end(), output.outcomes.begin(), output.outcomes.end());
    for (auto& [address, announcement] : output.announcements)
        send(node, address, std::move(announcement));
    request(node, &Node::config, output.requests);
}

template <typename Core> void SimulatedCluster::request(Node& node, Core Node::*core, const TableRequests& requests)
{
    for (const TableRequest& request : requests) {
        if (const auto* rows = std::get_if<CommitRows>(&request)) {
            ++counts["commit"];
            commit(node.id, core, *rows);
            continue;
        }
        const auto* read = std::get_if<ReadRows>(&request);
        const auto* scan = std::get_if<ScanRows>(&request);
        RowsResponse rows { read ? read->exchange : scan->exchange, std::nullopt };
        ++counts[read ? "read" : "scan"];
        if (!faults.isTableDown && !node.isPartitionedFromTable && !occurs(faults.responseLossRate))
            rows.rows = read ? table.read(read->keys) : table.scan(scan->prefix, scan->newerThan);
        const bool isDelayed = occurs(faults.responseLossRate);
        respond(node.id, core, std::move(rows), isDelayed ? commitTimeout * 2 : latency());
    }
}

void SimulatedCluster::recordConfiguration(const platform::Transaction& transaction)
{
    for (const platform::Write& write : transaction.writes) {
        if (!write.key.starts_with("config_patch/") || !write.value)
            continue;
        const auto json = nlohmann::json::parse(*write.value);
        const bool isNew = accepted.emplace(json.at("attempt"), json.at("version")).second;
        EXPECT_TRUE(isNew) << "one attempt was accepted twice";
    }
}

/// The holders, before the transaction, of the duties that it writes.
std::map<std::string, std::string> SimulatedCluster::dutyHolders(const platform::Transaction& transaction) const
{
    std::map<std::string, std::string> holders;
    for (const platform::Write& write : transaction.writes) {
        const auto row = table.rows().find(write.key);
        if (write.key.starts_with(dutyRowPrefix) && row != table.rows().end())
            holders[write.key] = nlohmann::json::parse(row->second.value).at("holder");
    }
    return holders;
}

platform::CommitOutcome SimulatedCluster::apply(const platform::Transaction& transaction)
{
    const auto holders = dutyHolders(transaction);
    auto outcome = table.commit(transaction);
    if (outcome.status != platform::CommitStatus::Done)
        return outcome;
    recordConfiguration(transaction);
    for (const platform::Write& write : transaction.writes) {
        const auto before = holders.find(write.key);
        if (before == holders.end())
            continue;
        const std::string attempt = nlohmann::json::parse(*write.value).at("attempt");
        const bool isHandover = attempt.starts_with(before->second + '#');
        const auto nodeRow = table.read({ nodeRowPrefix + before->second });
        const bool isDead = nodeRow.empty() || nlohmann::json::parse(nodeRow[0].value).value("fenced", false);
        EXPECT_TRUE(isHandover || isDead) << write.key << " taken from " << before->second << ", which is not fenced";
    }
    return outcome;
}

template <typename Core> void SimulatedCluster::commit(const NodeId& id, Core Node::*core, const CommitRows& request)
{
    if (faults.isTableDown || nodes.at(id).isPartitionedFromTable) {
        respond(id, core, CommitResponse { request.exchange, {} }, latency());
        return;
    }
    if (!occurs(faults.responseLossRate)) {
        schedule(now + latency(), [this, id, core, request] {
            respond(id, core, CommitResponse { request.exchange, apply(request.transaction) }, latency());
        });
        return;
    }
    // The response is lost. The write takes effect at once, late or never.
    if (occurs(0.7))
        schedule(now + (occurs(0.5) ? latency() : commitTimeout * 3),
            [this, request] { static_cast<void>(apply(request.transaction)); });
    const platform::CommitOutcome unknown { platform::CommitStatus::Unknown, 0, "" };
    if (occurs(0.8))
        respond(id, core, CommitResponse { request.exchange, unknown }, commitTimeout);
}

template <typename Core>
void SimulatedCluster::respond(const NodeId& id, Core Node::*core, TableResponse response, Duration delay)
{
    schedule(now + delay, [this, id, core, response = std::move(response)] {
        deliver(
            id, [this, core, response](Node& node) { handleOutput(node, (node.*core)->onResponse(response, now)); });
    });
}

void SimulatedCluster::send(Node& from, const std::string& address, Message message)
{
    ++counts["message"];
    if (occurs(faults.messageLossRate))
        return;
    schedule(now + latency(), [this, region = from.region, address, message = std::move(message)] {
        for (auto& [id, node] : nodes) {
            if (node.address != address || (faults.areRegionsPartitioned && node.region != region))
                continue;
            deliver(id, [this, message](Node& target) {
                if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
                    handleOutput(target, target.membership->onHeartbeat(*heartbeat, now));
                    handleOutput(target, target.config->onHeartbeat(*heartbeat, now));
                } else if (const auto* announcement = std::get_if<ConfigAnnouncement>(&message)) {
                    handleOutput(target, target.config->onAnnouncement(*announcement, now));
                }
            });
            return;
        }
    });
}

bool SimulatedCluster::guardedWrite(const NodeId& writer, const DutyName& name, const platform::Condition& guard)
{
    const platform::Transaction transaction { { guard }, { { "work/" + name.value(), writer.value() } } };
    const auto stored = table.read({ guard.key });
    if (table.commit(transaction).status != platform::CommitStatus::Done)
        return false;
    const std::string holder = nlohmann::json::parse(stored.at(0).value).at("holder");
    EXPECT_EQ(holder, writer.value()) << "a guarded write by a node that does not hold " << name;
    const auto [first, isFirst] = m_writers.emplace(std::pair { guard.key, guard.version }, writer);
    EXPECT_EQ(first->second, writer) << "two nodes wrote in one term of " << name;
    return true;
}

void SimulatedCluster::propose(Node& node, ConfigProposal proposal)
{
    handleOutput(node, node.config->propose(std::move(proposal), now));
}

} // namespace rattanrack::peer
