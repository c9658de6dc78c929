#include "roles.h"
#include "slope.h"

#include "rattanrack/peer/peer_network.h"

#include <atomic>
#include <cstdlib>
#include <thread>

namespace rattanrack::capacity {

namespace {

constexpr int messagesPerSample = 200;
constexpr const char* receiverAddress = "127.0.0.1:21411";
constexpr const char* senderAddress = "127.0.0.1:21412";

peer::Heartbeat heartbeatWith(int members)
{
    peer::Heartbeat heartbeat;
    heartbeat.from = NodeId { "node-1a2b3c4d5e6f" };
    heartbeat.address = "10.10.10.10:7100";
    heartbeat.dataCenter = DataCenterId { "data-centre-1" };
    for (int i = 0; i < members; ++i)
        heartbeat.seen.push_back({ static_cast<std::uint32_t>(i), static_cast<std::uint32_t>(i), 1 });
    return heartbeat;
}

/// One at a time, as heartbeats are sent; both directions count.
double bytesPerMessage(const peer::Message& message)
{
    std::atomic<int> arrived { 0 };
    const auto create = [&](const char* address) {
        return handle([&] { return peer::PeerNetwork::create(address, [&](const peer::Message&) { ++arrived; }); },
            [](const Error& error) {
                std::fprintf(stderr, "measure-capacity: %s\n", describe(error).c_str());
                return std::unique_ptr<peer::PeerNetwork> {};
            });
    };
    const auto receiver = create(receiverAddress);
    const auto sender = create(senderAddress);
    if (!receiver || !sender)
        std::exit(EXIT_FAILURE); // a figure of zero would pass for a limit that is met
    const auto total = [&] { return sender->traffic().bytesSent + sender->traffic().bytesReceived; };
    std::uint64_t before = 0;
    for (int i = 1; i <= messagesPerSample; ++i) {
        sender->send(receiverAddress, message);
        while (arrived.load() < i)
            std::this_thread::yield();
        std::this_thread::sleep_for(std::chrono::milliseconds { 2 });
        if (i == 1)
            before = total();
    }
    return static_cast<double>(total() - before) / (messagesPerSample - 1);
}

} // namespace

double measureHeartbeatBytes(double members)
{
    std::vector<Sample> samples;
    for (const int size : { 6, 21, 48 })
        samples.push_back({ static_cast<double>(size), bytesPerMessage(heartbeatWith(size)) });
    const double bytes = report("heartbeat_wire", "bytes", samples, members);

    std::vector<Sample> credits;
    for (const int size : { 1, 5, 20 }) {
        policy::CreditAsk ask;
        ask.pool = PoolId { "pool-012" };
        ask.from = NodeId { "node-1a2b3c4d5e6f" };
        for (int i = 0; i < size; ++i)
            ask.idle.push_back({ VmId { "worker-0123" }, 1 });
        credits.push_back({ static_cast<double>(size), bytesPerMessage(peer::CreditAskMessage { ask }) });
    }
    report("credit_ask_wire_by_workers", "bytes", credits, 5);
    return bytes;
}

} // namespace rattanrack::capacity
