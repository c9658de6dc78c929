#include "rattanrack/base/time.h"
#include "rattanrack/platform/http_worker.h"

#include <docopt/docopt.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <functional>
#include <iostream>
#include <thread>
#include <vector>

namespace {

using namespace rattanrack;
using namespace std::chrono_literals;

constexpr const char* usage =
    R"(measure-path: what the way through one daemon adds to the same call made straight to a worker.

Usage:
  measure-path --node=ADDRESS --worker=ADDRESS... [--kind=KIND] [--team=TEAM] [--rate=N] [--seconds=N]

Options:
  --node=ADDRESS    Address "ip:port" of the daemon.
  --worker=ADDRESS  Address of a worker of the kind's pool; several share the direct calls.
  --kind=KIND       Kind of work [default: fitting-check].
  --team=TEAM       Team [default: theatres].
  --rate=N          Calls a second on each of the two ways [default: 1000].
  --seconds=N       How long [default: 10].

Both ways run side by side, each call is timed from the moment that it was due. Prints one key=value line a measure.
)";

constexpr int threadsPerWay = 16;
constexpr double targetAddedMicroseconds = 300;

using Call = std::function<bool()>;

struct Samples {
    std::vector<Duration> latencies;
    std::size_t failures { 0 };

    Duration quantile(double part) const
    {
        return latencies.empty()
            ? Duration::zero()
            : latencies[static_cast<std::size_t>(part * static_cast<double>(latencies.size() - 1))];
    }
};

/// Makes `perSecond` calls a second for `length`, spread evenly.
Samples pace(const Call& call, double perSecond, Duration length)
{
    const SystemClock clock;
    const auto interval = Duration { static_cast<std::int64_t>(1e6 / perSecond) };
    const TimePoint start = clock.now();
    Samples samples;
    for (TimePoint due = start; due < start + length; due += interval) {
        std::this_thread::sleep_for(Deadline { due }.remaining(clock.now()));
        if (!call())
            ++samples.failures;
        samples.latencies.push_back(clock.now() - due);
    }
    return samples;
}

/// One way: several threads that share the rate, each with a call of its own.
class Way {
public:
    Way(const std::function<Call(int thread)>& makeCall, double perSecond, Duration length)
    {
        m_parts.resize(threadsPerWay);
        for (int thread = 0; thread < threadsPerWay; ++thread)
            m_threads.emplace_back([this, thread, call = makeCall(thread), perSecond, length] {
                std::this_thread::sleep_for(Duration { static_cast<std::int64_t>(1e6 * thread / perSecond) });
                m_parts[thread] = pace(call, perSecond / threadsPerWay, length);
            });
    }

    Samples join()
    {
        Samples all;
        for (int thread = 0; thread < threadsPerWay; ++thread) {
            m_threads[thread].join();
            const Samples& part = m_parts[thread];
            all.latencies.insert(all.latencies.end(), part.latencies.begin(), part.latencies.end());
            all.failures += part.failures;
        }
        std::sort(all.latencies.begin(), all.latencies.end());
        return all;
    }

private:
    std::vector<Samples> m_parts;
    std::vector<std::thread> m_threads;
};

Call directCall(const std::string& address, int thread)
{
    auto worker = std::shared_ptr<platform::Worker>(platform::HttpWorker::create(address).value());
    auto number = std::make_shared<std::uint64_t>(0);
    return [worker, number, thread] {
        const SystemClock clock;
        const std::string id
            = "path." + std::to_string(thread) + '.' + std::to_string(clock.now().time_since_epoch().count());
        const auto outcome = worker->run({ .request = RequestId { id },
            .attempt = AttemptId { id + '-' + std::to_string(++*number) },
            .poolEpoch = 1,
            .size = { Millicores { 1 }, Mebibytes { 1 }, Accelerators { 0 } },
            .payload = "direct",
            .lease = Deadline::after(clock.now(), 10s) });
        return outcome.status == platform::TaskStatus::Completed;
    };
}

Call daemonCall(const std::string& address, const std::string& kind, const std::string& team)
{
    auto client = std::make_shared<httplib::Client>("http://" + address);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    const nlohmann::json body { { "kind", kind }, { "team", team }, { "caller", "measure" }, { "runTimeMs", 0 },
        { "payload", "daemon" }, { "size", { { "millicores", 1 }, { "memoryMiB", 1 } } } };
    return [client, text = body.dump()] {
        const auto reply = client->Post("/v1/requests", text, "application/json");
        return reply && reply->status == 200 && reply->body.find("echo:daemon") != std::string::npos;
    };
}

void print(const std::string& measure, const std::string& way, double value, const std::string& unit,
    const std::string& more = {})
{
    std::cout << "measure=" << measure << " way=" << way << " value=" << value << " unit=" << unit << more << '\n';
}

void print(const std::string& way, const Samples& samples)
{
    print("latency_p50", way, static_cast<double>(samples.quantile(0.5).count()), "us");
    print("latency_p99", way, static_cast<double>(samples.quantile(0.99).count()), "us");
    print("calls", way, static_cast<double>(samples.latencies.size()), "calls");
    print("failures", way, static_cast<double>(samples.failures), "calls");
}

void compare(const char* measure, Duration direct, Duration daemon, const std::string& target)
{
    const double added = static_cast<double>((daemon - direct).count());
    print(std::string("added_") + measure, "daemon", added, "us", target);
    print(std::string("ratio_") + measure, "daemon",
        static_cast<double>(daemon.count()) / static_cast<double>(std::max<std::int64_t>(direct.count(), 1)), "times");
}

} // namespace

int main(int argumentCount, char** arguments)
{
    auto options = docopt::docopt(usage, { arguments + 1, arguments + argumentCount });
    const auto workers = options["--worker"].asStringList();
    const double rate = std::stod(options["--rate"].asString());
    const Duration length = std::chrono::seconds { options["--seconds"].asLong() };
    Way direct([&](int thread) { return directCall(workers[thread % workers.size()], thread); }, rate, length);
    Way daemon(
        [&](int) {
            return daemonCall(options["--node"].asString(), options["--kind"].asString(), options["--team"].asString());
        },
        rate, length);
    const Samples directSamples = direct.join();
    const Samples daemonSamples = daemon.join();
    print("direct", directSamples);
    print("daemon", daemonSamples);
    const double added = static_cast<double>((daemonSamples.quantile(0.5) - directSamples.quantile(0.5)).count());
    compare("p50", directSamples.quantile(0.5), daemonSamples.quantile(0.5),
        " target=" + std::to_string(static_cast<int>(targetAddedMicroseconds))
            + (added <= targetAddedMicroseconds ? " verdict=met" : " verdict=missed"));
    compare("p99", directSamples.quantile(0.99), daemonSamples.quantile(0.99), "");
    return directSamples.failures + daemonSamples.failures == 0 ? 0 : 1;
}
