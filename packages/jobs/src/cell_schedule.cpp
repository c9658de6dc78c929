#include "cell_state.h"
#include "rattanrack/jobs/placement.h"

#include <algorithm>
#include <tuple>

/// What runs next, and where.
namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration startOverhead = 60ms; ///< From an end to the start of what comes after it.
constexpr Duration answerMargin = 150ms; ///< From the last end until a caller sees the job completed.
constexpr Duration firstLease = 2s; ///< Of a start; looks renew it.
constexpr double hopeful = 0.7; ///< Work may turn out this much shorter than estimated.
constexpr int lateFactor = 3; ///< A job later than this many objectives is worth nothing any more.
constexpr double widestShare = 0.25; ///< A step that takes a larger share of the room runs in several waves.
constexpr int reservedShare = 3; ///< One worker of this many may be kept free for large work.
constexpr Duration ticketMargin = 300ms;
constexpr Duration askAgainAfter = 300ms;
constexpr std::size_t maxWorkersInQuestion = 30;

/// Flood of one kind: what can't be in time any more waits behind what can; what has begun is brought to its end; among
/// the rest small jobs come first, which serves the most callers by the same work.
enum class Rank : std::uint8_t { Lasting, Begun, InTime, Late, Worthless };

struct Ready {
    JobEntry* entry { nullptr };
    int occurrence { 0 };
    int step { 0 };
    Rank rank { Rank::InTime };
    int priority { 0 };
    std::int64_t order { 0 }; ///< Within the rank: work, or time due.

    auto key() const { return std::tuple { rank, priority, order, entry->job.acceptedAtUnixMs, entry->job.id }; }
};

double share(const ResourceSize& size, const ResourceSize& room)
{
    const auto part = [](std::int64_t used, std::int64_t all) {
        return all > 0 ? static_cast<double>(used) / static_cast<double>(all) : 0;
    };
    return std::max(
        part(size.processors.count(), room.processors.count()), part(size.memory.count(), room.memory.count()));
}

std::int64_t workOf(const Job& job)
{
    std::int64_t work = 0;
    for (const Step& step : job.spec.steps)
        work += step.count * step.size.processors.count() * step.estimate.count() / 1000;
    return work;
}

} // namespace

ResourceSize CellState::room() const
{
    ResourceSize room;
    for (const auto& [id, worker] : workers) {
        if (!worker.isListed)
            continue;
        room.processors += worker.description.capacity.processors;
        room.memory += worker.description.capacity.memory;
    }
    return room;
}

void CellState::estimateChain(JobEntry& entry)
{
    entry.isChainStale = false;
    const ResourceSize all = room();
    std::vector<Duration> whole;
    std::vector<Duration> left;
    Duration longestWhole {};
    Duration longestLeft {};
    int number = 0;
    for (const Step& step : entry.job.spec.steps) {
        const double stepShare = share(step.size, all) * step.count;
        const int waves = std::max(1, static_cast<int>(stepShare / widestShare + 0.99));
        const Duration time = runtimes.estimate(entry.job.queue, step.estimate) * waves;
        const bool isDone = entry.progress.isStepDone(0, number++);
        Duration wholeBefore {};
        Duration leftBefore {};
        for (const int earlier : step.after) {
            wholeBefore = std::max(wholeBefore, whole[static_cast<std::size_t>(earlier)]);
            leftBefore = std::max(leftBefore, left[static_cast<std::size_t>(earlier)]);
        }
        whole.push_back(wholeBefore + time);
        left.push_back(leftBefore + (isDone ? Duration {} : time + startOverhead));
        longestWhole = std::max(longestWhole, whole.back());
        longestLeft = std::max(longestLeft, left.back());
    }
    const QueueSettings queue = queueOf(entry);
    const auto objective
        = Duration { static_cast<std::int64_t>(static_cast<double>(longestWhole.count()) * queue.stretch) }
        + queue.latencyTarget;
    entry.chain = longestLeft;
    entry.dueAt = entry.acceptedAt + objective - answerMargin;
}

namespace {

Rank rankOf(const JobEntry& entry, const Step& step, TimePoint now)
{
    if (step.isLasting)
        return Rank::Lasting;
    const auto hoped = Duration { static_cast<std::int64_t>(static_cast<double>(entry.chain.count()) * hopeful) };
    const bool isTimed = entry.job.spec.schedule.times > 0;
    if (isTimed || now + hoped <= entry.dueAt)
        return entry.progress.hasStarted() ? Rank::Begun : Rank::InTime;
    const TimePoint worthless = entry.acceptedAt + (entry.dueAt - entry.acceptedAt) * lateFactor;
    return now + hoped <= worthless ? Rank::Late : Rank::Worthless;
}

/// The room that is left on each worker, while one pass of decisions takes from it.
class Room {
public:
    Room(std::map<WorkerId, Worker>& workers, const WorkerMachines& usable, const std::set<MachineId>& closing,
        TimePoint now)
    {
        for (auto& [id, worker] : workers) {
            const bool isUsable = worker.isListed && worker.contact == WorkerContact::InTouch
                && !worker.description.isDraining && !worker.isClosedFor(now) && usable.contains(id)
                && !closing.contains(worker.description.machine) && worker.clock.isKnown();
            if (!isUsable)
                continue;
            m_workers.push_back(&worker);
            Candidate candidate { &worker.description, worker.description.capacity };
            candidate.free.processors -= worker.used.processors;
            candidate.free.memory -= worker.used.memory;
            candidate.free.accelerators -= worker.used.accelerators;
            m_candidates.push_back(candidate);
        }
    }

    const std::vector<Worker*>& workers() const { return m_workers; }
    std::vector<Candidate>& candidates() { return m_candidates; }

    void take(int place, const Step& step)
    {
        Candidate& candidate = m_candidates[static_cast<std::size_t>(place)];
        const ResourceSize taken = roomTaken(step);
        candidate.free.processors -= taken.processors;
        candidate.free.memory -= taken.memory;
        candidate.free.accelerators -= taken.accelerators;
        countOne(place, step);
    }

    void give(int place, const Step& step)
    {
        Candidate& candidate = m_candidates[static_cast<std::size_t>(place)];
        const ResourceSize taken = roomTaken(step);
        candidate.free.processors += taken.processors;
        candidate.free.memory += taken.memory;
        candidate.free.accelerators += taken.accelerators;
        --candidate.sameStep;
    }

    void countOne(int place, const Step& step)
    {
        Candidate& candidate = m_candidates[static_cast<std::size_t>(place)];
        ++candidate.sameStep;
        candidate.fillers += step.isFiller ? 1 : 0;
        candidate.serving += step.latencyTarget > Duration::zero() ? 1 : 0;
        for (Candidate& other : m_candidates)
            other.sameStepInRack += other.worker->rack == candidate.worker->rack ? 1 : 0;
    }

    /// Keeps the emptiest worker that could hold the step free of smaller work that comes after it. What lasts has no
    /// claim: it may find no place for as long as it runs.
    void reserveFor(const Step& step)
    {
        const auto most = static_cast<int>(m_candidates.size()) / reservedShare;
        if (step.isLasting || m_reserved >= most)
            return;
        Candidate* best = nullptr;
        for (Candidate& candidate : m_candidates) {
            const bool isFull = step.maxPerWorker > 0 && candidate.sameStep >= step.maxPerWorker;
            const bool isBetter = !best || candidate.free.processors > best->free.processors;
            if (!candidate.isReserved && !isFull && isAllowed(step, *candidate.worker) && isBetter)
                best = &candidate;
        }
        if (!best)
            return;
        best->isReserved = true;
        ++m_reserved;
    }

private:
    std::vector<Worker*> m_workers;
    std::vector<Candidate> m_candidates;
    int m_reserved { 0 };
};

/// Counts what runs beside, for one step.
void countNeighbours(Room& room, const CellState& state, const JobEntry& entry, int occurrence, int step)
{
    auto& candidates = room.candidates();
    for (Candidate& candidate : candidates)
        candidate.sameStep = candidate.sameStepInRack = candidate.serving = candidate.fillers = 0;
    for (std::size_t at = 0; at < candidates.size(); ++at) {
        for (const auto& [task, run] : room.workers()[at]->runs) {
            const JobEntry* other = state.find(task.job);
            if (!other || !other->progress.has(task))
                continue;
            const Step& otherStep = CellState::stepOf(*other, task);
            candidates[at].fillers += otherStep.isFiller ? 1 : 0;
            candidates[at].serving += otherStep.latencyTarget > Duration::zero() ? 1 : 0;
            const bool isSame = other == &entry && task.occurrence == occurrence && task.step == step;
            if (!isSame)
                continue;
            ++candidates[at].sameStep;
            for (Candidate& each : candidates)
                each.sameStepInRack += each.worker->rack == candidates[at].worker->rack ? 1 : 0;
        }
    }
}

bool looksAtNeighbours(const Step& step)
{
    return step.isLasting || step.isFiller || step.maxPerWorker > 0 || step.wantsOneRack || step.mayMiss > 0;
}

} // namespace

void CellState::schedule(TimePoint now, std::int64_t wallMs)
{
    std::vector<Ready> ready;
    for (auto& [id, owned] : jobs) {
        JobEntry& entry = *owned;
        if (!entry.isStored || entry.progress.hasEnded() || (entry.isOld && isRecovering))
            continue;
        if (entry.isChainStale)
            estimateChain(entry);
        for (int occurrence = 0; occurrence < entry.progress.occurrences(); ++occurrence) {
            for (int step = 0; step < static_cast<int>(entry.job.spec.steps.size()); ++step) {
                if (entry.progress.waitingTasks(occurrence, step) == 0
                    || !entry.progress.isReady(occurrence, step, wallMs))
                    continue;
                Ready each { &entry, occurrence, step };
                each.rank = rankOf(entry, entry.job.spec.steps[static_cast<std::size_t>(step)], now);
                each.priority = queueOf(entry).priority;
                each.order = each.rank == Rank::InTime ? workOf(entry.job) : entry.dueAt.time_since_epoch().count();
                ready.push_back(each);
            }
        }
    }
    waiting = {};
    if (ready.empty())
        return;
    std::sort(
        ready.begin(), ready.end(), [](const Ready& left, const Ready& right) { return left.key() < right.key(); });
    Room space { workers, storedWorkers, closing, now };
    for (const Ready& each : ready) {
        JobEntry& entry = *each.entry;
        const Step& step = entry.job.spec.steps[static_cast<std::size_t>(each.step)];
        const StepTicket* ticket = nullptr;
        if (queueOf(entry).needsTickets) {
            StepTicket& known = entry.tickets[{ each.occurrence, each.step }];
            const bool isValid = now + ticketMargin < known.validUntil;
            if (!isValid && !known.isAsked && now >= known.askAgainAt) {
                AdviceQuestion question { { entry.job.id, each.occurrence, each.step, 0 }, {} };
                for (const Worker* worker : space.workers()) {
                    if (question.workers.size() < maxWorkersInQuestion)
                        question.workers.push_back(worker->description.id);
                }
                known.isAsked = !question.workers.empty();
                if (known.isAsked)
                    output.questions.push_back(std::move(question));
            }
            if (!isValid)
                continue;
            ticket = &known;
        }
        if (looksAtNeighbours(step))
            countNeighbours(space, *this, entry, each.occurrence, each.step);
        std::vector<std::pair<int, int>> chosen; // Index of the subtask, place.
        for (int index = 0; index < step.count; ++index) {
            if (entry.progress.task({ entry.job.id, each.occurrence, each.step, index }).phase != TaskPhase::Waiting)
                continue;
            auto candidates = space.candidates();
            if (ticket) {
                for (Candidate& candidate : candidates)
                    candidate.isReserved = candidate.isReserved || !ticket->tickets.contains(candidate.worker->id);
            }
            const int place = choosePlace(step, ticket ? candidates : space.candidates());
            if (place < 0)
                break;
            space.take(place, step);
            chosen.emplace_back(index, place);
        }
        const bool isWhole = static_cast<int>(chosen.size()) == entry.progress.waitingTasks(each.occurrence, each.step);
        const int left = entry.progress.waitingTasks(each.occurrence, each.step) - static_cast<int>(chosen.size());
        waiting += Millicores { roomTaken(step).processors.count() * left };
        const bool isGangSplit
            = step.isGang && (!isWhole || entry.progress.waitingTasks(each.occurrence, each.step) != step.count);
        if (!isWhole && each.rank <= Rank::Begun)
            space.reserveFor(step);
        if (isGangSplit) {
            for (const auto& [index, place] : chosen)
                space.give(place, step);
            continue;
        }
        RunNumber gangRun = firstRun;
        for (const auto& [index, place] : chosen)
            gangRun
                = std::max(gangRun, entry.progress.task({ entry.job.id, each.occurrence, each.step, index }).lastRun);
        for (const auto& [index, place] : chosen) {
            const TaskRef task { entry.job.id, each.occurrence, each.step, index };
            Worker& worker = *space.workers()[static_cast<std::size_t>(place)];
            const RunNumber last = entry.progress.task(task).lastRun;
            const RunNumber number = (step.isGang ? gangRun : std::max(firstRun, last)) + 1;
            Run& run = addRun(worker, task, number, step);
            run.isOrderOnItsWay = true;
            run.start = { worker.description.id, task, number, entry.job.spec.text, worker.clock.grant(firstLease, now),
                settings.fence, entry.progress.task(task).checkpoint,
                ticket ? ticket->tickets.at(worker.description.id) : std::string {} };
            entry.progress.starting(task, number);
            output.orders.emplace_back(run.start);
        }
    }
}

void Cell::onAdvice(const AdviceAnswer& answer, TimePoint now)
{
    JobEntry* entry = m_state->find(answer.step.job);
    if (!entry)
        return;
    StepTicket& ticket = entry->tickets[{ answer.step.occurrence, answer.step.step }];
    ticket.isAsked = false;
    ticket.askAgainAt = now + askAgainAfter;
    if (!answer.isAnswered)
        return;
    ticket.tickets.clear();
    for (const AdviceTicket& each : answer.good)
        ticket.tickets[each.worker] = each.ticket;
    ticket.validUntil = now + answer.validFor;
}

} // namespace rattanrack::jobs
