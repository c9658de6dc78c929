#include "allocations.h"
#include "roles.h"
#include "slope.h"

#include "rattanrack/peer/config_distribution.h"
#include "rattanrack/peer/duties.h"
#include "rattanrack/peer/membership.h"

#include <algorithm>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>

namespace rattanrack::capacity {

namespace {

using namespace peer;

constexpr Duration tickPeriod = std::chrono::milliseconds { 250 };
constexpr Duration settling = std::chrono::seconds { 120 };
constexpr Duration measured = std::chrono::seconds { 120 };
constexpr std::size_t rowFrameBytes = 40; ///< Of one row in a JSON answer, beside key and value.
constexpr std::size_t exchangeFrameBytes = 300; ///< Of one HTTP request and its answer.

struct Node {
    std::string address;
    Membership membership;
    Duties duties;
    ConfigDistribution config;
};

struct Totals {
    double seconds { 0 }; ///< Processor time of the cores.
    std::uint64_t messages { 0 };
    std::uint64_t reads { 0 };
    std::uint64_t writes { 0 };
    std::uint64_t tableBytes { 0 };
};

/// Nodes that share a table in memory; every answer and message arrives within the same tick.
class Federation {
public:
    Federation(int nodes, int duties)
    {
        std::vector<DutyName> names;
        names.reserve(static_cast<std::size_t>(duties));
        for (int i = 0; i < duties; ++i)
            names.push_back(DutyName { "plan/pool-" + std::to_string(i) });
        const std::int64_t before = liveBytes();
        for (int i = 0; i < nodes; ++i)
            addNode(i, names);
        run(settling);
        m_stateBytes = static_cast<double>(liveBytes() - before - tableHeapBytes()) / nodes;
    }

    void run(Duration duration)
    {
        const TimePoint end = m_now + duration;
        for (; m_now < end; m_now += tickPeriod)
            for (auto& [address, node] : m_nodes)
                tick(*node);
    }

    double stateBytes() const { return m_stateBytes; }

    /// An operator's change at the first node; the others follow within the next seconds.
    void propose(const std::string& attempt, std::uint64_t basedOn, const std::string& text)
    {
        Node& node = *m_nodes.begin()->second;
        const ConfigProposal proposal { attempt, OperatorId { "operator" }, basedOn, text };
        carryOut(node, node.config, node.config.propose(proposal, m_now).requests);
    }

    bool isInForce(std::uint64_t version) const
    {
        return std::all_of(m_nodes.begin(), m_nodes.end(),
            [&](const auto& entry) { return entry.second->config.inForce().version == version; });
    }
    Totals totals;

private:
    void addNode(int index, const std::vector<DutyName>& names)
    {
        const NodeId id { "node-1a2b3c4d" + std::to_string(index) };
        const std::string address = "10.10.10." + std::to_string(index) + ":7100";
        const auto seed = static_cast<std::uint32_t>(index + 1);
        const DataCenterId dataCenter { "data-centre-" + std::to_string(index % 6) };
        m_nodes.emplace(address,
            std::make_unique<Node>(Node { address, Membership({ id, address, dataCenter, {}, seed }, m_now),
                Duties({ id, names, seed }, m_now), ConfigDistribution(address, seed, m_now) }));
    }

    template <typename Operation> auto timed(Operation operation)
    {
        const double before = threadSeconds();
        auto output = operation();
        totals.seconds += threadSeconds() - before;
        return output;
    }

    void tick(Node& node)
    {
        auto output = timed([&] { return node.membership.tick(m_now); });
        for (OutgoingMessage& message : output.messages)
            deliver(message);
        carryOut(node, node.membership, output.requests);
        carryOut(
            node, node.duties, timed([&] { return node.duties.tick(node.membership.liveness(), m_now); }).requests);
        carryOut(node, node.config, timed([&] { return node.config.tick(m_now); }).requests);
    }

    void deliver(const OutgoingMessage& message)
    {
        ++totals.messages;
        const auto target = m_nodes.find(message.address);
        const auto* heartbeat = std::get_if<Heartbeat>(&message.message);
        if (target == m_nodes.end() || !heartbeat)
            return;
        timed([&] { return target->second->membership.onHeartbeat(*heartbeat, m_now); });
        timed([&] { return target->second->config.onHeartbeat(*heartbeat, m_now); });
    }

    template <typename Core> void carryOut(Node& node, Core& core, const TableRequests& requests)
    {
        for (const TableRequest& request : requests) {
            const TableResponse answer = answerTo(request);
            carryOut(node, core, timed([&] { return core.onResponse(answer, m_now); }).requests);
        }
    }

    TableResponse answerTo(const TableRequest& request)
    {
        totals.tableBytes += exchangeFrameBytes;
        if (const auto* commit = std::get_if<CommitRows>(&request)) {
            ++totals.writes;
            return CommitResponse { commit->exchange, apply(commit->transaction) };
        }
        ++totals.reads;
        platform::Rows rows;
        if (const auto* read = std::get_if<ReadRows>(&request)) {
            for (const std::string& key : read->keys)
                if (const auto found = m_table.find(key); found != m_table.end())
                    rows.push_back(found->second);
            count(rows);
            return RowsResponse { read->exchange, std::move(rows) };
        }
        const auto& scan = std::get<ScanRows>(request);
        for (auto row = m_table.lower_bound(scan.prefix); row != m_table.end() && row->first.starts_with(scan.prefix);
             ++row)
            if (row->second.version > scan.newerThan)
                rows.push_back(row->second);
        count(rows);
        return RowsResponse { scan.exchange, std::move(rows) };
    }

    void count(const platform::Rows& rows)
    {
        for (const platform::Row& row : rows)
            totals.tableBytes += row.key.size() + row.value.size() + rowFrameBytes;
    }

    platform::CommitOutcome apply(const platform::Transaction& transaction)
    {
        for (const platform::Condition& condition : transaction.conditions) {
            const auto found = m_table.find(condition.key);
            if ((found == m_table.end() ? 0 : found->second.version) != condition.version)
                return { platform::CommitStatus::Conflict, 0, "" };
        }
        ++m_version;
        for (const platform::Write& write : transaction.writes) {
            totals.tableBytes += write.key.size() + rowFrameBytes + (write.value ? write.value->size() : 0);
            if (write.value)
                m_table[write.key] = { write.key, *write.value, m_version };
            else
                m_table.erase(write.key);
        }
        return { platform::CommitStatus::Done, m_version, "" };
    }

    std::int64_t tableHeapBytes() const
    {
        std::int64_t bytes = 0;
        constexpr std::size_t nodeOverhead = 64;
        for (const auto& [key, row] : m_table)
            bytes += static_cast<std::int64_t>(
                sizeof(std::pair<std::string, platform::Row>) + nodeOverhead + 2 * key.size() + row.value.size());
        return bytes;
    }

    std::map<std::string, std::unique_ptr<Node>> m_nodes;
    std::map<std::string, platform::Row> m_table;
    platform::RowVersion m_version { 0 };
    TimePoint m_now { std::chrono::hours { 1 } };
    double m_stateBytes { 0 };
};

struct Samples {
    std::vector<Sample> messages;
    std::vector<Sample> core;
    std::vector<Sample> state;
    std::vector<Sample> reads;
    std::vector<Sample> writes;
    std::vector<Sample> tableBytes;

    void take(double size, int nodes, int duties)
    {
        Federation federation(nodes, duties);
        federation.totals = {};
        federation.run(measured);
        const double nodeSeconds = nodes * std::chrono::duration<double>(measured).count();
        const Totals& totals = federation.totals;
        messages.push_back({ size, static_cast<double>(totals.messages) / nodeSeconds });
        core.push_back({ size, totals.seconds / nodeSeconds });
        state.push_back({ size, federation.stateBytes() });
        reads.push_back({ size, static_cast<double>(totals.reads) / nodeSeconds });
        writes.push_back({ size, static_cast<double>(totals.writes) / nodeSeconds });
        tableBytes.push_back({ size, static_cast<double>(totals.tableBytes) / nodeSeconds });
    }
};

std::string documentOf(int pools, int changed)
{
    std::string text;
    for (int i = 0; i < pools; ++i)
        text += "- id: pool-" + std::to_string(i) + "\n  workers: " + std::to_string(i == pools / 2 ? changed : 5)
            + "\n  minAvailable: 4\n  maxPlannedDown: 1\n  mayBorrow: 2\n  mayLend: 1\n  maxQueued: 1000\n"
              "  kinds:\n  - id: kind\n    weight: 1\n    floorShare: 0.1\n    objective: { target: 0.99 }\n";
    return text;
}

/// Table bytes that one change of a configuration costs each node, beyond those of a time without changes.
double bytesPerChange(int pools, int nodes)
{
    constexpr Duration change = std::chrono::seconds { 20 };
    Federation federation(nodes, 0);
    federation.propose("first", 0, documentOf(pools, 5));
    federation.run(change);
    federation.totals = {};
    federation.run(change);
    const auto quiet = static_cast<double>(federation.totals.tableBytes);
    federation.totals = {};
    federation.propose("second", 1, documentOf(pools, 6));
    federation.run(change);
    if (!federation.isInForce(2))
        std::exit(EXIT_FAILURE);
    return (static_cast<double>(federation.totals.tableBytes) - quiet) / nodes;
}

} // namespace

double measureConfigBytes(double pools, double changesPerDay)
{
    constexpr int nodes = 14;
    constexpr double secondsPerDay = 86400;
    std::vector<Sample> changes;
    std::vector<Sample> documents;
    for (const int size : { 37, 74, 147 }) {
        changes.push_back({ static_cast<double>(size), bytesPerChange(size, nodes) });
        documents.push_back({ static_cast<double>(size), static_cast<double>(documentOf(size, 5).size()) });
    }
    report("config_document", "bytes", documents, pools);
    return report("config_change_table_bytes_by_pools", "per_node", changes, pools) * changesPerDay / secondsPerDay;
}

ControlPlane measureControlPlane(double nodes, double duties)
{
    Samples byNodes;
    for (const int size : { 7, 21, 42 })
        byNodes.take(size, size, static_cast<int>(duties));
    ControlPlane result;
    const double heartbeat = measureHeartbeatBytes(std::min(nodes - 1, static_cast<double>(maxSeenEntries)));
    // Each message is sent by one node and received by another.
    result.wireBytesPerSecond = 2 * heartbeat * report("messages_sent", "per_node_s", byNodes.messages, nodes);
    result.tableBytesPerSecond = report("table_bytes", "per_node_s", byNodes.tableBytes, nodes);
    result.coreShare = report("control_core", "core_share", byNodes.core, nodes);
    result.stateBytes = report("control_state", "bytes", byNodes.state, nodes);
    result.tableReadsPerSecond = nodes * report("table_reads", "per_node_s", byNodes.reads, nodes);
    result.tableWritesPerSecond = nodes * report("table_writes", "per_node_s", byNodes.writes, nodes);

    Samples byDuties;
    for (const int size : { 90, 180, 358 })
        byDuties.take(size, 14, size);
    report("control_core_by_duties", "core_share", byDuties.core, duties);
    report("control_state_by_duties", "bytes", byDuties.state, duties);
    return result;
}

} // namespace rattanrack::capacity
