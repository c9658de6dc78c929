#include "rattanrack/jobs/queue_assignment.h"

#include "cbor.h"
#include "rattanrack/base/log.h"

#include <algorithm>
#include <utility>

namespace rattanrack::jobs {

namespace {

using Json = nlohmann::json;

constexpr const char* cellField = "cell";
constexpr const char* versionField = "version";
constexpr const char* earlierCellsField = "earlier";

std::vector<PoolId> cellsFrom(const Json& json)
{
    std::vector<PoolId> cells;
    for (const Json& cell : json)
        cells.push_back(PoolId { cell.get<std::string>() });
    return cells;
}

} // namespace

std::string encode(const QueueAssignment& assignment)
{
    Json earlierCells = Json::array();
    for (const PoolId& cell : assignment.earlierCells)
        earlierCells.push_back(cell.value());
    return toCbor({ { cellField, assignment.cell.value() }, { versionField, assignment.configurationVersion },
        { earlierCellsField, std::move(earlierCells) } });
}

Result<QueueAssignment> decodeQueueAssignment(const std::string& bytes)
{
    return fromCbor("queue.decode", bytes, [](const Json& json) {
        return QueueAssignment { PoolId { json.at(cellField).get<std::string>() },
            json.at(versionField).get<std::uint64_t>(), cellsFrom(json.at(earlierCellsField)) };
    });
}

std::set<PoolId> cellsInUse(const Configuration& configuration, const QueueAssignments& assignments)
{
    std::set<PoolId> cells;
    for (const PoolId& cell : configuration.cellPools())
        cells.insert(cell);
    for (const auto& [queue, assignment] : assignments.byQueue) {
        cells.insert(assignment.cell);
        cells.insert(assignment.earlierCells.begin(), assignment.earlierCells.end());
    }
    return cells;
}

RowWrite closedQueueRow(const QueueAddress& queue, std::uint64_t configurationVersion)
{
    return { { closedQueueTable, queue.value() }, toCbor({ { versionField, configurationVersion } }) };
}

Result<QueueAssignments> readQueueAssignments(PartStore& store)
{
    BOOST_LEAF_AUTO(page, readAll(store, queueAssignmentTable, queueAssignmentPart));
    QueueAssignments assignments { {}, page.version };
    for (const PartRow& row : page.rows) {
        auto assignment = valueOrNothing([&] { return decodeQueueAssignment(row.value); },
            [&](const Error& error) {
                logEvent(
                    "queue.unreadable", { { "queue", row.row.key }, { "error", describe(error) } }, LogLevel::Error);
            });
        if (!assignment)
            continue;
        assignment->rowVersion = row.version;
        assignments.byQueue[QueueAddress { row.row.key }] = *std::move(assignment);
    }
    return assignments;
}

Result<ClosedQueues> readClosedQueues(PartStore& store, const PoolId& cell)
{
    BOOST_LEAF_AUTO(page, readAll(store, closedQueueTable, cell.value()));
    ClosedQueues closed;
    for (const PartRow& row : page.rows) {
        BOOST_LEAF_AUTO(version, fromCbor("closed_queue.decode", row.value, [](const Json& json) {
            return json.at(versionField).get<std::uint64_t>();
        }));
        closed[QueueAddress { row.row.key }] = version;
    }
    return closed;
}

} // namespace rattanrack::jobs
