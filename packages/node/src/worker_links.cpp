#include "rattanrack/node/worker_links.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <utility>

namespace rattanrack::node {

namespace {

/// Longest time that a start command, or the acknowledgement in a poll, may wait behind slow commands.
constexpr Duration maxQueueingTime = std::chrono::milliseconds { 250 };

const jobs::WorkerId& workerOf(const jobs::WorkerCommand& command)
{
    return std::visit([](const auto& each) -> const jobs::WorkerId& { return each.worker; }, command);
}

} // namespace

/// Receives the results of the links. The links' threads share the sink, which may outlive the `WorkerLinks` object and
/// is closed when that is destroyed.
struct WorkerLinks::ResultSink {
    ControlLoop& control;
    const Clock& clock;
    Callbacks callbacks; ///< Control thread only.
    bool isClosed { false }; ///< Control thread only.
};

/// The command queues of one worker, and the threads that send the commands.
class WorkerLinks::Link {
public:
    Link(std::shared_ptr<ResultSink> sink, ElasticThreadPool& threads, jobs::WorkerConnector& connector,
        jobs::WorkerId worker, std::string address)
        : m_resultSink(std::move(sink))
        , m_threads(threads)
        , m_connector(connector)
        , m_worker(std::move(worker))
        , m_address(std::move(address))
    {
    }

    const std::string& address() const { return m_address; }

    void send(const std::shared_ptr<Link>& self, jobs::WorkerCommand command)
    {
        const auto* poll = std::get_if<jobs::PollCommand>(&command);
        CommandQueue& queue = poll && !poll->isSurvivalCheck ? m_polls : m_commands;
        std::deque<QueuedCommand> unsent;
        {
            const std::lock_guard lock(m_mutex);
            queue.commands.push_back({ std::move(command), m_resultSink->clock.now() });
            if (!queue.hasThread)
                queue.hasThread = m_threads.submit([self, &queue] { self->run(queue); });
            if (!queue.hasThread)
                unsent.swap(queue.commands);
        }
        queue.wakeUp.notify_one();
        for (const QueuedCommand& each : unsent)
            std::visit(
                [&](const auto& typed) {
                    reportNotSent(typed, { each.decidedAt, each.decidedAt });
                },
                each.command);
    }

    /// The threads end once they have carried out the queued commands; the results are still delivered.
    void close()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isClosed = true;
        }
        m_polls.wakeUp.notify_one();
        m_commands.wakeUp.notify_one();
    }

private:
    struct QueuedCommand {
        jobs::WorkerCommand command;
        TimePoint decidedAt;
    };
    struct Timing {
        TimePoint decidedAt;
        TimePoint dequeuedAt; ///< When the command left the queue.
        Duration queuedFor() const { return dequeuedAt - decidedAt; }
    };
    struct CommandQueue {
        std::deque<QueuedCommand> commands;
        std::condition_variable wakeUp;
        bool hasThread { false };
    };

    void run(CommandQueue& queue)
    {
        const auto channel = m_connector.connect(m_worker, m_address);
        std::unique_lock lock(m_mutex);
        while (true) {
            queue.wakeUp.wait(lock, [&] { return m_isClosed || !queue.commands.empty(); });
            if (queue.commands.empty())
                return;
            QueuedCommand queued = std::move(queue.commands.front());
            queue.commands.pop_front();
            const Timing timing { queued.decidedAt, m_resultSink->clock.now() };
            const bool isClosed = m_isClosed;
            lock.unlock();
            const bool isTooOld = timing.queuedFor() > maxQueueingTime;
            // The acknowledgement is for an incarnation of the worker that may be over. The next incarnation would
            // discard ended runs that this owner has not received.
            if (auto* poll = std::get_if<jobs::PollCommand>(&queued.command); poll && (isClosed || isTooOld))
                poll->ackedThrough = 0;
            const auto* start = std::get_if<jobs::StartCommand>(&queued.command);
            if (start && isClosed)
                reportNotSent(*start, timing);
            else if (start && isTooOld)
                report(*start, { jobs::CommandStatus::Expired }, timing, &Callbacks::onStartResult);
            else
                std::visit([&](const auto& each) { execute(*channel, each, timing); }, queued.command);
            lock.lock();
        }
    }

    template <typename CommandType>
    void report(CommandType command, jobs::CommandResult result, const Timing& timing,
        std::function<void(const CommandType&, const jobs::CommandResult&)> Callbacks::*target)
    {
        result.queuedFor = timing.queuedFor();
        result.receivedAt = m_resultSink->clock.now();
        result.responseTime = result.receivedAt - timing.decidedAt;
        m_resultSink->control.post([sink = m_resultSink, command = std::move(command), result, target] {
            if (!sink->isClosed)
                (sink->callbacks.*target)(command, result);
        });
    }

    void report(const jobs::PollCommand& command, jobs::PollResult result, TimePoint sentAt)
    {
        result.receivedAt = m_resultSink->clock.now();
        m_resultSink->control.post([sink = m_resultSink, command, result = std::move(result), sentAt] {
            if (!sink->isClosed)
                sink->callbacks.onPollResult(command, result, sentAt);
        });
    }

    void reportNotSent(const jobs::StartCommand& command, const Timing& timing)
    {
        report(command, { jobs::CommandStatus::NotSent }, timing, &Callbacks::onStartResult);
    }
    void reportNotSent(const jobs::StopCommand& command, const Timing& timing)
    {
        report(command, { jobs::CommandStatus::NotSent }, timing, &Callbacks::onStopResult);
    }
    void reportNotSent(const jobs::ThrottleCommand& command, const Timing& timing)
    {
        report(command, { jobs::CommandStatus::NotSent }, timing, &Callbacks::onThrottleResult);
    }
    void reportNotSent(const jobs::PollCommand& command, const Timing& timing)
    {
        jobs::PollResult result { jobs::CommandStatus::NotSent };
        result.isBound = true;
        report(command, std::move(result), timing.decidedAt);
    }

    void execute(jobs::WorkerChannel& channel, const jobs::StartCommand& command, const Timing& timing)
    {
        report(command, channel.start(command), timing, &Callbacks::onStartResult);
    }
    void execute(jobs::WorkerChannel& channel, const jobs::StopCommand& command, const Timing& timing)
    {
        report(command, channel.stop(command), timing, &Callbacks::onStopResult);
    }
    void execute(jobs::WorkerChannel& channel, const jobs::ThrottleCommand& command, const Timing& timing)
    {
        report(command, channel.throttle(command), timing, &Callbacks::onThrottleResult);
    }
    void execute(jobs::WorkerChannel& channel, const jobs::PollCommand& command, const Timing& timing)
    {
        report(command, channel.poll(command), timing.dequeuedAt);
    }

    std::shared_ptr<ResultSink> m_resultSink;
    ElasticThreadPool& m_threads;
    jobs::WorkerConnector& m_connector;
    const jobs::WorkerId m_worker;
    const std::string m_address;
    std::mutex m_mutex;
    CommandQueue m_polls;
    CommandQueue m_commands;
    bool m_isClosed { false };
};

WorkerLinks::WorkerLinks(ControlLoop& control, const Clock& clock, ElasticThreadPool& threads,
    jobs::WorkerConnector& connector, Callbacks callbacks)
    : m_threads(threads)
    , m_connector(connector)
    , m_resultSink(std::make_shared<ResultSink>(ResultSink { control, clock, std::move(callbacks) }))
{
}

WorkerLinks::~WorkerLinks()
{
    m_resultSink->isClosed = true;
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
        link = std::make_shared<Link>(m_resultSink, m_threads, m_connector, worker, address);
    return link;
}

void WorkerLinks::send(jobs::WorkerCommand command)
{
    const auto address = m_addresses.find(workerOf(command));
    if (address == m_addresses.end())
        return;
    const auto link = open(address->first, address->second);
    link->send(link, std::move(command));
}

} // namespace rattanrack::node
