#include "cell_simulation.h"

#include <algorithm>

/// How orders get to the workers, and their answers to the owners.
namespace rattanrack::jobs::model {

namespace {

using namespace std::chrono_literals;

constexpr Duration wayThere = 2ms;
constexpr Duration orderTimeout = 700ms;
constexpr Duration lookPoll = 10ms; ///< A look that waits for an end sees it after this.
constexpr Duration longestQueueing = 250ms; ///< Of a start before it is sent.
constexpr std::size_t wholeList = 500; ///< Ends that a worker lists at most.
constexpr std::size_t shortList = 1;

} // namespace

void CellSimulation::perform(const WorkerCommand& order, int owner)
{
    std::visit(
        [this, owner](const auto& each) {
            if constexpr (std::is_same_v<std::decay_t<decltype(each)>, PollCommand>)
                look(each, owner);
            else
                performOrder(each, owner);
        },
        order);
}

template <typename OrderType> void CellSimulation::performOrder(const OrderType& order, int owner)
{
    const bool isLost = happens(m_faults.lostOrders);
    const bool isAnswerLost = isLost || happens(m_faults.lostAnswers);
    const CarriedOut how { m_now, isLost, owner == m_owner && present() };
    const TimePoint sentAt = sendAt(owner, order.worker);
    if (sentAt == m_now)
        return send(order, owner, how, isAnswerLost);
    after(sentAt - m_now, [this, order, owner, how, isAnswerLost] {
        const bool isStart = std::is_same_v<OrderType, StartCommand>;
        if (!ownerOf(owner))
            return; // Its queues have gone with it.
        if (isStart && m_now - how.orderedAt > longestQueueing)
            onLoop(owner,
                [this, order](Owner& asking) { asking.cell->onResult(order, { CommandStatus::Expired }, m_now); });
        else
            send(order, owner, how, isAnswerLost);
    });
}

/// When the order is sent that has just been given.
TimePoint CellSimulation::sendAt(int owner, const WorkerId& worker)
{
    TimePoint& sentUpTo = ownerOf(owner)->sentUpTo[worker];
    const Duration wait = happens(m_faults.slowOrders) ? between(0us, 3s) : Duration {};
    sentUpTo = std::max(sentUpTo, m_now + wait);
    return sentUpTo;
}

template <typename OrderType>
void CellSimulation::send(const OrderType& order, int owner, const CarriedOut& how, bool isAnswerLost)
{
    const auto tell = [this, order, owner](const CommandResult& answer) {
        onLoop(owner, [this, order, answer](Owner& asking) { asking.cell->onResult(order, answer, m_now); });
    };
    if (isAnswerLost)
        after(orderTimeout, [tell] { tell({ CommandStatus::NoResponse }); });
    after(wayThere, [this, order, tell, isAnswerLost, how] {
        ModelWorker* worker = find(order.worker);
        if (!worker || isCut(order.worker)) {
            if (!isAnswerLost)
                after(orderTimeout, [tell] { tell({ CommandStatus::NoResponse }); });
            return;
        }
        if constexpr (std::is_same_v<OrderType, StartCommand>) {
            const bool isOfOtherLife = worker->description().incarnationUnixMs != order.incarnationUnixMs;
            if (isOfOtherLife && !isAnswerLost)
                tell({ CommandStatus::NotSent }); // The connection has ended with the life that it was to.
            if (isOfOtherLife)
                return;
        }
        if (how.isHeldUp)
            return carryOutLate(order, worker->description().incarnationUnixMs, how);
        const CommandResult answer = carryOut(*worker, order, how);
        if (!isAnswerLost)
            after(wayThere, [tell, answer] { tell(answer); });
    });
}

/// The life of the worker that has received the order carries it out, if it lasts until then.
template <typename OrderType>
void CellSimulation::carryOutLate(const OrderType& order, std::int64_t incarnationUnixMs, const CarriedOut& how)
{
    after(between(2s, 12s), [this, order, incarnationUnixMs, how] {
        ModelWorker* worker = find(order.worker);
        if (worker && worker->description().incarnationUnixMs == incarnationUnixMs)
            carryOut(*worker, order, how);
    });
}

CommandResult CellSimulation::carryOut(ModelWorker& worker, const StartCommand& order, const CarriedOut& how)
{
    const auto before = worker.runs().find(order.task);
    const bool wasThere = before != worker.runs().end() && before->second.number == order.run;
    const CommandResult answer = worker.start(order, workOf(order.task), happens(m_faults.failedRuns), m_now);
    hear(worker);
    if (answer.status == CommandStatus::Done && !wasThere) {
        m_oracle.started(order, how, m_now);
        checkStart(worker, order, how);
    }
    hear(worker);
    return answer;
}

CommandResult CellSimulation::carryOut(ModelWorker& worker, const StopCommand& order, const CarriedOut& how)
{
    worker.advance(m_now);
    hear(worker);
    if (worker.wouldAccept(order.fence) && worker.isActive(order.task, order.run))
        m_oracle.stopped(order, how, m_now);
    const Duration time = happens(m_faults.slowStops) ? between(0us, longestStop) : Duration {};
    const CommandResult answer = worker.stop(order, time, m_now);
    hear(worker);
    return answer;
}

void CellSimulation::look(const PollCommand& order, int owner)
{
    const Duration wait = happens(m_faults.slowOrders) ? between(0us, 3s) : Duration {};
    PollCommand sent = order;
    if (wait > longestQueueing)
        sent.ackedThrough = 0;
    after(wait, [this, sent, owner] {
        if (!ownerOf(owner))
            return;
        const TimePoint sentAt = m_now;
        after(wayThere, [this, sent, sentAt, owner] { finishLook(sent, sentAt, m_now + sent.longestWait, owner); });
    });
}

/// The life of the worker that has received the look carries it out, if it lasts until then.
void CellSimulation::lookLate(const PollCommand& order, std::int64_t incarnationUnixMs)
{
    after(between(2s, 12s), [this, order, incarnationUnixMs] {
        ModelWorker* worker = find(order.worker);
        if (!worker || worker->description().incarnationUnixMs != incarnationUnixMs)
            return;
        worker->poll(order, wholeList, m_now);
        hear(*worker);
    });
}

void CellSimulation::finishLook(PollCommand order, TimePoint sentAt, TimePoint deadline, int owner)
{
    const auto tell = [this, order, sentAt, owner](const PollResult& answer) {
        onLoop(owner,
            [this, order, sentAt, answer](Owner& asking) { asking.cell->onResult(order, answer, sentAt, m_now); });
    };
    ModelWorker* worker = find(order.worker);
    const bool isReached = worker && !isCut(order.worker);
    if (isReached && worker->description().incarnationUnixMs != order.incarnationUnixMs)
        order.ackedThrough = 0; // Over a new connection.
    const bool isHeldUp = isReached && happens(m_faults.heldUpLooks);
    if (isHeldUp)
        lookLate(order, worker->description().incarnationUnixMs);
    if (!isReached || isHeldUp) {
        after(orderTimeout, [tell] { tell({ CommandStatus::NoResponse }); });
        return;
    }
    PollResult answer = worker->poll(order, happens(m_faults.shortLists) ? shortList : wholeList, m_now);
    hear(*worker);
    if (answer.status == CommandStatus::Done && answer.report.endedRuns.empty() && m_now < deadline) {
        after(lookPoll, [this, order, sentAt, deadline, owner] { finishLook(order, sentAt, deadline, owner); });
        return;
    }
    if (answer.status == CommandStatus::Done)
        noteEnds(answer.report);
    if (happens(m_faults.lostAnswers))
        answer = { CommandStatus::NoResponse };
    after(wayThere, [tell, answer] { tell(answer); });
}

} // namespace rattanrack::jobs::model
