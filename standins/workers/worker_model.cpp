#include "worker_model.h"

#include <nlohmann/json.hpp>
#include <random>

#include <algorithm>

namespace rattanrack::standin {

using namespace platform;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

/// What a payload that is a JSON object asks of the stand-in.
struct PayloadWish {
    std::optional<Duration> trueRunTime;
    bool fails { false };
};

PayloadWish wishOf(const std::string& payload)
{
    const auto document = json::parse(payload, nullptr, false);
    if (!document.is_object())
        return {};
    PayloadWish wish;
    if (document.contains("trueRunTimeMs") && document["trueRunTimeMs"].is_number_unsigned())
        wish.trueRunTime = milliseconds { document["trueRunTimeMs"].get<std::int64_t>() };
    wish.fails = document.contains("fails") && document["fails"] == true;
    return wish;
}

constexpr Duration longestReportLag = std::chrono::minutes { 1 };

Duration scaled(Duration duration, double factor)
{
    return Duration { static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor) };
}

std::int64_t scaled(std::int64_t amount, double factor)
{
    return static_cast<std::int64_t>(static_cast<double>(amount) * factor);
}

std::chrono::steady_clock::time_point toSteady(TimePoint at, TimePoint now)
{
    constexpr Duration longestWait = std::chrono::hours { 1 };
    return std::chrono::steady_clock::now() + std::min(at > now ? at - now : Duration::zero(), longestWait);
}

} // namespace

WorkerModel::WorkerModel(VmDescription vm, TaskLog& log)
    : m_vm(std::move(vm))
    , m_log(log)
{
}

TaskOutcome WorkerModel::run(const TaskOrder& order, Duration leaseTime)
{
    std::unique_lock lock { m_mutex };
    const auto seen = m_attempts.find(order.attempt);
    if (seen != m_attempts.end() && seen->second.state != AttemptState::Revoked) {
        ++m_refusals.repeated;
        m_changed.wait(lock, [&] { return seen->second.state != AttemptState::Running; });
        return outcomeOf(seen->second);
    }
    if (auto refused = refusal(order))
        return std::move(*refused);
    auto& attempt = start(order, leaseTime);
    awaitEnd(lock, attempt);
    if (attempt.state == AttemptState::Running)
        finishByItself(attempt, order);
    return outcomeOf(attempt);
}

std::optional<TaskOutcome> WorkerModel::refusal(const TaskOrder& order)
{
    const auto refuse = [](std::uint64_t& counter, TaskStatus status) {
        ++counter;
        return TaskOutcome { status, {}, {} };
    };
    if (m_attempts.contains(order.attempt))
        return refuse(m_refusals.revoked, TaskStatus::RefusedRevoked);
    if (order.poolEpoch < m_epoch)
        return refuse(m_refusals.epoch, TaskStatus::RefusedEpoch);
    m_epoch = order.poolEpoch;
    if (m_isDraining)
        return refuse(m_refusals.draining, TaskStatus::RefusedDraining);
    if (!fits(order.size, m_vm.capacity))
        return refuse(m_refusals.tooLarge, TaskStatus::RefusedTooLarge);
    if (m_runningCount >= m_vm.slots.count())
        return refuse(m_refusals.busy, TaskStatus::RefusedBusy);
    return std::nullopt;
}

WorkerModel::Attempt& WorkerModel::start(const TaskOrder& order, Duration leaseTime)
{
    const auto now = m_clock.now();
    const auto runTime
        = wishOf(order.payload).trueRunTime.value_or(scaled(order.declaredRunTime, m_faults.runTimeFactor));
    auto& attempt = m_attempts[order.attempt];
    attempt.state = AttemptState::Running;
    attempt.size = order.size;
    attempt.lease = Deadline::after(now, leaseTime);
    attempt.started = now;
    attempt.endsAt = m_faults.failsEverything ? now : now + runTime;
    attempt.logEntry = m_log.begin({ m_vm.id, order.attempt, order.request, order.kind, order.payload });
    ++m_runningCount;
    while (!m_recent.empty() && m_recent.front().second->state != AttemptState::Running
        && m_recent.front().second->ended < now - longestReportLag)
        m_recent.pop_front();
    m_recent.emplace_back(order.attempt, &attempt);
    return attempt;
}

void WorkerModel::awaitEnd(std::unique_lock<std::mutex>& lock, Attempt& attempt)
{
    while (attempt.state == AttemptState::Running) {
        const auto now = m_clock.now();
        const auto next = std::min(attempt.endsAt, attempt.lease.at());
        if (!m_faults.isPaused && now >= next)
            return;
        if (m_faults.isPaused)
            m_changed.wait(lock);
        else
            m_changed.wait_until(lock, toSteady(next, now));
    }
}

void WorkerModel::finishByItself(Attempt& attempt, const TaskOrder& order)
{
    if (attempt.lease.at() < attempt.endsAt) {
        attempt.detail = "lease lapsed";
        return finish(attempt, AttemptState::Stopped, {}, "lease_lapsed");
    }
    if (m_faults.failsEverything || wishOf(order.payload).fails)
        return finish(attempt, AttemptState::Failed, "failed", "failed");
    finish(attempt, AttemptState::Completed, "echo:" + order.payload, "completed");
}

void WorkerModel::finish(Attempt& attempt, AttemptState state, std::string output, const std::string& logState)
{
    if (attempt.state == AttemptState::Running)
        --m_runningCount;
    attempt.state = state;
    attempt.output = std::move(output);
    attempt.ended = m_clock.now();
    m_log.end(attempt.logEntry, logState);
    m_changed.notify_all();
}

TaskOutcome WorkerModel::outcomeOf(const Attempt& attempt)
{
    switch (attempt.state) {
    case AttemptState::Completed:
        return { TaskStatus::Completed, attempt.output, {} };
    case AttemptState::Failed:
        return { TaskStatus::Failed, attempt.output, {} };
    default:
        return { TaskStatus::Stopped, attempt.output, attempt.detail };
    }
}

AttemptReport WorkerModel::attempt(const AttemptId& id) const
{
    const std::lock_guard guard { m_mutex };
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end())
        return {};
    return { found->second.state, found->second.output };
}

AttemptReport WorkerModel::revoke(const AttemptId& id)
{
    const std::lock_guard guard { m_mutex };
    auto& attempt = m_attempts[id];
    if (attempt.state == AttemptState::NeverSeen)
        attempt.state = AttemptState::Revoked;
    return { attempt.state, attempt.output };
}

ActionResult WorkerModel::renewLease(const AttemptId& id, Duration leaseTime)
{
    const std::lock_guard guard { m_mutex };
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end() || found->second.state != AttemptState::Running)
        return ActionResult::NotFound;
    auto& lease = found->second.lease;
    lease = std::max(lease, Deadline::after(m_clock.now(), leaseTime));
    m_changed.notify_all();
    return ActionResult::Done;
}

ActionResult WorkerModel::stop(const AttemptId& id, StopMode mode)
{
    const std::lock_guard guard { m_mutex };
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end() || found->second.state != AttemptState::Running)
        return ActionResult::NotFound;
    auto& attempt = found->second;
    const auto now = m_clock.now();
    if (mode == StopMode::Throttle) {
        attempt.endsAt += std::max(attempt.endsAt - now, Duration::zero());
        m_changed.notify_all();
        return ActionResult::Done;
    }
    const auto done = std::chrono::duration_cast<milliseconds>(now - attempt.started).count();
    const bool isCheckpoint = mode == StopMode::Checkpoint;
    finish(attempt, AttemptState::Stopped, isCheckpoint ? "checkpoint:" + std::to_string(done) : std::string {},
        isCheckpoint ? "checkpointed" : "stopped");
    return ActionResult::Done;
}

ActionResult WorkerModel::setDraining(bool isDraining, std::uint64_t poolEpoch, std::uint64_t bootId)
{
    const std::lock_guard guard { m_mutex };
    if (poolEpoch < m_epoch || bootId != m_bootId)
        return ActionResult::Refused;
    m_epoch = poolEpoch;
    m_isDraining = isDraining;
    return ActionResult::Done;
}

WorkerReport WorkerModel::report() const
{
    const std::lock_guard guard { m_mutex };
    const auto at = m_clock.now() - m_faults.reportLag;
    WorkerReport report;
    report.bootId = m_bootId;
    report.poolEpoch = m_epoch;
    report.isDraining = m_isDraining;
    for (const auto& [id, recent] : m_recent) {
        const auto& attempt = *recent;
        if (attempt.started > at || attempt.ended <= at)
            continue;
        report.busySlots += Slots { 1 };
        const auto factor = m_faults.usageFactor;
        report.tasks.push_back({ id,
            { Millicores { scaled(attempt.size.processors.count(), factor) },
                Mebibytes { scaled(attempt.size.memory.count(), factor) }, attempt.size.accelerators } });
    }
    return report;
}

void WorkerModel::boot()
{
    const std::lock_guard guard { m_mutex };
    m_bootId = newBootId();
    m_epoch = 0;
    m_isDraining = true;
}

bool WorkerModel::mayReboot(std::uint64_t poolEpoch, std::uint64_t bootId) const
{
    const std::lock_guard guard { m_mutex };
    return m_isDraining && poolEpoch == m_epoch && bootId == m_bootId && m_runningCount == 0;
}

std::uint64_t WorkerModel::newBootId()
{
    // JSON numbers are whole up to 2^53; 0 stands for "never heard".
    constexpr std::uint64_t largest = (1ULL << 53U) - 1;
    std::random_device random;
    return std::uniform_int_distribution<std::uint64_t> { 1, largest }(random);
}

void WorkerModel::killAll()
{
    const std::lock_guard guard { m_mutex };
    for (const auto& [id, recent] : m_recent) {
        auto& attempt = *recent;
        if (attempt.state != AttemptState::Running)
            continue;
        attempt.detail = "killed";
        finish(attempt, AttemptState::Stopped, {}, "killed");
    }
}

void WorkerModel::waitWhilePaused() const
{
    std::unique_lock lock { m_mutex };
    m_changed.wait(lock, [this] { return !m_faults.isPaused || m_faults.isDead; });
}

WorkerFaults WorkerModel::faults() const
{
    const std::lock_guard guard { m_mutex };
    return m_faults;
}

void WorkerModel::setFaults(const WorkerFaults& faults)
{
    const std::lock_guard guard { m_mutex };
    m_faults = faults;
    m_changed.notify_all();
}

RefusalCounters WorkerModel::refusals() const
{
    const std::lock_guard guard { m_mutex };
    return m_refusals;
}

} // namespace rattanrack::standin
