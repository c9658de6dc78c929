#include "traffic/admission.h"

#include <algorithm>

namespace rattanrack::policy {

namespace {

constexpr Duration urgentStartTarget { 5'500'000 };
constexpr Duration defaultRunTime { 1'000'000 };
// Part of the time until the latest start that a request is expected to wait at most. A queue that is always as long as
// deadlines allow lets every run that takes longer than usual miss its deadline.
constexpr double usableWait = 0.75;
constexpr Duration minRetryAdvice { 100'000 };
constexpr Duration maxRetryAdvice { 30'000'000 };
constexpr Duration retryWithoutWorkers { 1'000'000 };

bool isAnyFit(const ResourceSize& size, const CreditHolder& credits)
{
    const auto& shapes = credits.shapes();
    return std::any_of(shapes.begin(), shapes.end(), [&](const auto& shape) { return fits(size, shape.capacity); });
}

std::uint32_t fewestCredits(const ResourceSize& size, const CreditHolder& credits)
{
    std::uint32_t fewest = 0;
    for (const auto& shape : credits.shapes()) {
        const std::uint32_t needed = creditsFor(size, shape.capacity, shape.slots);
        if (needed > 0 && (fewest == 0 || needed < fewest))
            fewest = needed;
    }
    return std::max<std::uint32_t>(fewest, 1);
}

// Most runs fit into the mean and two deviations; a tight deadline gets at least a chance.
Duration reserve(const KindEstimates::RunTime& learned, const Request& request)
{
    const Duration ample = learned.mean + 2 * learned.deviation;
    const Duration half = (request.spec.deadline.at() - request.arrived) / 2;
    return std::min(ample, std::max(learned.mean, half));
}

} // namespace

void Admission::estimate(Request& request, const KindEstimates& estimates, const CreditHolder& credits)
{
    const auto& spec = request.spec;
    request.size = estimates.size(spec.kind, spec.declaredSize);
    if (!isAnyFit(request.size, credits))
        request.size = spec.declaredSize;
    request.credits = fewestCredits(request.size, credits);
    const Duration declared = spec.declaredRunTime > Duration::zero() ? spec.declaredRunTime : defaultRunTime;
    const auto learned = estimates.runTime(spec.kind);
    request.expectedRunTime = learned ? learned->mean : declared;
    request.reservedRunTime = learned ? reserve(*learned, request) : Duration::zero();
}

Deadline Admission::latestStart(const Request& request)
{
    const auto& spec = request.spec;
    Deadline latest = spec.deadline;
    if (latest != Deadline::never())
        latest = Deadline { latest.at() - request.reservedRunTime };
    if (spec.urgency == Urgency::Urgent)
        latest = std::min(latest, Deadline::after(request.arrived, urgentStartTarget));
    return latest;
}

std::optional<Refusal> Admission::refuse(
    const Request& request, const PoolQueue& queue, const CreditHolder& credits, double capacity, TimePoint now)
{
    if (request.spec.deadline.hasPassed(now))
        return Refusal { NotRunReason::DeadlinePassed };
    if (credits.shapes().empty())
        return Refusal { NotRunReason::NoWorkers, retryAdvice(retryWithoutWorkers) };
    if (!isAnyFit(request.spec.declaredSize, credits))
        return Refusal { NotRunReason::NeverFits };
    const Deadline latest = latestStart(request);
    if (latest.hasPassed(now))
        return Refusal { NotRunReason::DeadlineTooSoon };
    const Duration wait = queue.expectedWait(request, capacity);
    const Duration longest = std::chrono::duration_cast<Duration>(latest.remaining(now) * usableWait);
    if (wait > longest)
        return Refusal { NotRunReason::DeadlineTooSoon, retryAdvice(wait - longest) };
    return std::nullopt;
}

Duration Admission::retryAdvice(Duration wait)
{
    const Duration base = std::clamp(wait, minRetryAdvice, maxRetryAdvice);
    return base + Duration { std::uniform_int_distribution<Duration::rep> { 0, base.count() / 2 }(m_random) };
}

} // namespace rattanrack::policy
