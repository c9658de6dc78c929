#include "rattanrack/node/admin_json.h"

#include <nlohmann/json.hpp>

#include <array>

namespace rattanrack::node {

namespace {

using nlohmann::json;

constexpr std::size_t maxIdBytes = 200;

boost::leaf::error_id invalidField(const std::string& field, const std::string& expected)
{
    return fail(ErrorCode::InvalidArgument, "admin.parse", {}, field + ": expected " + expected);
}

Result<json> parseObject(const std::string& body)
{
    json object = json::parse(body, nullptr, false);
    if (!object.is_object())
        return invalidField("body", "a JSON object");
    return object;
}

Result<std::string> readString(
    const json& object, const char* field, bool isRequired, std::size_t maxBytes = maxIdBytes)
{
    const auto found = object.find(field);
    if (found == object.end()) {
        if (isRequired)
            return invalidField(field, "a text");
        return std::string {};
    }
    if (!found->is_string() || found->get_ref<const std::string&>().size() > maxBytes)
        return invalidField(field, "a text of at most " + std::to_string(maxBytes) + " bytes");
    return found->get<std::string>();
}

Result<std::vector<VmId>> readVms(const json& object)
{
    std::vector<VmId> vms;
    const auto found = object.find("vms");
    if (found == object.end())
        return vms;
    if (!found->is_array())
        return invalidField("vms", "a list of texts");
    for (const json& vm : *found) {
        if (!vm.is_string())
            return invalidField("vms", "a list of texts");
        vms.emplace_back(vm.get<std::string>());
    }
    return vms;
}

bool isKnownKind(const std::string& kind)
{
    constexpr std::array kinds { "drain", "reboot", "replace", "move", "undrain" };
    return std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
}

json nodeEntry(const peer::Member& member)
{
    return { { "id", member.id.value() }, { "address", member.address }, { "dataCenter", member.dataCenter.value() },
        { "configVersion", member.digest.configVersion }, { "leaving", member.isLeaving },
        { "state", member.state == peer::MemberState::Live ? "live" : "suspected" } };
}

json poolEntry(const policy::PoolRecord& pool, const TrafficService::PoolLoad& load)
{
    return { { "id", pool.id.value() }, { "workers", pool.counts.members }, { "available", pool.counts.serving() },
        { "floor", pool.settings.floor }, { "permitsInUse", pool.counts.permits }, { "failed", pool.counts.failed },
        { "borrowed", pool.counts.borrowed }, { "lent", pool.counts.lent }, { "queued", load.queued },
        { "running", load.running } };
}

json vmEntry(const policy::VmRecord& vm)
{
    return { { "id", vm.id.value() }, { "pool", vm.pool.value() }, { "epoch", vm.epoch },
        { "state", policy::name(vm.phase) }, { "rack", vm.rack.value() }, { "dataCenter", vm.dataCenter.value() },
        { "operation", vm.operation.value() } };
}

json rollOutEntry(const policy::RollOutRecord& rollOut, const policy::FleetSnapshot& fleet)
{
    std::size_t done = 0;
    for (const VmId& target : rollOut.targets) {
        const auto vm = fleet.vms.find(target);
        if (vm == fleet.vms.end())
            continue;
        const auto& completed = vm->second.completed;
        done += std::find(completed.begin(), completed.end(), rollOut.id) != completed.end() ? 1 : 0;
    }
    const bool isFinished = rollOut.state == policy::RollOutState::Finished;
    return { { "id", rollOut.id.value() }, { "kind", policy::name(rollOut.kind) },
        { "state", policy::name(rollOut.state) }, { "targets", rollOut.targets.size() },
        { "done", isFinished ? rollOut.done : done } };
}

} // namespace

Result<OperationRequest> parseOperation(const std::string& body, bool isRollOut)
{
    BOOST_LEAF_AUTO(object, parseObject(body));
    OperationRequest request;
    BOOST_LEAF_ASSIGN(request.kind, readString(object, "kind", true));
    if (!isKnownKind(request.kind))
        return invalidField("kind", "drain, reboot, replace, move or undrain");
    BOOST_LEAF_ASSIGN(request.vms, readVms(object));
    BOOST_LEAF_AUTO(rack, readString(object, "rack", false));
    request.rack = RackId { rack };
    BOOST_LEAF_AUTO(pool, readString(object, "pool", false));
    request.pool = PoolId { pool };
    request.isForAll = object.contains("all") && object["all"] == true;
    BOOST_LEAF_AUTO(toPool, readString(object, "toPool", request.kind == "move"));
    request.toPool = PoolId { toPool };
    BOOST_LEAF_AUTO(requestedBy, readString(object, "operator", true));
    request.requestedBy = OperatorId { requestedBy };
    BOOST_LEAF_AUTO(attempt, readString(object, "attempt", true));
    request.attempt = AttemptId { attempt };
    BOOST_LEAF_AUTO(id, readString(object, "id", isRollOut));
    request.id = RollOutId { id.empty() ? "op-" + attempt : id };
    if (object.contains("maxAtOnce") && object["maxAtOnce"].is_number_unsigned())
        request.maxAtOnce = object["maxAtOnce"].get<std::uint32_t>();
    return request;
}

Result<peer::ConfigProposal> parseProposal(const std::string& body)
{
    constexpr std::size_t maxDocumentBytes = 1U << 20U;
    BOOST_LEAF_AUTO(object, parseObject(body));
    peer::ConfigProposal proposal;
    BOOST_LEAF_ASSIGN(proposal.text, readString(object, "document", true, maxDocumentBytes));
    BOOST_LEAF_AUTO(author, readString(object, "operator", true));
    proposal.author = OperatorId { author };
    BOOST_LEAF_ASSIGN(proposal.attempt, readString(object, "attempt", true));
    const auto expected = object.find("expectedVersion");
    if (expected == object.end() || !expected->is_number_unsigned())
        return invalidField("expectedVersion", "a whole number");
    proposal.basedOn = expected->get<std::uint64_t>();
    return proposal;
}

std::string statusBody(const StatusView& view)
{
    json object { { "node", view.self.value() }, { "configVersion", view.configVersion },
        { "liveRequests", view.liveRequests }, { "nodes", json::array() }, { "pools", json::array() },
        { "vms", json::array() }, { "rollOuts", json::array() } };
    object["nodes"].push_back(
        { { "id", view.self.value() }, { "address", "" }, { "dataCenter", view.dataCenter.value() },
            { "configVersion", view.configVersion }, { "leaving", false }, { "state", "live" } });
    for (const peer::Member& member : view.members) {
        if (member.state != peer::MemberState::Gone)
            object["nodes"].push_back(nodeEntry(member));
    }
    const TrafficService::PoolLoad noLoad;
    for (const auto& [id, pool] : view.fleet->pools)
        object["pools"].push_back(poolEntry(pool, view.loads.contains(id) ? view.loads.at(id) : noLoad));
    for (const auto& [id, vm] : view.fleet->vms)
        object["vms"].push_back(vmEntry(vm));
    for (const auto& [id, rollOut] : view.fleet->rollOuts)
        object["rollOuts"].push_back(rollOutEntry(rollOut, *view.fleet));
    return object.dump(-1, ' ', false, json::error_handler_t::replace) + '\n';
}

std::vector<VmId> targetsOf(const OperationRequest& request, const policy::FleetSnapshot& fleet)
{
    std::vector<VmId> targets = request.vms;
    for (const auto& [id, vm] : fleet.vms) {
        const bool isNamed = request.isForAll || (!request.rack.isEmpty() && vm.rack == request.rack)
            || (!request.pool.isEmpty() && vm.pool == request.pool);
        if (isNamed)
            targets.push_back(id);
    }
    return targets;
}

} // namespace rattanrack::node
