#include "cell_world.h"

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

void CellWorld::perform(const WorkerCommand& order, int owner)
{
    std::visit(
        [this, owner](const auto& each) {
            if constexpr (std::is_same_v<std::decay_t<decltype(each)>, LookOrder>)
                look(each, owner);
            else
                performOrder(each, owner);
        },
        order);
}

template <typename OrderType> void CellWorld::performOrder(const OrderType& order, int owner)
{
    const bool isLost = happens(m_faults.lostOrders);
    const bool isAnswerLost = isLost || happens(m_faults.lostAnswers);
    const CarriedOut how { m_now, isLost, owner == m_owner && present() };
    const TimePoint sentAt = sendAt(owner, order.worker);
    if (sentAt == m_now)
        return send(order, owner, how, isAnswerLost);
    after(sentAt - m_now, [this, order, owner, how, isAnswerLost] {
        const bool isStart = std::is_same_v<OrderType, StartOrder>;
        if (!ownerOf(owner))
            return; // Its queues have gone with it.
        if (isStart && m_now - how.orderedAt > longestQueueing)
            onLoop(
                owner, [this, order](Owner& asking) { asking.cell->onAnswer(order, { CallStatus::Expired }, m_now); });
        else
            send(order, owner, how, isAnswerLost);
    });
}

/// When the order is sent that has just been given.
TimePoint CellWorld::sendAt(int owner, const WorkerId& worker)
{
    TimePoint& sentUpTo = ownerOf(owner)->sentUpTo[worker];
    const Duration wait = happens(m_faults.slowOrders) ? between(0us, 3s) : Duration {};
    sentUpTo = std::max(sentUpTo, m_now + wait);
    return sentUpTo;
}

template <typename OrderType>
void CellWorld::send(const OrderType& order, int owner, const CarriedOut& how, bool isAnswerLost)
{
    const auto tell = [this, order, owner](const CommandResult& answer) {
        onLoop(owner, [this, order, answer](Owner& asking) { asking.cell->onAnswer(order, answer, m_now); });
    };
    if (isAnswerLost)
        after(orderTimeout, [tell] { tell({ CallStatus::NoResponse }); });
    after(wayThere, [this, order, tell, isAnswerLost, how] {
        ModelWorker* worker = find(order.worker);
        if (!worker || isCut(order.worker)) {
            if (!isAnswerLost)
                after(orderTimeout, [tell] { tell({ CallStatus::NoResponse }); });
            return;
        }
        if constexpr (std::is_same_v<OrderType, StartOrder>) {
            const bool isOfOtherLife = worker->description().bornUnixMs != order.bornUnixMs;
            if (isOfOtherLife && !isAnswerLost)
                tell({ CallStatus::NotSent }); // The connection has ended with the life that it was to.
            if (isOfOtherLife)
                return;
        }
        if (how.isHeldUp)
            return carryOutLate(order, worker->description().bornUnixMs, how);
        const CommandResult answer = carryOut(*worker, order, how);
        if (!isAnswerLost)
            after(wayThere, [tell, answer] { tell(answer); });
    });
}

/// The life of the worker that has received the order carries it out, if it lasts until then.
template <typename OrderType>
void CellWorld::carryOutLate(const OrderType& order, std::int64_t bornUnixMs, const CarriedOut& how)
{
    after(between(2s, 12s), [this, order, bornUnixMs, how] {
        ModelWorker* worker = find(order.worker);
        if (worker && worker->description().bornUnixMs == bornUnixMs)
            carryOut(*worker, order, how);
    });
}

CommandResult CellWorld::carryOut(ModelWorker& worker, const StartOrder& order, const CarriedOut& how)
{
    const auto before = worker.runs().find(order.task);
    const bool wasThere = before != worker.runs().end() && before->second.number == order.run;
    const CommandResult answer = worker.start(order, workOf(order.task), happens(m_faults.failedRuns), m_now);
    hear(worker);
    if (answer.status == CallStatus::Done && !wasThere) {
        m_oracle.started(order, how, m_now);
        checkStart(worker, order, how);
    }
    hear(worker);
    return answer;
}

CommandResult CellWorld::carryOut(ModelWorker& worker, const StopOrder& order, const CarriedOut& how)
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

void CellWorld::look(const LookOrder& order, int owner)
{
    const Duration wait = happens(m_faults.slowOrders) ? between(0us, 3s) : Duration {};
    LookOrder sent = order;
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
void CellWorld::lookLate(const LookOrder& order, std::int64_t bornUnixMs)
{
    after(between(2s, 12s), [this, order, bornUnixMs] {
        ModelWorker* worker = find(order.worker);
        if (!worker || worker->description().bornUnixMs != bornUnixMs)
            return;
        worker->poll(order, wholeList, m_now);
        hear(*worker);
    });
}

void CellWorld::finishLook(LookOrder order, TimePoint sentAt, TimePoint deadline, int owner)
{
    const auto tell = [this, order, sentAt, owner](const LookAnswer& answer) {
        onLoop(owner,
            [this, order, sentAt, answer](Owner& asking) { asking.cell->onAnswer(order, answer, sentAt, m_now); });
    };
    ModelWorker* worker = find(order.worker);
    const bool isReached = worker && !isCut(order.worker);
    if (isReached && worker->description().bornUnixMs != order.bornUnixMs)
        order.ackedThrough = 0; // Over a new connection.
    const bool isHeldUp = isReached && happens(m_faults.heldUpLooks);
    if (isHeldUp)
        lookLate(order, worker->description().bornUnixMs);
    if (!isReached || isHeldUp) {
        after(orderTimeout, [tell] { tell({ CallStatus::NoResponse }); });
        return;
    }
    LookAnswer answer = worker->poll(order, happens(m_faults.shortLists) ? shortList : wholeList, m_now);
    hear(*worker);
    if (answer.status == CallStatus::Done && answer.report.endedRuns.empty() && m_now < deadline) {
        after(lookPoll, [this, order, sentAt, deadline, owner] { finishLook(order, sentAt, deadline, owner); });
        return;
    }
    if (answer.status == CallStatus::Done)
        noteEnds(answer.report);
    if (happens(m_faults.lostAnswers))
        answer = { CallStatus::NoResponse };
    after(wayThere, [tell, answer] { tell(answer); });
}

} // namespace rattanrack::jobs::model
