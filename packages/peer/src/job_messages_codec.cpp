#include "job_messages_codec.h"

#include "wire_text.h"

#include <algorithm>
#include <cmath>

namespace rattanrack::peer {

namespace {

constexpr std::size_t nameSizeBound = 64;
constexpr Duration maxInterval = std::chrono::seconds { 30 }; ///< Between two announcements of a node.
constexpr Duration maxUptime = std::chrono::hours { 24 }; ///< Longer ones make no difference.

void encodeMachines(const std::vector<jobs::MachineId>& machines, capnp::List<capnp::Text>::Builder target)
{
    for (unsigned i = 0; i < target.size(); ++i)
        target.set(i, machines[i].value());
}

void encodeDrained(const jobs::DrainedMachines& drained, wire::NodeNews::Builder announcement)
{
    const auto count = static_cast<unsigned>(drained.size());
    auto machines = announcement.initEmptied(count);
    auto workers = announcement.initEmptiedWorkers(count);
    unsigned index = 0;
    for (const auto& [machine, worker] : drained) {
        machines.set(index, machine.value());
        workers.set(index, worker.value());
        ++index;
    }
}

/// Earlier releases do not name the workers; what they announce counts for none.
jobs::DrainedMachines decodeDrained(wire::NodeNews::Reader source)
{
    jobs::DrainedMachines drained;
    const auto machines = source.getEmptied();
    const auto workers = source.getEmptiedWorkers();
    for (unsigned index = 0; index < machines.size() && index < workers.size(); ++index)
        drained.emplace(jobs::MachineId { text(machines[index]) }, jobs::WorkerId { text(workers[index]) });
    return drained;
}

std::vector<jobs::MachineId> decodeMachines(capnp::List<capnp::Text>::Reader source)
{
    std::vector<jobs::MachineId> machines;
    for (const auto machine : source)
        machines.emplace_back(text(machine));
    return machines;
}

} // namespace

/// What the announcement contains for its way to the other nodes.
void encodeSpread(const jobs::NodeAnnouncement& message, wire::NodeNews::Builder announcement)
{
    announcement.setIntervalMicroseconds(message.interval.count());
    announcement.setIsPassedOn(message.isPassedOn);
    announcement.setUptimeMicroseconds(message.uptime.count());
    announcement.setAgeMicroseconds(message.age.count());
    auto candidates = announcement.initCandidates(static_cast<unsigned>(message.candidates.size()));
    for (unsigned i = 0; i < candidates.size(); ++i) {
        candidates[i].setNode(message.candidates[i].node.value());
        candidates[i].setProcessorShare(message.candidates[i].processorShare);
    }
    auto seenOwners = announcement.initSeenOwners(static_cast<unsigned>(message.seenOwners.size()));
    for (unsigned i = 0; i < seenOwners.size(); ++i) {
        seenOwners[i].setNode(message.seenOwners[i].node.value());
        seenOwners[i].setSequence(message.seenOwners[i].sequence);
    }
    auto relayTo = announcement.initRelayTo(static_cast<unsigned>(message.relayTo.size()));
    for (unsigned i = 0; i < relayTo.size(); ++i)
        relayTo.set(i, message.relayTo[i]);
}

void encodeNodeAnnouncement(const jobs::NodeAnnouncement& message, wire::NodeNews::Builder announcement)
{
    announcement.setNode(message.node.value());
    announcement.setAddress(message.address);
    announcement.setSequence(message.sequence);
    announcement.setIsLeaving(message.isLeaving);
    announcement.setIsStoreInReach(message.isStoreReachable);
    announcement.setClosingHeard(message.drainingMachinesSequence);
    announcement.setProcessorShare(message.processorShare);
    auto cells = announcement.initCells(static_cast<unsigned>(message.cells.size()));
    for (unsigned i = 0; i < cells.size(); ++i) {
        cells[i].setCell(message.cells[i].cell.value());
        cells[i].setTerm(message.cells[i].term);
    }
    encodeMachines(
        message.drainingMachines, announcement.initClosing(static_cast<unsigned>(message.drainingMachines.size())));
    encodeDrained(message.drainedMachines, announcement);
    encodeMachines(
        message.movableMachines, announcement.initMovable(static_cast<unsigned>(message.movableMachines.size())));
    auto loads = announcement.initLoads(static_cast<unsigned>(message.loads.size()));
    for (unsigned i = 0; i < loads.size(); ++i) {
        loads[i].setCell(message.loads[i].cell.value());
        loads[i].setUsedMillicores(message.loads[i].used.count());
        loads[i].setWaitingMillicores(message.loads[i].waiting.count());
        loads[i].setOfferedMillicores(message.loads[i].offered.count());
    }
    encodeSpread(message, announcement);
}

void encodeJobCall(const JobCall& message, wire::JobCall::Builder call)
{
    call.setExchange(message.exchange);
    call.setReplyTo(message.replyTo);
    call.setOperation(static_cast<wire::JobOperation>(message.operation));
    call.setCell(message.cell.value());
    call.setJob(message.job.value());
    call.setQueue(message.queue.value());
    call.setBody(dataOf(message.body));
    call.setConfigVersion(message.configurationVersion);
    call.setQueueAddress(message.queueAddress.value());
    call.setCustomer(message.customer.value());
}

void encodeJobReply(const JobReply& message, wire::JobReply::Builder reply)
{
    reply.setExchange(message.exchange);
    reply.setStatus(static_cast<wire::JobCallStatus>(message.status));
    reply.setState(static_cast<std::uint8_t>(message.state));
    reply.setPending(message.pending);
    reply.setRetryAfterMicroseconds(message.retryAfter.count());
    auto cells = reply.initCells(static_cast<unsigned>(message.cells.size()));
    for (unsigned index = 0; index < cells.size(); ++index)
        cells.set(index, message.cells[index].value());
}

void decodeSpread(wire::NodeNews::Reader source, jobs::NodeAnnouncement& announcement)
{
    announcement.interval = std::clamp(Duration { source.getIntervalMicroseconds() }, Duration {}, maxInterval);
    announcement.isPassedOn = source.getIsPassedOn();
    announcement.uptime = std::clamp(Duration { source.getUptimeMicroseconds() }, Duration {}, maxUptime);
    announcement.age = std::clamp(Duration { source.getAgeMicroseconds() }, Duration {}, maxInterval);
    for (const auto candidate : source.getCandidates()) {
        const double share = candidate.getProcessorShare();
        const bool isValid = std::isfinite(share) && share > 0;
        announcement.candidates.push_back(
            { NodeId { text(candidate.getNode()) }, isValid ? share : jobs::defaultProcessorShare });
    }
    for (const auto owner : source.getSeenOwners())
        announcement.seenOwners.push_back({ NodeId { text(owner.getNode()) }, owner.getSequence() });
    for (const auto address : source.getRelayTo())
        announcement.relayTo.push_back(text(address));
}

jobs::NodeAnnouncement decodeNodeAnnouncement(wire::NodeNews::Reader source)
{
    jobs::NodeAnnouncement announcement { NodeId { text(source.getNode()) }, text(source.getAddress()),
        source.getSequence(), source.getIsLeaving(), source.getIsStoreInReach(), {},
        decodeMachines(source.getClosing()), source.getClosingHeard(), decodeDrained(source),
        decodeMachines(source.getMovable()), {}, source.getProcessorShare() };
    for (const auto load : source.getLoads()) {
        announcement.loads.push_back({ PoolId { text(load.getCell()) }, Millicores { load.getUsedMillicores() },
            Millicores { load.getWaitingMillicores() }, Millicores { load.getOfferedMillicores() } });
    }
    for (const auto cell : source.getCells())
        announcement.cells.push_back({ PoolId { text(cell.getCell()) }, cell.getTerm() });
    decodeSpread(source, announcement);
    return announcement;
}

std::optional<JobCall> decodeJobCall(wire::JobCall::Reader source)
{
    if (source.getOperation() > wire::JobOperation::PENDING)
        return std::nullopt;
    return JobCall { source.getExchange(), text(source.getReplyTo()), static_cast<JobOperation>(source.getOperation()),
        PoolId { text(source.getCell()) }, jobs::JobId { text(source.getJob()) },
        jobs::QueueId { text(source.getQueue()) }, bytes(source.getBody()), source.getConfigVersion(),
        jobs::QueueAddress { text(source.getQueueAddress()) }, jobs::CustomerId { text(source.getCustomer()) } };
}

std::optional<JobReply> decodeJobReply(wire::JobReply::Reader source)
{
    const bool isInRange = source.getStatus() <= wire::JobCallStatus::OF_OTHER_CUSTOMER
        && source.getState() <= static_cast<std::uint8_t>(jobs::JobState::Cancelled);
    if (!isInRange)
        return std::nullopt;
    JobReply reply { source.getExchange(), static_cast<JobCallStatus>(source.getStatus()),
        static_cast<jobs::JobState>(source.getState()), source.getPending(),
        Duration { std::max<std::int64_t>(0, source.getRetryAfterMicroseconds()) } };
    for (const auto cell : source.getCells())
        reply.cells.push_back(PoolId { text(cell) });
    return reply;
}

std::size_t variableSize(const jobs::NodeAnnouncement& message)
{
    return (message.cells.size() + message.drainingMachines.size() + 2 * message.drainedMachines.size()
               + message.movableMachines.size() + message.loads.size() + message.candidates.size()
               + message.seenOwners.size() + message.relayTo.size())
        * nameSizeBound;
}

std::size_t variableSize(const JobCall& message)
{
    return message.body.size() + message.queueAddress.value().size() + message.customer.value().size();
}

std::size_t variableSize(const JobReply& message) { return message.cells.size() * nameSizeBound; }

} // namespace rattanrack::peer
