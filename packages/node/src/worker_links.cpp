#include "rattanrack/node/worker_links.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <utility>

namespace rattanrack::node {

namespace {

/// Of a start, and of the acknowledgement in a look, behind slow orders.
constexpr Duration longestQueueing = std::chrono::milliseconds { 250 };

const jobs::WorkerId& workerOf(const jobs::WorkerCommand& order)
{
    return std::visit([](const auto& each) -> const jobs::WorkerId& { return each.worker; }, order);
}

} // namespace

/// Outlives the links' threads; cut when the owner goes.
struct WorkerLinks::Sink {
    ControlLoop& control;
    const Clock& clock;
    Callbacks answers; ///< Touched on the control thread only.
    bool isCut { false }; ///< Touched on the control thread only.
};

/// A queue of orders and the thread that carries them out.
class WorkerLinks::Link {
public:
    Link(std::shared_ptr<Sink> sink, ElasticThreadPool& threads, jobs::WorkerConnector& connector,
        jobs::WorkerId worker, std::string address)
        : m_sink(std::move(sink))
        , m_threads(threads)
        , m_connector(connector)
        , m_worker(std::move(worker))
        , m_address(std::move(address))
    {
    }

    const std::string& address() const { return m_address; }

    void send(const std::shared_ptr<Link>& self, jobs::WorkerCommand order)
    {
        const bool isLook = std::holds_alternative<jobs::PollCommand>(order);
        Lane& lane = isLook ? m_looks : m_orders;
        {
            const std::lock_guard lock(m_mutex);
            lane.queue.push_back({ std::move(order), m_sink->clock.now() });
            if (!lane.hasThread)
                lane.hasThread = m_threads.submit([self, &lane] { self->run(lane); });
        }
        lane.wakeUp.notify_one();
    }

    /// The threads end once they have carried out what is queued; answers still arrive.
    void close()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isClosed = true;
        }
        m_looks.wakeUp.notify_one();
        m_orders.wakeUp.notify_one();
    }

private:
    struct QueuedOrder {
        jobs::WorkerCommand order;
        TimePoint decidedAt;
    };
    struct Timing {
        TimePoint decidedAt;
        TimePoint takenAt; ///< From the queue.
        Duration queuedFor() const { return takenAt - decidedAt; }
    };
    struct Lane {
        std::deque<QueuedOrder> queue;
        std::condition_variable wakeUp;
        bool hasThread { false };
    };

    void run(Lane& lane)
    {
        const auto channel = m_connector.connect(m_worker, m_address);
        std::unique_lock lock(m_mutex);
        while (true) {
            lane.wakeUp.wait(lock, [&] { return m_isClosed || !lane.queue.empty(); });
            if (lane.queue.empty())
                return;
            QueuedOrder queued = std::move(lane.queue.front());
            lane.queue.pop_front();
            const Timing timing { queued.decidedAt, m_sink->clock.now() };
            const bool isClosed = m_isClosed;
            lock.unlock();
            const bool isTooOld = timing.queuedFor() > longestQueueing;
            // Meant for a life of the worker that may be over; the next one would forget ends that nobody has heard.
            if (auto* look = std::get_if<jobs::PollCommand>(&queued.order); look && (isClosed || isTooOld))
                look->ackedThrough = 0;
            const auto* start = std::get_if<jobs::StartCommand>(&queued.order);
            if (start && isClosed)
                report(*start, { jobs::CommandStatus::NotSent }, timing, &Callbacks::onStartResult);
            else if (start && isTooOld)
                report(*start, { jobs::CommandStatus::Expired }, timing, &Callbacks::onStartResult);
            else
                std::visit([&](const auto& each) { carryOut(*channel, each, timing); }, queued.order);
            lock.lock();
        }
    }

    template <typename OrderType>
    void report(OrderType order, jobs::CommandResult answer, const Timing& timing,
        std::function<void(const OrderType&, const jobs::CommandResult&)> Callbacks::*target)
    {
        answer.queuedFor = timing.queuedFor();
        answer.responseTime = m_sink->clock.now() - timing.decidedAt;
        m_sink->control.post([sink = m_sink, order = std::move(order), answer, target] {
            if (!sink->isCut)
                (sink->answers.*target)(order, answer);
        });
    }

    void carryOut(jobs::WorkerChannel& channel, const jobs::StartCommand& order, const Timing& timing)
    {
        report(order, channel.start(order), timing, &Callbacks::onStartResult);
    }
    void carryOut(jobs::WorkerChannel& channel, const jobs::StopCommand& order, const Timing& timing)
    {
        report(order, channel.stop(order), timing, &Callbacks::onStopResult);
    }
    void carryOut(jobs::WorkerChannel& channel, const jobs::ThrottleCommand& order, const Timing& timing)
    {
        report(order, channel.throttle(order), timing, &Callbacks::onThrottleResult);
    }
    void carryOut(jobs::WorkerChannel& channel, const jobs::PollCommand& order, const Timing& timing)
    {
        m_sink->control.post([sink = m_sink, order, answer = channel.poll(order), sentAt = timing.takenAt] {
            if (!sink->isCut)
                sink->answers.onPollResult(order, answer, sentAt);
        });
    }

    std::shared_ptr<Sink> m_sink;
    ElasticThreadPool& m_threads;
    jobs::WorkerConnector& m_connector;
    const jobs::WorkerId m_worker;
    const std::string m_address;
    std::mutex m_mutex;
    Lane m_looks;
    Lane m_orders;
    bool m_isClosed { false };
};

WorkerLinks::WorkerLinks(ControlLoop& control, const Clock& clock, ElasticThreadPool& threads,
    jobs::WorkerConnector& connector, Callbacks answers)
    : m_threads(threads)
    , m_connector(connector)
    , m_sink(std::make_shared<Sink>(Sink { control, clock, std::move(answers) }))
{
}

WorkerLinks::~WorkerLinks()
{
    m_sink->isCut = true;
    for (const auto& [worker, link] : m_links)
        link->close();
}

void WorkerLinks::setAddresses(const std::map<jobs::WorkerId, std::string>& listed, const jobs::WorkerMachines& inUse)
{
    for (const auto& [worker, address] : listed)
        m_addresses[worker] = address;
    std::erase_if(m_addresses, [&](const auto& each) { return !inUse.contains(each.first); });
    std::erase_if(m_links, [&](const auto& link) {
        const auto address = m_addresses.find(link.first);
        const bool isOver = address == m_addresses.end() || address->second != link.second->address();
        if (isOver)
            link.second->close();
        return isOver;
    });
}

std::shared_ptr<WorkerLinks::Link> WorkerLinks::open(const jobs::WorkerId& worker, const std::string& address)
{
    auto& link = m_links[worker];
    if (!link)
        link = std::make_shared<Link>(m_sink, m_threads, m_connector, worker, address);
    return link;
}

void WorkerLinks::send(jobs::WorkerCommand order)
{
    const auto address = m_addresses.find(workerOf(order));
    if (address == m_addresses.end())
        return;
    const auto link = open(address->first, address->second);
    link->send(link, std::move(order));
}

} // namespace rattanrack::node
