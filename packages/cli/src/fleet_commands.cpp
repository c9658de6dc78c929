#include "commands.h"

#include "text_table.h"

namespace rattanrack::cli {

namespace {

std::string nodesText(const FederationStatus& status)
{
    TextTable table { { "NODE", "ADDRESS", "DATA CENTRE", "CONFIG", "LEAVING" } };
    for (const NodeStatus& node : status.nodes)
        table.add({ node.id.value(), node.address, node.dataCenter.value(), std::to_string(node.configVersion),
            node.isLeaving ? "yes" : "no" });
    return table.text();
}

std::string poolsText(const FederationStatus& status)
{
    TextTable table { { "POOL", "WORKERS", "AVAILABLE", "FLOOR", "PERMITS IN USE", "QUEUED", "RUNNING" } };
    for (const PoolStatus& pool : status.pools)
        table.add(
            { pool.id.value(), std::to_string(pool.workers), std::to_string(pool.available), std::to_string(pool.floor),
                std::to_string(pool.permitsInUse), std::to_string(pool.queued), std::to_string(pool.running) });
    return table.text();
}

std::string vmsText(const FederationStatus& status)
{
    TextTable table { { "VM", "POOL", "EPOCH", "STATE", "RACK", "DATA CENTRE" } };
    for (const VmStatus& vm : status.vms)
        table.add({ vm.id.value(), vm.pool.value(), std::to_string(vm.epoch), vm.state, vm.rack.value(),
            vm.dataCenter.value() });
    return table.text();
}

std::string rollOutsText(const FederationStatus& status)
{
    if (status.rollOuts.empty())
        return "no roll-outs\n";
    TextTable table { { "ROLL-OUT", "KIND", "STATE", "DONE", "TOTAL" } };
    for (const RollOutStatus& rollOut : status.rollOuts)
        table.add({ rollOut.id.value(), rollOut.kind, rollOut.state, std::to_string(rollOut.done),
            std::to_string(rollOut.total) });
    return table.text();
}

std::string statusText(const FederationStatus& status)
{
    return "answered by " + status.node.value() + ", configuration version " + std::to_string(status.configVersion)
        + "\n\n" + nodesText(status) + "\n" + poolsText(status) + "\n" + vmsText(status) + "\n" + rollOutsText(status);
}

nlohmann::json vmNames(const std::vector<VmId>& vms)
{
    auto names = nlohmann::json::array();
    for (const VmId& vm : vms)
        names.push_back(vm.value());
    return names;
}

nlohmann::json signedBody(const Invocation& invocation)
{
    return { { "operator", invocation.operatorId.value() }, { "attempt", newAttemptId().value() } };
}

nlohmann::json operationBody(const Invocation& invocation)
{
    nlohmann::json body = signedBody(invocation);
    body["kind"] = invocation.verb;
    if (invocation.selection.rack)
        body["rack"] = invocation.selection.rack->value();
    else
        body["vms"] = vmNames(invocation.selection.vms);
    if (invocation.toPool)
        body["toPool"] = invocation.toPool->value();
    return body;
}

Result<FederationStatus> decodeStatus(const nlohmann::json& answer)
{
    try {
        FederationStatus status;
        read(answer, status);
        return status;
    } catch (const nlohmann::json::exception& error) {
        return fail(ErrorCode::MalformedMessage, "admin.status", {}, error.what());
    }
}

Result<std::vector<VmChange>> decodeChanges(const nlohmann::json& answer)
{
    try {
        std::vector<VmChange> changes;
        read(answer.at("changes"), changes);
        return changes;
    } catch (const nlohmann::json::exception& error) {
        return fail(ErrorCode::MalformedMessage, "admin.operations", {}, error.what());
    }
}

Result<std::string> decodeLines(const nlohmann::json& answer)
{
    try {
        std::string text;
        for (const auto& line : answer.at("lines"))
            text += line.get<std::string>() + "\n";
        return text;
    } catch (const nlohmann::json::exception& error) {
        return fail(ErrorCode::MalformedMessage, "admin.explain", {}, error.what());
    }
}

Outcome rollOutOutcome(const Invocation& invocation, const std::string& done, nlohmann::json answer)
{
    return { ExitCode::Success, "roll-out " + invocation.target + " " + done + "\n", std::move(answer) };
}

} // namespace

Result<Outcome> showStatus(Context& context)
{
    BOOST_LEAF_AUTO(json, context.client.read("/v1/admin/status"));
    BOOST_LEAF_AUTO(status, decodeStatus(json));
    return Outcome { ExitCode::Success, statusText(status), std::move(json) };
}

Result<Outcome> operate(Context& context)
{
    BOOST_LEAF_AUTO(answer, context.client.change("/v1/admin/operations", operationBody(context.invocation)));
    BOOST_LEAF_AUTO(changes, decodeChanges(answer));
    Outcome outcome;
    outcome.json = std::move(answer);
    TextTable table { { "VM", "RESULT", "REASON" } };
    for (const VmChange& change : changes) {
        table.add({ change.vm.value(), change.result, change.reason });
        if (change.result == "unknown")
            outcome.code = ExitCode::OutcomeUnknown;
        else if (change.result != "done" && change.result != "accepted" && outcome.code == ExitCode::Success)
            outcome.code = ExitCode::Refused;
    }
    outcome.text = table.text();
    return outcome;
}

Result<Outcome> startRollOut(Context& context)
{
    const Invocation& invocation = context.invocation;
    nlohmann::json body = signedBody(invocation);
    body["id"] = invocation.target;
    body["kind"] = "reboot";
    if (invocation.selection.rack)
        body["rack"] = invocation.selection.rack->value();
    else if (invocation.selection.pool)
        body["pool"] = invocation.selection.pool->value();
    else
        body["all"] = true;
    BOOST_LEAF_AUTO(answer, context.client.change("/v1/admin/rollouts", body));
    return rollOutOutcome(invocation, "started", std::move(answer));
}

Result<Outcome> steerRollOut(Context& context)
{
    const Invocation& invocation = context.invocation;
    const std::string path = "/v1/admin/rollouts/" + invocation.target + "/" + invocation.verb;
    BOOST_LEAF_AUTO(answer, context.client.change(path, signedBody(invocation)));
    return rollOutOutcome(invocation, invocation.verb + " accepted", std::move(answer));
}

Result<Outcome> explain(Context& context)
{
    const Invocation& invocation = context.invocation;
    BOOST_LEAF_AUTO(answer, context.client.read("/v1/admin/explain/" + invocation.verb + "/" + invocation.target));
    BOOST_LEAF_AUTO(text, decodeLines(answer));
    return Outcome { ExitCode::Success, std::move(text), std::move(answer) };
}

} // namespace rattanrack::cli
