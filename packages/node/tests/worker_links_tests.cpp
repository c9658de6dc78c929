#include "rattanrack/node/worker_links.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>

using namespace rattanrack;
using namespace rattanrack::node;

namespace {

/// Says yes to every order at once.
class Channel final : public jobs::WorkerChannel {
public:
    jobs::CallAnswer start(const jobs::StartOrder&) override { return { jobs::CallStatus::Done }; }
    jobs::CallAnswer stop(const jobs::StopOrder&) override { return { jobs::CallStatus::Done }; }
    jobs::CallAnswer pace(const jobs::PaceOrder&) override { return { jobs::CallStatus::Done }; }
    jobs::LookAnswer look(const jobs::LookOrder&) override { return { jobs::CallStatus::Done }; }
};

class Connector final : public jobs::WorkerConnector {
public:
    std::unique_ptr<jobs::WorkerChannel> connect(const jobs::WorkerId&, const std::string&) override
    {
        ++connections;
        return std::make_unique<Channel>();
    }
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
