#include "rattanrack/node/daemon.h"

#include "rattanrack/base/invariant.h"
#include "rattanrack/base/log.h"
#include "rattanrack/config/load.h"
#include "rattanrack/node/admin_api.h"
#include "rattanrack/node/burn_service.h"
#include "rattanrack/node/caller_api.h"
#include "rattanrack/node/coordination_service.h"
#include "rattanrack/node/fleet_service.h"
#include "rattanrack/node/health_api.h"
#include "rattanrack/node/http_server.h"
#include "rattanrack/node/readiness.h"
#include "rattanrack/node/remote_answers.h"
#include "rattanrack/node/sharded_claim_recorder.h"
#include "rattanrack/node/traffic_service.h"
#include "rattanrack/platform/http_table.h"
#include "rattanrack/platform/http_vm_list.h"
#include "rattanrack/platform/http_worker.h"
#include "rattanrack/platform/rate_limited_table.h"
#include "rattanrack/policy/traffic_core.h"

#include <algorithm>
#include <random>
#include <thread>

namespace rattanrack::node {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t maxQueuedPlatformCalls = 4096;
constexpr std::size_t maxQueuedAttempts = 4096;
/// Time in which the load balancer detects that a node is not ready.
constexpr Duration balancerDetectionTime = 2s;
constexpr Duration handOverTimeout = 3s;
constexpr Duration pollInterval = 20ms;
constexpr Duration statusInterval = 500ms;
/// An older view is stale if another node has a newer one.
constexpr Duration maxViewAge = 2s;

// Seven nodes together stay below 300 writes and 1,800 reads a second.
const platform::TableShare tableShare { .writesPerSecond = 40, .readsPerSecond = 250 };

constexpr std::uint32_t claimShards = 8; ///< Must not change while a federation has stored claims.

const std::string planDuty = "plan/fleet";
const std::string creditsDutyPrefix = "credits/";

std::uint32_t randomSeed() { return std::random_device {}(); }

/// Returns an id that no other run of any node process has.
NodeId newNodeId(const std::string& name)
{
    constexpr std::size_t digits = 8;
    std::string suffix(digits, '0');
    std::random_device random;
    for (char& digit : suffix)
        digit = "0123456789abcdef"[random() % 16];
    return NodeId { name + '-' + suffix };
}

std::vector<std::string> textsOf(const std::vector<config::Address>& addresses)
{
    std::vector<std::string> texts;
    texts.reserve(addresses.size());
    for (const config::Address& address : addresses)
        texts.push_back(address.text());
    return texts;
}

std::vector<policy::BurnObjective> objectivesOf(const config::Federation& federation)
{
    std::vector<policy::BurnObjective> objectives;
    for (const config::Pool& pool : federation.pools) {
        for (const config::Kind& kind : pool.kinds) {
            const config::Objective& objective = kind.objective;
            objectives.push_back({ pool.id, kind.id, kind.weight, objective.target,
                { objective.urgentLatency, objective.normalLatency, objective.backgroundLatency } });
        }
    }
    return objectives;
}

policy::BurnOutcome burnOutcomeOf(const Answer& answer)
{
    if (answer.reason == "cancelled" || answer.reason == "stopped")
        return policy::BurnOutcome::Cancelled;
    switch (answer.kind) {
    case AnswerKind::Done:
        return policy::BurnOutcome::Done;
    case AnswerKind::Failed:
        return policy::BurnOutcome::Failed;
    case AnswerKind::NotRun:
        return policy::BurnOutcome::NotRun;
    case AnswerKind::OutcomeUnknown:
        break;
    }
    return policy::BurnOutcome::OutcomeUnknown;
}

std::shared_ptr<platform::Worker> connectWorker(const platform::VmDescription& vm)
{
    return handle(
        [&]() -> Result<std::shared_ptr<platform::Worker>> {
            BOOST_LEAF_AUTO(worker, platform::HttpWorker::create(vm.address));
            return std::shared_ptr<platform::Worker>(std::move(worker));
        },
        [&](const Error& error) {
            logEvent("worker.bad_address", { { "vm", vm.id.value() }, { "error", describe(error) } }, LogLevel::Error);
            return std::shared_ptr<platform::Worker> {};
        });
}

} // namespace

struct Daemon::State {
    State(const config::NodeSettings& nodeSettings, std::unique_ptr<platform::Table> ungovernedTable,
        std::unique_ptr<platform::VmList> vmListService);

    void start(const config::NodeSettings& settings);
    void applyConfiguration(const peer::ConfigDocument& document);
    void onMembersChanged(const std::vector<NodeId>& live);
    void onDutyChanged(const peer::DutyName& duty, const NodeId& holder, platform::RowVersion term);
    void onClaimDutyChanged(policy::ClaimShardIndex shard, const NodeId& holder, platform::RowVersion term);
    void onClaimRequest(const peer::ClaimRequest& request);
    Result<std::unique_ptr<claims::ClaimStore>> createClaimStore();
    void reportStatus();
    bool hasStaleView() const;
    CoordinationEvents coordinationEvents();

    const NodeId self;
    SystemClock clock;
    Metrics metrics;
    Readiness readiness;
    std::unique_ptr<platform::Table> tableService;
    std::unique_ptr<platform::RateLimitedTable> table;
    std::unique_ptr<platform::VmList> vmList;
    WorkerDirectory workers { connectWorker };
    ThreadShares shares;
    ElasticThreadPool platformThreads;
    ElasticThreadPool workerThreads;
    ControlLoop control { clock };
    TableRunner tableRunner { control, platformThreads, *table };
    FleetStore fleetStore { *table };
    std::unique_ptr<claims::ClaimStore> claimStore; ///< Set before anything starts.
    ShardedClaimRecorder claimRecorder { claimStore, *table };
    CoordinationService coordination;
    TrafficService traffic;
    FleetService fleet;
    BurnService burn { { control, clock, platformThreads, *table, self,
        [] { return policy::WallTime { wallClockMilliseconds() }; } } };
    RemoteAnswers remoteAnswers { control, clock, traffic, self,
        [this](const NodeId& node, peer::Message message) { coordination.send(node, std::move(message)); },
        [this](const NodeId& node) { return coordination.isMember(node); } };
    CallerApi callerApi { traffic, remoteAnswers, shares, clock };
    AdminApi adminApi { { control, clock, coordination, fleet, traffic, burn, *table, self } };
    std::unique_ptr<peer::PeerNetwork> network;
    std::unique_ptr<HttpServer> server;
};

Daemon::State::State(const config::NodeSettings& settings, std::unique_ptr<platform::Table> ungovernedTable,
    std::unique_ptr<platform::VmList> vmListService)
    : self(newNodeId(settings.name))
    , tableService(std::move(ungovernedTable))
    , table(std::make_unique<platform::RateLimitedTable>(*tableService, clock, tableShare, randomSeed()))
    , vmList(std::move(vmListService))
    , shares(settings.connections.callers)
    , platformThreads(settings.threads.platform, maxQueuedPlatformCalls)
    , workerThreads(settings.threads.workers, maxQueuedAttempts)
    , coordination({ control, clock, metrics, tableRunner,
          peer::MembershipSettings {
              .self = self,
              .address = settings.peerListen.text(),
              .dataCenter = settings.dataCenter,
              .seeds = textsOf(settings.seedPeers),
              .randomSeed = randomSeed(),
          },
          coordinationEvents() })
    , traffic({ control, clock, metrics, workerThreads, workers, claimRecorder, self,
          policy::createTrafficCore(randomSeed()),
          [this](const policy::SendAsk& ask) { coordination.send(ask.home, peer::CreditAskMessage { ask.ask }); },
          [this](const policy::SendGrant& grant) {
              coordination.send(grant.grant.to, peer::CreditGrantMessage { grant.grant });
          },
          [this](const policy::RequestSpec& spec, const Answer& answer, Duration latency) {
              burn.count(spec.kind, spec.urgency, burnOutcomeOf(answer), latency);
          } })
    , fleet({ control, clock, platformThreads, fleetStore, *vmList, workers, self,
          [this](const policy::ViewChanged& view) {
              shares.setKinds(view.kinds.size());
              traffic.handle(view);
          } })
{
    readiness.set("no_configuration", true);
    readiness.set("no_fleet_view", true);
}

CoordinationEvents Daemon::State::coordinationEvents()
{
    return {
        .onConfiguration = [this](const peer::ConfigDocument& document) { applyConfiguration(document); },
        .onMembers = [this](const std::vector<NodeId>& live) { onMembersChanged(live); },
        .onDuty = [this](const peer::DutyName& duty, const NodeId& holder,
                      platform::RowVersion term) { onDutyChanged(duty, holder, term); },
        .onCreditAsk = [this](const policy::CreditAsk& ask) { traffic.handle(policy::CreditAsked { ask }); },
        .onCreditGrant = [this](const policy::CreditGrant& grant) { traffic.handle(policy::CreditGranted { grant }); },
        .onClaimRequest = [this](const peer::ClaimRequest& request) { onClaimRequest(request); },
        .onClaimReply = [this](const peer::ClaimReply& reply) { claimStore->onReply(reply); },
        .onAnswerQuery = [this](const peer::AnswerQuery& query) { remoteAnswers.handleQuery(query); },
        .onAnswerReply = [this](const peer::AnswerReply& reply) { remoteAnswers.handleReply(reply); },
    };
}

void Daemon::State::onClaimRequest(const peer::ClaimRequest& request)
{
    claimStore->onRequest(request, [this, asker = request.from](peer::ClaimReply reply) {
        control.post([this, asker, reply = std::move(reply)] { coordination.send(asker, reply); });
    });
}

Result<std::unique_ptr<claims::ClaimStore>> Daemon::State::createClaimStore()
{
    claims::ClaimStoreSettings settings;
    settings.home.self = self;
    settings.home.shardCount = claimShards;
    return claims::ClaimStore::create(settings, *table, clock, [this](const NodeId& home, peer::ClaimRequest request) {
        control.post([this, home, request = std::move(request)] { coordination.send(home, request); });
    });
}

void Daemon::State::start(const config::NodeSettings& settings)
{
    control.run([&] {
        coordination.start(*network);
        fleet.start();
        burn.start();
        reportStatus();
    });
    logEvent("node.started",
        { { "node", self.value() }, { "listen", settings.listen.text() }, { "peerListen", settings.peerListen.text() },
            { "dataCenter", settings.dataCenter.value() } });
}

void Daemon::State::applyConfiguration(const peer::ConfigDocument& document)
{
    const auto parsed = config::parse(document.text);
    if (!parsed.isValid()) {
        logEvent("config.unreadable",
            { { "version", document.version }, { "error", config::describe(parsed.diagnostics()) } }, LogLevel::Error);
        return;
    }
    std::vector<peer::DutyName> duties { peer::DutyName { planDuty } };
    for (policy::ClaimShardIndex shard = 0; shard < claimShards; ++shard)
        duties.emplace_back(claims::claimDutyName(shard));
    for (const config::Pool& pool : parsed.value().pools)
        duties.emplace_back(creditsDutyPrefix + pool.id.value());
    coordination.setDuties(std::move(duties));
    burn.setObjectives(objectivesOf(parsed.value()));
    fleet.setConfiguration(parsed.value(), document.version);
    readiness.set("no_configuration", false);
    metrics.setGauge("rattanrack_config_version", {}, static_cast<double>(document.version));
    logEvent("config.in_force", { { "version", document.version } });
}

void Daemon::State::onMembersChanged(const std::vector<NodeId>& live)
{
    metrics.setGauge("rattanrack_live_nodes", {}, static_cast<double>(live.size()));
    traffic.handle(policy::PeersChanged { self, live });
}

void Daemon::State::onDutyChanged(const peer::DutyName& duty, const NodeId& holder, platform::RowVersion term)
{
    if (duty.value() == planDuty) {
        fleet.setPlanner(holder == self);
        return;
    }
    if (duty.value().starts_with(creditsDutyPrefix)) {
        traffic.handle(policy::HomeChanged { PoolId { duty.value().substr(creditsDutyPrefix.size()) }, holder, term });
        return;
    }
    for (policy::ClaimShardIndex shard = 0; shard < claimShards; ++shard) {
        if (duty.value() == claims::claimDutyName(shard))
            onClaimDutyChanged(shard, holder, term);
    }
}

void Daemon::State::onClaimDutyChanged(policy::ClaimShardIndex shard, const NodeId& holder, platform::RowVersion term)
{
    claimStore->setHome(shard, holder);
    if (holder == self)
        claimStore->takeShard(shard, term);
    else
        claimStore->dropShard(shard);
}

bool Daemon::State::hasStaleView() const
{
    const auto contact = fleet.lastTableContact();
    if (!contact || clock.now() - *contact < maxViewAge)
        return false;
    // While no node can read the table, no node has a newer view, and all nodes continue with the views that they have.
    const auto members = coordination.liveness().members;
    return std::any_of(members.begin(), members.end(), [this](const peer::Member& member) {
        return member.state == peer::MemberState::Live && member.digest.viewVersion > fleet.viewVersion();
    });
}

void Daemon::State::reportStatus()
{
    control.at(Deadline::after(clock.now(), statusInterval), [this] { reportStatus(); });
    readiness.set("no_fleet_view", !fleet.lastTableContact() || !fleet.snapshot().hasList);
    readiness.set("stale_fleet_view", hasStaleView());
    coordination.setDigest({ coordination.configuration().version, fleet.viewVersion(),
        static_cast<std::uint32_t>(traffic.liveRequests()) });
    const platform::RateLimitedTableCounters counters = table->counters();
    metrics.setGauge("rattanrack_table_reads_total", {}, static_cast<double>(counters.reads));
    metrics.setGauge("rattanrack_table_writes_total", {}, static_cast<double>(counters.writes));
    metrics.setGauge("rattanrack_table_failures_total", {}, static_cast<double>(counters.failures));
    metrics.setGauge("rattanrack_table_over_share_total", {}, static_cast<double>(counters.overShare));
    metrics.setGauge("rattanrack_invariants_broken_total", {}, static_cast<double>(invariantViolations()));
    metrics.setGauge("rattanrack_live_requests", {}, static_cast<double>(traffic.liveRequests()));
}

Result<std::unique_ptr<Daemon>> Daemon::create(const config::NodeSettings& settings)
{
    setLogLevel(settings.logLevel);
    BOOST_LEAF_AUTO(table, platform::HttpTable::create(settings.platform.table.text()));
    BOOST_LEAF_AUTO(vmList, platform::HttpVmList::create(settings.platform.vmList.text()));
    auto state = std::make_unique<State>(settings, std::move(table), std::move(vmList));
    State& parts = *state;
    BOOST_LEAF_ASSIGN(parts.claimStore, parts.createClaimStore());
    std::unique_ptr<Daemon> daemon(new Daemon(std::move(state)));
    BOOST_LEAF_ASSIGN(
        parts.network, peer::PeerNetwork::create(settings.peerListen.text(), [&parts](peer::Message message) {
            parts.control.post([&parts, message = std::move(message)] { parts.coordination.receive(message); });
        }));
    parts.start(settings);
    BOOST_LEAF_ASSIGN(parts.server,
        HttpServer::create(settings.listen.host, settings.listen.port, { .threads = settings.connections.callers },
            [&parts](httplib::Server& server) {
                addHealthRoutes(server, parts.readiness, parts.metrics);
                parts.callerApi.addRoutes(server);
                parts.adminApi.addRoutes(server);
            }));
    return daemon;
}

Daemon::Daemon(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

Daemon::~Daemon()
{
    // Threads are stopped before the objects that they use: first those that accept work, then the control thread, then
    // those that it uses.
    m_state->server.reset();
    m_state->network.reset();
    m_state->control.stop();
    m_state->claimStore.reset();
    m_state->workerThreads.shutdown();
    m_state->platformThreads.shutdown();
}

void Daemon::shutDown()
{
    State& state = *m_state;
    logEvent("node.leaving", { { "node", state.self.value() }, { "liveRequests", state.traffic.liveRequests() } });
    state.readiness.set("shutting_down", true);
    state.control.run([&] { state.coordination.leave(); });
    std::this_thread::sleep_for(balancerDetectionTime);
    state.control.run([&] { state.traffic.handle(policy::StopAdmitting { Deadline::never() }); });
    // Callers that keep their connections open could keep the node busy forever, so calls in progress end and no
    // further calls are accepted. Requests that no caller waits for continue after that; callers can still fetch their
    // answers through other nodes.
    state.server->stop();
    while (state.traffic.liveRequests() > 0)
        std::this_thread::sleep_for(pollInterval);
    const Deadline handOverDeadline = Deadline::after(state.clock.now(), handOverTimeout);
    bool hasHandedOver = false;
    while (!hasHandedOver && !handOverDeadline.hasPassed(state.clock.now())) {
        state.control.run([&] { hasHandedOver = state.coordination.hasHandedOver(); });
        std::this_thread::sleep_for(pollInterval);
    }
    state.control.run([&] { state.coordination.removeRow(); });
    std::this_thread::sleep_for(pollInterval);
    logEvent("node.left", { { "node", state.self.value() } });
}

} // namespace rattanrack::node
