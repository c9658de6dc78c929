#include "admin_messages.h"

namespace rattanrack::cli {

namespace {

template <typename Tag> void readId(const nlohmann::json& json, StrongId<Tag>& id)
{
    id = StrongId<Tag> { json.get<std::string>() };
}

} // namespace

void read(const nlohmann::json& json, NodeStatus& node)
{
    readId(json.at("id"), node.id);
    json.at("address").get_to(node.address);
    readId(json.at("dataCenter"), node.dataCenter);
    json.at("configVersion").get_to(node.configVersion);
    json.at("leaving").get_to(node.isLeaving);
}

void read(const nlohmann::json& json, PoolStatus& pool)
{
    readId(json.at("id"), pool.id);
    json.at("workers").get_to(pool.workers);
    json.at("available").get_to(pool.available);
    json.at("floor").get_to(pool.floor);
    json.at("permitsInUse").get_to(pool.permitsInUse);
    json.at("queued").get_to(pool.queued);
    json.at("running").get_to(pool.running);
}

void read(const nlohmann::json& json, VmStatus& vm)
{
    readId(json.at("id"), vm.id);
    readId(json.at("pool"), vm.pool);
    json.at("epoch").get_to(vm.epoch);
    json.at("state").get_to(vm.state);
    readId(json.at("rack"), vm.rack);
    readId(json.at("dataCenter"), vm.dataCenter);
}

void read(const nlohmann::json& json, RollOutStatus& rollOut)
{
    readId(json.at("id"), rollOut.id);
    rollOut.kind = json.value("kind", "");
    rollOut.state = json.value("state", "");
    rollOut.done = json.value("done", std::uint64_t { 0 });
    rollOut.total = json.value("targets", std::uint64_t { 0 });
}

void read(const nlohmann::json& json, FederationStatus& status)
{
    readId(json.at("node"), status.node);
    json.at("configVersion").get_to(status.configVersion);
    read(json.at("nodes"), status.nodes);
    read(json.at("pools"), status.pools);
    read(json.at("vms"), status.vms);
    read(json.at("rollOuts"), status.rollOuts);
}

void read(const nlohmann::json& json, ConfigInForce& config)
{
    json.at("version").get_to(config.version);
    json.at("document").get_to(config.document);
}

void read(const nlohmann::json& json, AttemptStatus& attempt)
{
    json.at("found").get_to(attempt.isFound);
    if (attempt.isFound)
        json.at("version").get_to(attempt.version);
}

void read(const nlohmann::json& json, VmChange& change)
{
    readId(json.at("vm"), change.vm);
    json.at("result").get_to(change.result);
    change.reason = json.value("reason", "");
}

} // namespace rattanrack::cli
