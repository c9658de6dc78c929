#include "rattanrack/jobs/owned_part.h"

#include "cbor.h"

#include <algorithm>
#include <iterator>

namespace rattanrack::jobs {

namespace {

using Json = nlohmann::json;

} // namespace

std::string encode(const OwnerRow& row)
{
    Json workers = Json::array();
    for (const auto& [worker, machine] : row.workers)
        workers.push_back(Json::array({ worker.value(), machine.value() }));
    Json json { { "holder", row.holder.value() }, { "term", row.term }, { "sequence", row.sequence },
        { "workers", std::move(workers) } };
    for (const auto& [worker, left] : row.outstandingLeases)
        json["heldMs"][worker.value()] = std::chrono::ceil<std::chrono::milliseconds>(left).count();
    if (row.earlierGrantsLeft)
        json["earlierGrantsMs"] = std::chrono::ceil<std::chrono::milliseconds>(*row.earlierGrantsLeft).count();
    for (const MachineId& machine : row.drainedMachines)
        json["drained"].push_back(machine.value());
    return toCbor(json);
}

Result<OwnerRow> decodeOwnerRow(const std::string& bytes)
{
    return fromCbor("owner.decode", bytes, [](const Json& json) {
        OwnerRow row { NodeId { json.at("holder").get<std::string>() }, json.at("term").get<Fence>(),
            json.at("sequence").get<std::uint64_t>(), {}, {} };
        for (const Json& worker : json.at("workers"))
            row.workers[WorkerId { worker.at(0).get<std::string>() }] = MachineId { worker.at(1).get<std::string>() };
        if (const auto held = json.find("heldMs"); held != json.end()) {
            for (const auto& [worker, time] : held->items())
                row.outstandingLeases[WorkerId { worker }] = std::chrono::milliseconds { time.get<std::int64_t>() };
        }
        if (const auto left = json.find("earlierGrantsMs"); left != json.end())
            row.earlierGrantsLeft = std::chrono::milliseconds { left->get<std::int64_t>() };
        if (const auto drained = json.find("drained"); drained != json.end()) {
            for (const Json& machine : *drained)
                row.drainedMachines.insert(MachineId { machine.get<std::string>() });
        }
        return row;
    });
}

OwnedPart::OwnedPart(const PoolId& cell, NodeId self, const std::optional<OwnerRow>& found, RowVersion foundVersion)
    : m_part(cell.value())
    , m_self(std::move(self))
    , m_version(foundVersion)
{
    if (found)
        m_row = *found;
    m_row.holder = m_self;
    m_row.outstandingLeases = {};
    m_row.term += 1;
    m_row.sequence = 0;
}

const PartTransaction& OwnedPart::beginTransaction(std::vector<RowWrite> rows, WorkerMachines workers,
    std::optional<OutstandingLeases> leasesAtHandBack, std::optional<Duration> earlierGrantsLeft)
{
    ++m_row.sequence;
    m_row.workers = std::move(workers);
    m_row.holder = leasesAtHandBack ? NodeId {} : m_self;
    m_row.outstandingLeases = std::move(leasesAtHandBack).value_or(OutstandingLeases {});
    m_row.earlierGrantsLeft = earlierGrantsLeft;
    m_transaction
        = { m_part, { { { ownerTable, ownerKey }, m_version } }, { { { ownerTable, ownerKey }, encode(m_row) } } };
    std::move(rows.begin(), rows.end(), std::back_inserter(m_transaction.writes));
    m_isInFlight = true;
    m_mayTakeEffect = false;
    return m_transaction;
}

OwnerWriteOutcome OwnedPart::resolve(const TransactionOutcome& outcome)
{
    const auto done = [&](RowVersion version) {
        m_version = version;
        m_isInFlight = false;
        return OwnerWriteOutcome::Done;
    };
    switch (outcome.status) {
    case TransactionStatus::Done:
        return done(outcome.version);
    case TransactionStatus::Conflict:
        for (const PartRow& row : outcome.current) {
            if (row.row.table == ownerTable && row.value == encode(m_row))
                return done(row.version); // An earlier transmission of the same transaction took effect.
        }
        return OwnerWriteOutcome::Lost;
    case TransactionStatus::Unknown:
        m_mayTakeEffect = true;
        return OwnerWriteOutcome::Unresolved;
    case TransactionStatus::Refused:
        // An earlier transmission had the same content, and the next transaction's condition proves that it had no
        // effect.
        return OwnerWriteOutcome::Rejected;
    case TransactionStatus::Unavailable:
        break;
    }
    return m_mayTakeEffect ? OwnerWriteOutcome::Unresolved : OwnerWriteOutcome::NotApplied;
}

void OwnedPart::abandon() { m_isInFlight = false; }

} // namespace rattanrack::jobs
