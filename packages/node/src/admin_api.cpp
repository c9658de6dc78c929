#include "rattanrack/node/admin_api.h"

#include "rattanrack/base/log.h"
#include "rattanrack/config/load.h"
#include "rattanrack/node/admin_json.h"
#include "rattanrack/node/caller_request_json.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <future>

namespace rattanrack::node {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr const char* jsonType = "application/json";
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusUnavailable = 503;
constexpr auto proposalTimeout = 15s;
constexpr auto commitTimeout = 10s;

void reply(httplib::Response& response, int status, const json& body)
{
    response.status = status;
    response.set_content(body.dump(-1, ' ', false, json::error_handler_t::replace) + '\n', jsonType);
}

void replyError(httplib::Response& response, int status, const Error& error)
{
    response.status = status;
    response.set_content(errorBody(error), jsonType);
}

/// Parses a body. Replies with the error and returns nothing if the body is invalid.
template <typename Parse> auto parseOrReply(httplib::Response& response, const Parse& parse)
{
    return valueOrNothing(parse, [&](const Error& error) { replyError(response, statusBadRequest, error); });
}

policy::StartRollOut startOf(const OperationRequest& operation, policy::RollOutKind kind, std::vector<VmId> targets)
{
    return { operation.id, kind, std::move(targets), operation.toPool, operation.maxAtOnce, operation.requestedBy };
}

std::optional<policy::RollOutKind> rollOutKind(const std::string& kind)
{
    for (const auto each : { policy::RollOutKind::Reboot, policy::RollOutKind::Replace, policy::RollOutKind::Drain,
             policy::RollOutKind::Move }) {
        if (policy::name(each) == kind)
            return each;
    }
    return std::nullopt;
}

int httpStatusOf(platform::CommitStatus status)
{
    switch (status) {
    case platform::CommitStatus::Done:
        return 200;
    case platform::CommitStatus::Conflict:
        return statusConflict;
    default:
        return statusUnavailable;
    }
}

std::string resultOf(platform::CommitStatus status)
{
    switch (status) {
    case platform::CommitStatus::Done:
        return "accepted";
    case platform::CommitStatus::Conflict:
        return "conflict";
    case platform::CommitStatus::Unknown:
        return "unknown";
    default:
        return "unavailable";
    }
}

/// Returns the operations that the VMs take part in.
std::vector<RollOutId> operationsOf(const policy::FleetSnapshot& fleet, const std::vector<VmId>& vms)
{
    std::vector<RollOutId> operations;
    for (const VmId& vm : vms) {
        const auto record = fleet.vms.find(vm);
        if (record != fleet.vms.end() && !record->second.operation.isEmpty())
            operations.push_back(record->second.operation);
    }
    std::sort(operations.begin(), operations.end());
    operations.erase(std::unique(operations.begin(), operations.end()), operations.end());
    return operations;
}

} // namespace

void AdminApi::addRoutes(httplib::Server& server)
{
    server.Get("/v1/admin/status", [this](const auto&, auto& response) { status(response); });
    server.Get("/v1/admin/config", [this](const auto&, auto& response) { configuration(response); });
    server.Post("/v1/admin/config", [this](const auto& request, auto& response) { propose(request, response); });
    server.Get("/v1/admin/config/attempts/([^/]+)",
        [this](const auto& request, auto& response) { findAttempt(request, response); });
    server.Post("/v1/admin/operations", [this](const auto& request, auto& response) { operate(request, response); });
    server.Post("/v1/admin/rollouts", [this](const auto& request, auto& response) { startRollOut(request, response); });
    server.Post("/v1/admin/rollouts/([^/]+)/(pause|resume|abort)",
        [this](const auto& request, auto& response) { changeRollOut(request, response); });
    server.Get(
        "/v1/admin/explain/vm/([^/]+)", [this](const auto& request, auto& response) { explainVm(request, response); });
    server.Get("/v1/admin/burn", [this](const auto&, auto& response) { reportBurn(response); });
    server.Get("/v1/admin/explain/request/([^/]+)",
        [this](const auto& request, auto& response) { explainRequest(request, response); });
}

void AdminApi::status(httplib::Response& response)
{
    std::string body;
    m_parts.control.run([&] {
        StatusView view { m_parts.self, m_parts.coordination.configuration().version, m_parts.coordination.dataCenter(),
            m_parts.coordination.liveness().members, &m_parts.fleet.snapshot(), m_parts.traffic.liveRequests(),
            m_parts.traffic.poolLoads() };
        body = statusBody(view);
    });
    response.set_content(body, jsonType);
}

void AdminApi::configuration(httplib::Response& response)
{
    peer::ConfigDocument document;
    m_parts.control.run([&] { document = m_parts.coordination.configuration(); });
    reply(response, 200, { { "version", document.version }, { "document", document.text } });
}

void AdminApi::propose(const httplib::Request& request, httplib::Response& response)
{
    auto proposal = parseOrReply(response, [&] { return parseProposal(request.body); });
    if (!proposal)
        return;
    const auto checked = config::parse(proposal->text);
    if (!checked.isValid()) {
        replyError(response, statusBadRequest,
            { ErrorCode::InvalidConfiguration, "config.propose", {}, config::describe(checked.diagnostics()) });
        return;
    }
    auto promise = std::make_shared<std::promise<peer::ProposalOutcome>>();
    auto future = promise->get_future();
    m_parts.control.post([this, promise, proposal = std::move(*proposal)] {
        m_parts.coordination.propose(
            proposal, [promise](const peer::ProposalOutcome& outcome) { promise->set_value(outcome); });
    });
    if (future.wait_for(proposalTimeout) != std::future_status::ready) {
        reply(response, statusUnavailable, { { "outcome", "unknown" } });
        return;
    }
    const peer::ProposalOutcome outcome = future.get();
    switch (outcome.status) {
    case peer::ProposalStatus::Accepted:
        reply(response, 200, { { "version", outcome.current.version } });
        return;
    case peer::ProposalStatus::Conflict:
        reply(response, statusConflict,
            { { "version", outcome.current.version }, { "document", outcome.current.text },
                { "operator", outcome.author.value() } });
        return;
    case peer::ProposalStatus::Refused:
        reply(response, statusBadRequest, { { "outcome", "refused" } });
        return;
    case peer::ProposalStatus::Unavailable:
        reply(response, statusUnavailable, { { "outcome", "unavailable" } });
        return;
    case peer::ProposalStatus::Unknown:
        reply(response, statusUnavailable, { { "outcome", "unknown" } });
        return;
    }
}

void AdminApi::operate(const httplib::Request& request, httplib::Response& response)
{
    const auto operation = parseOrReply(response, [&] { return parseOperation(request.body, false); });
    if (!operation)
        return;
    std::vector<VmId> targets;
    std::vector<RollOutId> operations;
    m_parts.control.run([&] {
        targets = targetsOf(*operation, m_parts.fleet.snapshot());
        operations = operationsOf(m_parts.fleet.snapshot(), targets);
    });
    json changes = json::array();
    int status = 200;
    const auto add = [&](const std::string& subject, const DecisionOutcome& decided) {
        status = std::max(status, decided.status);
        changes.push_back({ { "vm", subject }, { "result", decided.result }, { "reason", decided.reason } });
    };
    if (operation->kind == "undrain") {
        for (const RollOutId& id : operations)
            add(id.value(),
                decideAndCommit([&](const auto& fleet,
                                    const AttemptId& attempt) { return policy::abortRollOut(fleet, id, attempt); },
                    operation->attempt));
    } else {
        const policy::StartRollOut start = startOf(*operation, *rollOutKind(operation->kind), targets);
        const DecisionOutcome decided = decideAndCommit(
            [&](const auto& fleet, const AttemptId& attempt) { return policy::startRollOut(fleet, start, attempt); },
            operation->attempt);
        for (const VmId& vm : targets)
            add(vm.value(), decided);
        if (targets.empty())
            add("", decided);
    }
    reply(response, status, { { "operation", operation->id.value() }, { "changes", changes } });
}

void AdminApi::startRollOut(const httplib::Request& request, httplib::Response& response)
{
    const auto operation = parseOrReply(response, [&] { return parseOperation(request.body, true); });
    if (!operation)
        return;
    const auto kind = rollOutKind(operation->kind);
    if (!kind) {
        replyError(response, statusBadRequest, { ErrorCode::InvalidArgument, "rollout.start", {}, "kind" });
        return;
    }
    const DecisionOutcome decided = decideAndCommit(
        [&](const policy::FleetSnapshot& fleet, const AttemptId& attempt) {
            return policy::startRollOut(fleet, startOf(*operation, *kind, targetsOf(*operation, fleet)), attempt);
        },
        operation->attempt);
    reply(response, decided.status,
        { { "id", operation->id.value() }, { "result", decided.result }, { "reason", decided.reason } });
}

void AdminApi::changeRollOut(const httplib::Request& request, httplib::Response& response)
{
    const RollOutId id { request.matches[1].str() };
    const std::string verb = request.matches[2].str();
    const auto change = verb == "pause" ? &policy::pauseRollOut
        : verb == "resume"              ? &policy::resumeRollOut
                                        : &policy::abortRollOut;
    AttemptId attempt;
    m_parts.control.run([&] { attempt = m_parts.fleet.nextAttempt(); });
    const DecisionOutcome decided
        = decideAndCommit([&](const auto& fleet, const AttemptId& each) { return change(fleet, id, each); }, attempt);
    reply(
        response, decided.status, { { "id", id.value() }, { "result", decided.result }, { "reason", decided.reason } });
}

AdminApi::DecisionOutcome AdminApi::decideAndCommit(const Decide& decide, const AttemptId& attempt)
{
    auto promise = std::make_shared<std::promise<DecisionOutcome>>();
    auto future = promise->get_future();
    m_parts.control.run([&] {
        policy::CommandAnswer answer = decide(m_parts.fleet.snapshot(), attempt);
        if (const auto* refused = std::get_if<policy::CommandRefused>(&answer)) {
            promise->set_value({ statusConflict, "refused",
                std::string(policy::name(refused->reason))
                    + (refused->subject.empty() ? "" : ": " + refused->subject) });
            return;
        }
        m_parts.fleet.commit(
            std::move(std::get<policy::FleetChange>(answer)), [promise](const platform::CommitOutcome& outcome) {
                promise->set_value({ httpStatusOf(outcome.status), resultOf(outcome.status), outcome.detail });
            });
    });
    if (future.wait_for(commitTimeout) != std::future_status::ready)
        return { statusUnavailable, "unknown", "no answer from the table" };
    return future.get();
}

void AdminApi::findAttempt(const httplib::Request& request, httplib::Response& response)
{
    const std::string attempt = request.matches[1].str();
    // A client whose response was lost proposes again with the same attempt. If the attempt is in force, the client
    // finds it here.
    const auto rows = valueOrNothing([&] { return m_parts.table.read({ peer::configHeadKey }); });
    if (!rows) {
        reply(response, statusUnavailable, { { "outcome", "unavailable" } });
        return;
    }
    const json head = rows->empty() ? json::object() : json::parse(rows->front().value, nullptr, false);
    const bool isFound = head.is_object() && head.value("attempt", "") == attempt;
    reply(response, 200, { { "found", isFound }, { "version", isFound ? head.value("version", 0) : 0 } });
}

void AdminApi::reportBurn(httplib::Response& response)
{
    handle(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(body, m_parts.burn.body());
            response.set_content(body, jsonType);
            return {};
        },
        [&](const Error& error) { replyError(response, statusUnavailable, error); });
}

void AdminApi::explainVm(const httplib::Request& request, httplib::Response& response)
{
    const VmId id { request.matches[1].str() };
    json lines = json::array();
    bool isKnown = false;
    m_parts.control.run([&] {
        const policy::FleetSnapshot& fleet = m_parts.fleet.snapshot();
        const auto vm = fleet.vms.find(id);
        if (vm == fleet.vms.end())
            return;
        isKnown = true;
        const policy::VmRecord& record = vm->second;
        lines.push_back("belongs to pool " + record.pool.value() + " under epoch " + std::to_string(record.epoch));
        lines.push_back("phase " + std::string(policy::name(record.phase)) + ", purpose "
            + std::string(policy::name(record.purpose)));
        if (!record.operation.isEmpty())
            lines.push_back("disrupted by " + record.operation.value());
        const policy::FleetRefusal refusal = policy::explain(fleet, id, m_parts.clock.now());
        lines.push_back("a planned stop now: " + std::string(policy::name(refusal)));
    });
    if (!isKnown) {
        replyError(response, statusNotFound, { ErrorCode::NotFound, "explain.vm", id.value(), "no such VM" });
        return;
    }
    reply(response, 200, { { "lines", lines } });
}

void AdminApi::explainRequest(const httplib::Request& request, httplib::Response& response)
{
    const RequestId id { request.matches[1].str() };
    const auto pending = m_parts.traffic.find(id);
    if (!pending) {
        replyError(response, statusNotFound,
            { ErrorCode::NotFound, "explain.request", id.value(), "not known to this node, or forgotten" });
        return;
    }
    const auto answer = pending->answer();
    json lines = json::array();
    lines.push_back("kind " + pending->request().spec.kind.value() + ", team " + pending->request().spec.team.value());
    if (answer)
        lines.push_back("answered " + std::string(name(answer->kind))
            + (answer->reason.empty() ? "" : " because of " + answer->reason));
    else
        lines.push_back("not answered yet");
    reply(response, 200, { { "lines", lines } });
}

} // namespace rattanrack::node
