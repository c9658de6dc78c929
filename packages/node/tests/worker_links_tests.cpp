#include "rattanrack/node/worker_links.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <system_error>
#include <thread>
#include <vector>

using namespace rattanrack;
using namespace rattanrack::node;

namespace {

/// Accepts every command; starts and polls take `startTime`.
class Channel final : public jobs::WorkerChannel {
public:
    explicit Channel(Duration startTime)
        : m_startTime(startTime)
    {
    }

    jobs::CommandResult start(const jobs::StartCommand&) override
    {
        std::this_thread::sleep_for(m_startTime);
        return { jobs::CommandStatus::Done };
    }
    jobs::CommandResult stop(const jobs::StopCommand&) override { return { jobs::CommandStatus::Done }; }
    jobs::CommandResult throttle(const jobs::ThrottleCommand&) override { return { jobs::CommandStatus::Done }; }
    jobs::PollResult poll(const jobs::PollCommand&) override
    {
        std::this_thread::sleep_for(m_startTime);
        return { jobs::CommandStatus::Done };
    }

private:
    Duration m_startTime;
};

class Connector final : public jobs::WorkerConnector {
public:
    std::unique_ptr<jobs::WorkerChannel> connect(const jobs::WorkerId&, const std::string&) override
    {
        ++connections;
        return std::make_unique<Channel>(startTime);
    }

    Duration startTime {};
    std::atomic<int> connections { 0 };
};

/// Links to one worker that responds slowly to each command.
class SlowWorker {
public:
    explicit SlowWorker(WorkerLinks::Callbacks answers)
    {
        m_connector.startTime = std::chrono::milliseconds { 400 };
        m_control.run([&] {
            m_links = std::make_unique<WorkerLinks>(m_control, m_clock, m_threads, m_connector, std::move(answers));
            m_links->setAddresses({ { m_worker, "10.0.0.1:1" } }, { { m_worker, jobs::MachineId {} } });
        });
    }
    ~SlowWorker()
    {
        m_control.run([&] { m_links.reset(); });
        m_threads.shutdown();
    }
    SlowWorker(const SlowWorker&) = delete;
    SlowWorker& operator=(const SlowWorker&) = delete;

    const jobs::WorkerId& id() const { return m_worker; }
    void send(int count, const jobs::WorkerCommand& command)
    {
        m_control.run([&] {
            for (int number = 0; number < count; ++number)
                m_links->send(command);
        });
    }

private:
    const jobs::WorkerId m_worker { "w" };
    const SystemClock m_clock;
    Connector m_connector;
    ElasticThreadPool m_threads { 2, 100 };
    ControlLoop m_control { m_clock };
    std::unique_ptr<WorkerLinks> m_links;
};

} // namespace

TEST(WorkerLinks, ThreadsOfRemovedWorkersServeLaterWorkers)
{
    const SystemClock clock;
    Connector connector;
    ElasticThreadPool threads { 2, 100 }; // As many as one worker takes.
    ControlLoop control { clock };
    std::promise<void>* answered = nullptr;
    const auto record = [&](const auto&, const auto&) { answered->set_value(); };
    std::unique_ptr<WorkerLinks> links;
    control.run([&] {
        links = std::make_unique<WorkerLinks>(control, clock, threads, connector,
            WorkerLinks::Callbacks {
                record, record, record, [&](const auto&, const auto&, TimePoint) { answered->set_value(); } });
    });
    for (int number = 0; number < 20; ++number) {
        const jobs::WorkerId worker { "w" + std::to_string(number) };
        std::promise<void> started;
        std::promise<void> polled;
        control.run([&] {
            links->setAddresses({ { worker, "10.0.0.1:1" } }, { { worker, jobs::MachineId {} } });
            answered = &started;
            links->send(jobs::StartCommand { worker });
        });
        started.get_future().wait();
        control.run([&] {
            answered = &polled;
            links->send(jobs::PollCommand { worker });
        });
        polled.get_future().wait();
    }
    EXPECT_EQ(connector.connections, 40);
    control.run([&] { links.reset(); });
    threads.shutdown();
}

TEST(WorkerLinks, StartThatWaitedTooLongBehindSlowStartsExpires)
{
    using namespace std::chrono_literals;
    constexpr int starts = 4;
    std::vector<jobs::CommandResult> answers;
    std::promise<void> isAnswered;
    const auto record = [&](const jobs::StartCommand&, const jobs::CommandResult& answer) {
        answers.push_back(answer);
        if (answers.size() == starts)
            isAnswered.set_value();
    };
    const auto ignore = [](const auto&...) {};
    SlowWorker worker { { record, ignore, ignore, ignore } };
    worker.send(starts, jobs::StartCommand { worker.id() });
    isAnswered.get_future().wait();
    EXPECT_EQ(answers.front().status, jobs::CommandStatus::Done);
    EXPECT_EQ(answers.back().status, jobs::CommandStatus::Expired);
    EXPECT_GT(answers.back().queuedFor, 250ms);
}

TEST(WorkerLinks, PollThatWaitedTooLongAcknowledgesNothing)
{
    std::vector<std::int64_t> acknowledged;
    std::promise<void> isAnswered;
    const auto record = [&](const jobs::PollCommand& poll, const jobs::PollResult&, TimePoint) {
        acknowledged.push_back(poll.ackedThrough);
        if (acknowledged.size() == 2)
            isAnswered.set_value();
    };
    const auto ignore = [](const auto&...) {};
    SlowWorker worker { { ignore, ignore, ignore, record } };
    worker.send(2, jobs::PollCommand { worker.id(), 1, 7 });
    isAnswered.get_future().wait();
    EXPECT_EQ(acknowledged, (std::vector<std::int64_t> { 7, 0 }));
}

namespace {

/// Polls block until they are released; all other commands return at once.
class BlockingPolls final : public jobs::WorkerConnector {
public:
    std::unique_ptr<jobs::WorkerChannel> connect(const jobs::WorkerId&, const std::string&) override
    {
        return std::make_unique<BlockingChannel>(*this);
    }

    std::promise<void> release;
    std::shared_future<void> released { release.get_future().share() };
    std::atomic<int> activePolls { 0 };

private:
    class BlockingChannel final : public jobs::WorkerChannel {
    public:
        explicit BlockingChannel(BlockingPolls& polls)
            : m_polls(polls)
        {
        }

        jobs::CommandResult start(const jobs::StartCommand&) override { return { jobs::CommandStatus::Done }; }
        jobs::CommandResult stop(const jobs::StopCommand&) override { return { jobs::CommandStatus::Done }; }
        jobs::CommandResult throttle(const jobs::ThrottleCommand&) override { return { jobs::CommandStatus::Done }; }
        jobs::PollResult poll(const jobs::PollCommand&) override
        {
            ++m_polls.activePolls;
            m_polls.released.wait();
            return { jobs::CommandStatus::Done };
        }

    private:
        BlockingPolls& m_polls;
    };
};

bool reaches(const std::atomic<int>& count, int wanted)
{
    for (int tries = 0; tries < 500 && count < wanted; ++tries)
        std::this_thread::sleep_for(std::chrono::milliseconds { 10 });
    return count == wanted;
}

} // namespace

TEST(WorkerLinks, PollsOfAllWorkersDelayNoStart)
{
    constexpr int workers = 85;
    BlockingPolls connector;
    std::atomic<int> started { 0 };
    SystemClock clock;
    constexpr std::size_t threadCount = 2UL * workers;
    ElasticThreadPool threads { threadCount, threadCount };
    ControlLoop control { clock };
    std::unique_ptr<WorkerLinks> links;
    const auto named = [](int number) { return jobs::WorkerId { "w" + std::to_string(number) }; };
    control.run([&] {
        links = std::make_unique<WorkerLinks>(control, clock, threads, connector,
            WorkerLinks::Callbacks { [&](const jobs::StartCommand&, const jobs::CommandResult& answer) {
                                        started += answer.status == jobs::CommandStatus::Done ? 1 : 0;
                                    },
                [](const auto&, const auto&) {}, [](const auto&, const auto&) {},
                [](const auto&, const auto&, TimePoint) {} });
        std::map<jobs::WorkerId, std::string> addresses;
        jobs::WorkerMachines inUse;
        for (int number = 0; number < workers; ++number) {
            addresses[named(number)] = "10.0.0.1:1";
            inUse[named(number)] = jobs::MachineId {};
        }
        links->setAddresses(addresses, inUse);
        for (int number = 0; number < workers; ++number)
            links->send(jobs::PollCommand { named(number) });
    });
    EXPECT_TRUE(reaches(connector.activePolls, workers));
    control.run([&] {
        for (int number = 0; number < workers; ++number)
            links->send(jobs::StartCommand { named(number) });
    });
    EXPECT_TRUE(reaches(started, workers));
    connector.release.set_value();
    control.run([&] { links.reset(); });
    threads.shutdown();
}

TEST(WorkerLinks, CommandsForWhichNoThreadCanBeStartedAreReportedAsNotSent)
{
    using namespace std::chrono_literals;
    const SystemClock clock;
    Connector connector;
    ElasticThreadPool threads { 2, 100, [](const ElasticThreadPool::Work&) -> std::thread {
                                   throw std::system_error(
                                       std::make_error_code(std::errc::resource_unavailable_try_again));
                               } };
    ControlLoop control { clock };
    std::vector<jobs::CommandStatus> results; // Control thread only.
    const auto record = [&](const auto&, const jobs::CommandResult& result) { results.push_back(result.status); };
    const jobs::WorkerId worker { "w" };
    std::unique_ptr<WorkerLinks> links;
    control.run([&] {
        links = std::make_unique<WorkerLinks>(control, clock, threads, connector,
            WorkerLinks::Callbacks { record, record, record,
                [&](const auto&, const jobs::PollResult& result, TimePoint) { results.push_back(result.status); } });
        links->setAddresses({ { worker, "10.0.0.1:1" } }, { { worker, jobs::MachineId {} } });
        links->send(jobs::PollCommand { worker });
        links->send(jobs::StartCommand { worker });
        links->send(jobs::StopCommand { worker });
    });
    control.run([] {}); // After the results, which are posted.
    control.run([&] { links.reset(); });
    threads.shutdown();
    EXPECT_EQ(results, std::vector<jobs::CommandStatus>(3, jobs::CommandStatus::NotSent));
}
