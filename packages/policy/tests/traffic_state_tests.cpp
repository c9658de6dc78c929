#include "rattanrack/policy/traffic_core.h"

#include "rattanrack/base/invariant.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <set>

using namespace rattanrack;
using namespace rattanrack::policy;
using namespace std::chrono_literals;

namespace {

const PoolId pool { "pool" };
const std::vector<WorkKind> kinds { WorkKind { "check" }, WorkKind { "plan" } };
constexpr int workers = 3;
constexpr std::int64_t slots = 2;
constexpr std::uint32_t maxQueued = 6;

std::uint64_t sequenceCount = 0;
std::uint64_t stepCount = 0;

ViewChanged view(std::uint32_t drainingMask)
{
    ViewChanged event;
    for (int index = 0; index < workers; ++index) {
        event.workers.push_back({ .id = VmId { "w" + std::to_string(index) },
            .pool = pool,
            .rack = RackId { "r" + std::to_string(index % 2) },
            .capacity = { Millicores { 4000 }, Mebibytes { 4000 }, Accelerators { 0 } },
            .slots = Slots { slots },
            .takesWork = (drainingMask >> static_cast<unsigned>(index) & 1U) == 0 });
    }
    event.kinds.push_back({ .kind = kinds[0], .pool = pool, .weight = 4, .floorShare = 0.3 });
    event.kinds.push_back({ .kind = kinds[1], .pool = pool });
    event.teams = { { TeamId { "t0" }, 1 }, { TeamId { "t1" }, 3 } };
    event.pools.push_back({ .pool = pool, .maxQueued = maxQueued, .maxQueuedBytes = 5000, .retryBudget = 0.5 });
    return event;
}

/// What the model knows of one request.
struct Known {
    RequestSpec spec;
    VmId worker; // empty: not running
    std::uint32_t credits { 0 };
    std::set<VmId> tried;
    bool mayHaveRun { false };
    bool wasLost { false };
    int finals { 0 };
};

/// A core beside the simple model that judges its decisions.
struct Harness {
    std::unique_ptr<TrafficPolicy> core = createTrafficCore(1);
    TimePoint now {};
    std::map<RequestId, Known> known;
    std::map<VmId, std::uint32_t> inUse;
    std::uint32_t draining { 0 };
    bool isStopping { false };

    Harness()
    {
        setInvariantsFatal(true);
        ++sequenceCount;
        handle(view(0));
    }

    void handle(const TrafficEvent& event)
    {
        ++stepCount;
        for (const auto& decision : core->handle(event, now))
            std::visit([this](const auto& typed) { judge(typed); }, decision);
    }

    Known& live(const RequestId& id)
    {
        auto found = known.find(id);
        RC_ASSERT(found != known.end());
        RC_ASSERT(found->second.finals == 0);
        return found->second;
    }

    void judge(const Dispatch& decision)
    {
        auto& request = live(decision.request);
        RC_ASSERT(request.worker.isEmpty());
        RC_ASSERT(!(request.wasLost && !request.spec.isRepeatable));
        RC_ASSERT(request.tried.insert(decision.worker).second);
        RC_ASSERT(decision.attemptNumber == request.tried.size());
        RC_ASSERT(!request.spec.deadline.hasPassed(now));
        const auto number = static_cast<unsigned>(decision.worker.value().back() - '0');
        RC_ASSERT((draining >> number & 1U) == 0);
        const bool isWide = request.spec.declaredSize.memory.count() > 3000;
        request.credits = isWide ? 2 : 1;
        request.worker = decision.worker;
        inUse[decision.worker] += request.credits;
        RC_ASSERT(inUse[decision.worker] <= slots);
    }

    void judge(const RejectRequest& decision)
    {
        auto& request = live(decision.request);
        RC_ASSERT(request.worker.isEmpty());
        RC_ASSERT(!request.mayHaveRun);
        ++request.finals;
    }

    void judge(const ConcludeRequest& decision)
    {
        auto& request = live(decision.request);
        RC_ASSERT(request.worker.isEmpty());
        RC_ASSERT(request.mayHaveRun);
        ++request.finals;
    }

    void judge(const StopAttempt& decision) { RC_ASSERT(live(decision.request).worker == decision.worker); }
    void judge(const RestrainAttempt& decision) { RC_ASSERT(live(decision.request).worker == decision.worker); }
    void judge(const SendAsk&) { RC_FAIL("a node alone asks nobody"); }
    void judge(const SendGrant&) { RC_FAIL("a node alone grants nothing"); }

    std::vector<RequestId> running() const
    {
        std::vector<RequestId> ids;
        for (const auto& [id, request] : known) {
            if (!request.worker.isEmpty())
                ids.push_back(id);
        }
        return ids;
    }

    void end(const RequestId& id, AttemptEnd how)
    {
        auto& request = known.at(id);
        const VmId worker = request.worker;
        inUse[worker] -= request.credits;
        request.worker = {};
        request.mayHaveRun |= how != AttemptEnd::Refused;
        request.wasLost |= how == AttemptEnd::Lost;
        handle(AttemptEnded { id, worker, how });
    }

    /// Ends whatever runs and lets all deadlines pass: every request must have had its one final decision by then.
    void settle()
    {
        while (!running().empty())
            end(running().front(), AttemptEnd::Completed);
        now += 1h;
        handle(Tick {});
        for (const auto& [id, request] : known)
            RC_ASSERT(request.finals == 1);
        for (const auto& [worker, count] : inUse)
            RC_ASSERT(count == 0U);
    }
};

/// The model only numbers the requests; the harness judges.
struct Model {
    int submitted { 0 };
};
using Command = rc::state::Command<Model, Harness>;

struct SubmitCommand : Command {
    int number { 0 };
    Urgency urgency { *rc::gen::element(Urgency::Urgent, Urgency::Normal, Urgency::Background) };
    int kind { *rc::gen::inRange(0, 2) };
    int team { *rc::gen::inRange(0, 2) };
    int secondsLeft { *rc::gen::inRange(0, 8) };
    std::int64_t memory { *rc::gen::element<std::int64_t>(500, 500, 3900, 9000) };
    std::uint32_t bytes { *rc::gen::inRange(0U, 3000U) };
    bool isRepeatable { *rc::gen::arbitrary<bool>() };
    bool isTwice { *rc::gen::arbitrary<bool>() };

    explicit SubmitCommand(const Model& model)
        : number(model.submitted)
    {
    }
    void checkPreconditions(const Model& model) const override { RC_PRE(model.submitted == number); }
    void apply(Model& model) const override { ++model.submitted; }
    void run(const Model&, Harness& harness) const override
    {
        const RequestSpec spec { .id = RequestId { "q" + std::to_string(number) },
            .pool = pool,
            .kind = kinds[static_cast<std::size_t>(kind)],
            .team = TeamId { "t" + std::to_string(team) },
            .urgency = urgency,
            .deadline = Deadline::after(harness.now, std::chrono::seconds { secondsLeft }),
            .declaredSize = { Millicores { 100 }, Mebibytes { memory }, Accelerators { 0 } },
            .declaredRunTime = 200ms,
            .bytes = bytes,
            .isRepeatable = isRepeatable };
        harness.known[spec.id].spec = spec;
        harness.handle(Submit { spec });
        if (isTwice && harness.known[spec.id].finals == 0)
            harness.handle(Submit { spec });
    }
    void show(std::ostream& out) const override { out << "submit q" << number << " memory=" << memory; }
};

struct CancelCommand : Command {
    int number { 0 };

    explicit CancelCommand(const Model& model)
        : number(*rc::gen::inRange(0, model.submitted + 1))
    {
    }
    void run(const Model&, Harness& harness) const override
    {
        harness.handle(Cancel { RequestId { "q" + std::to_string(number) } });
    }
    void show(std::ostream& out) const override { out << "cancel q" << number; }
};

struct EndCommand : Command {
    std::size_t which { *rc::gen::inRange<std::size_t>(0, 8) };
    AttemptEnd how { *rc::gen::element(AttemptEnd::Completed, AttemptEnd::Completed, AttemptEnd::Failed,
        AttemptEnd::Refused, AttemptEnd::Lost, AttemptEnd::Stopped) };
    bool isTwice { *rc::gen::arbitrary<bool>() };

    void run(const Model&, Harness& harness) const override
    {
        const auto running = harness.running();
        if (running.empty())
            return;
        const auto& id = running[which % running.size()];
        const VmId worker = harness.known.at(id).worker;
        harness.end(id, how);
        if (isTwice)
            harness.handle(AttemptEnded { id, worker, AttemptEnd::Completed });
    }
    void show(std::ostream& out) const override { out << "end " << which << " as " << static_cast<int>(how); }
};

struct UsageCommand : Command {
    std::size_t which { *rc::gen::inRange<std::size_t>(0, 8) };
    std::int64_t memory { *rc::gen::inRange<std::int64_t>(0, 9000) };

    void run(const Model&, Harness& harness) const override
    {
        const auto running = harness.running();
        if (running.empty())
            return;
        const auto& id = running[which % running.size()];
        harness.handle(UsageReported {
            id, harness.known.at(id).worker, { Millicores { memory }, Mebibytes { memory }, Accelerators { 0 } } });
    }
    void show(std::ostream& out) const override { out << "usage " << which << " " << memory; }
};

struct WaitCommand : Command {
    int milliseconds { *rc::gen::element(0, 1, 100, 900, 6000) };

    void run(const Model&, Harness& harness) const override
    {
        harness.now += std::chrono::milliseconds { milliseconds };
        harness.handle(Tick {});
    }
    void show(std::ostream& out) const override { out << "wait " << milliseconds << " ms"; }
};

struct DrainCommand : Command {
    std::uint32_t mask { *rc::gen::inRange<std::uint32_t>(0, 1U << workers) };

    void run(const Model&, Harness& harness) const override
    {
        harness.draining = mask;
        harness.handle(view(mask));
    }
    void show(std::ostream& out) const override { out << "drain " << mask; }
};

struct StopCommand : Command {
    void run(const Model&, Harness& harness) const override
    {
        harness.isStopping = true;
        harness.handle(StopAdmitting { Deadline::after(harness.now, 2s) });
    }
    void show(std::ostream& out) const override { out << "stop admitting"; }
};

/// Runs a generated sequence and settles it at its end.
void runSequence(const std::vector<std::shared_ptr<const Command>>& commands)
{
    Model model;
    Harness harness;
    for (const auto& command : commands) {
        command->run(model, harness);
        command->apply(model);
    }
    harness.settle();
}

rc::Gen<std::vector<std::shared_ptr<const Command>>> sequences()
{
    return rc::state::gen::commands(Model {},
        rc::state::gen::execOneOfWithArgs<SubmitCommand, SubmitCommand, SubmitCommand, SubmitCommand, EndCommand,
            EndCommand, EndCommand, CancelCommand, WaitCommand, UsageCommand, DrainCommand>());
}

RC_GTEST_PROP(TrafficState, everyRequestHasOneTrueFinalDecisionAndSlotsAreCountedOnce, ())
{
    runSequence(*rc::gen::resize(200, sequences()));
}

RC_GTEST_PROP(TrafficState, stoppingAnswersWhatIsQueued, ())
{
    auto commands = *sequences();
    commands.push_back(std::make_shared<StopCommand>());
    for (const auto& command : *sequences()) {
        if (!std::dynamic_pointer_cast<const SubmitCommand>(command))
            commands.push_back(command);
    }
    runSequence(commands);
}

class PrintCounts : public testing::Environment {
public:
    void TearDown() override
    {
        std::printf("sequences=%llu steps=%llu\n", static_cast<unsigned long long>(sequenceCount),
            static_cast<unsigned long long>(stepCount));
    }
};
[[maybe_unused]] const auto* const printCounts = testing::AddGlobalTestEnvironment(new PrintCounts);

} // namespace
