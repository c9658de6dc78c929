#include "rattanrack/node/worker_links.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <thread>

using namespace rattanrack;
using namespace rattanrack::node;

namespace {

/// Says yes to every order, at once unless starts are slow.
class Channel final : public jobs::WorkerChannel {
public:
    explicit Channel(Duration startTime)
        : m_startTime(startTime)
    {
    }

    jobs::CallAnswer start(const jobs::StartOrder&) override
    {
        std::this_thread::sleep_for(m_startTime);
        return { jobs::CallStatus::Done };
    }
    jobs::CallAnswer stop(const jobs::StopOrder&) override { return { jobs::CallStatus::Done }; }
    jobs::CallAnswer pace(const jobs::PaceOrder&) override { return { jobs::CallStatus::Done }; }
    jobs::LookAnswer look(const jobs::LookOrder&) override
    {
        std::this_thread::sleep_for(m_startTime);
        return { jobs::CallStatus::Done };
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

} // namespace

TEST(WorkerLinks, ThreadsOfWorkersThatHaveGoneServeThoseThatFollow)
{
    const SystemClock clock;
    Connector connector;
    ElasticThreadPool threads { 2, 100 }; // As many as one worker takes.
    ControlLoop control { clock };
    std::promise<void>* answered = nullptr;
    const auto note = [&](const auto&, const auto&) { answered->set_value(); };
    std::unique_ptr<WorkerLinks> links;
    control.run([&] {
        links = std::make_unique<WorkerLinks>(control, clock, threads, connector,
            WorkerLinks::Answers {
                note, note, note, [&](const auto&, const auto&, TimePoint) { answered->set_value(); } });
    });
    for (int number = 0; number < 20; ++number) {
        const jobs::WorkerId worker { "w" + std::to_string(number) };
        std::promise<void> started;
        std::promise<void> looked;
        control.run([&] {
            links->setAddresses({ { worker, "10.0.0.1:1" } }, { { worker, jobs::MachineId {} } });
            answered = &started;
            links->send(jobs::StartOrder { worker });
        });
        started.get_future().wait();
        control.run([&] {
            answered = &looked;
            links->send(jobs::LookOrder { worker });
        });
        looked.get_future().wait();
    }
    EXPECT_EQ(connector.connections, 40);
    control.run([&] { links.reset(); });
    threads.shutdown();
}

TEST(WorkerLinks, StartThatHasWaitedBehindSlowOnesExpires)
{
    using namespace std::chrono_literals;
    constexpr int starts = 4;
    const SystemClock clock;
    Connector connector;
    connector.startTime = 400ms;
    ElasticThreadPool threads { 2, 100 };
    ControlLoop control { clock };
    std::vector<jobs::CallAnswer> answers;
    std::promise<void> isAnswered;
    const auto note = [&](const jobs::StartOrder&, const jobs::CallAnswer& answer) {
        answers.push_back(answer);
        if (answers.size() == starts)
            isAnswered.set_value();
    };
    const auto ignore = [](const auto&...) {};
    std::unique_ptr<WorkerLinks> links;
    control.run([&] {
        links = std::make_unique<WorkerLinks>(
            control, clock, threads, connector, WorkerLinks::Answers { note, ignore, ignore, ignore });
        links->setAddresses(
            { { jobs::WorkerId { "w" }, "10.0.0.1:1" } }, { { jobs::WorkerId { "w" }, jobs::MachineId {} } });
        for (int number = 0; number < starts; ++number)
            links->send(jobs::StartOrder { jobs::WorkerId { "w" } });
    });
    isAnswered.get_future().wait();
    EXPECT_EQ(answers.front().status, jobs::CallStatus::Done);
    EXPECT_EQ(answers.back().status, jobs::CallStatus::Expired);
    EXPECT_GT(answers.back().queuedFor, 250ms);
    control.run([&] { links.reset(); });
    threads.shutdown();
}

TEST(WorkerLinks, LookThatHasWaitedAcknowledgesNothing)
{
    using namespace std::chrono_literals;
    const SystemClock clock;
    Connector connector;
    connector.startTime = 400ms;
    ElasticThreadPool threads { 2, 100 };
    ControlLoop control { clock };
    std::vector<std::int64_t> acknowledged;
    std::promise<void> isAnswered;
    const auto note = [&](const jobs::LookOrder& look, const jobs::LookAnswer&, TimePoint) {
        acknowledged.push_back(look.ackedThrough);
        if (acknowledged.size() == 2)
            isAnswered.set_value();
    };
    const auto ignore = [](const auto&...) {};
    std::unique_ptr<WorkerLinks> links;
    control.run([&] {
        links = std::make_unique<WorkerLinks>(
            control, clock, threads, connector, WorkerLinks::Answers { ignore, ignore, ignore, note });
        const jobs::WorkerId worker { "w" };
        links->setAddresses({ { worker, "10.0.0.1:1" } }, { { worker, jobs::MachineId {} } });
        for (int number = 0; number < 2; ++number)
            links->send(jobs::LookOrder { worker, 1, 7 });
    });
    isAnswered.get_future().wait();
    EXPECT_EQ(acknowledged, (std::vector<std::int64_t> { 7, 0 }));
    control.run([&] { links.reset(); });
    threads.shutdown();
}
