#include "rattanrack/jobs/announcement_pacer.h"
#include "rattanrack/jobs/ownership.h"
#include "rattanrack/node/control_loop.h"
#include "rattanrack/peer/peer_network.h"

#include <sys/resource.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

/// news_cost NODES SECONDS all|paced: measures the processor time of the announcements between nodes, over loopback.
/// `all`: each node sends a complete announcement to each other node at each tick; `paced`: nodes send as job nodes do.
using namespace rattanrack;
using namespace std::chrono_literals;

namespace {

constexpr Duration tickPeriod = 200ms;
constexpr int cellCount = 5;
constexpr int machinesPerCell = 60; ///< Machines on which nothing long-running runs.
constexpr auto settlingTime = 4s; ///< Until all nodes are connected and all cells are owned.
constexpr const char* port = ":17060"; ///< Of each node; each has its own loopback address.
const PoolId machinePart { "~machines" };

std::atomic<std::uint64_t> messagesSent { 0 };

class Node {
public:
    Node(const std::string& name, std::string address, const std::vector<std::string>& others, bool isPaced)
        : m_isPaced(isPaced)
        , m_ownership(NodeId { name }, address, m_clock.now())
        , m_control(m_clock)
    {
        std::vector<PoolId> cells { machinePart };
        for (int number = 0; number < cellCount; ++number)
            cells.emplace_back("pool-" + std::to_string(number));
        m_ownership.setCells(cells, { machinePart });
        for (const std::string& other : others)
            m_ownership.addAddress(other);
        m_network = valueOrNothing([&] {
            return peer::PeerNetwork::create(address, [this](peer::Message message) {
                m_control.post([this, shared = std::make_shared<peer::Message>(std::move(message))] {
                    m_ownership.onAnnouncement(std::get<jobs::NodeAnnouncement>(*shared), m_clock.now());
                });
            });
        }).value();
        m_control.post([this] { tick(); });
    }
    ~Node()
    {
        m_control.stop();
        m_network.reset();
    }
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

private:
    void tick()
    {
        const TimePoint now = m_clock.now();
        m_control.at(Deadline::after(now, tickPeriod), [this] { tick(); });
        for (const PoolId& cell : m_ownership.cellsToTake(now))
            m_ownership.onCellTaken(cell, 1, now);
        sendAnnouncement(now);
    }

    void sendAnnouncement(TimePoint now)
    {
        jobs::NodeAnnouncement announcement = m_ownership.announcement();
        const auto addresses = m_ownership.announcementAddresses(now);
        if (m_isPaced && !m_pacer.isDue(announcement, addresses, now))
            return;
        m_pacer.onSent(announcement, addresses, now);
        const auto machineOwner = m_ownership.owner(machinePart, now);
        jobs::NodeAnnouncement completeAnnouncement = announcement;
        for (const jobs::OwnedCell& cell : announcement.cells) {
            for (int machine = 0; cell.cell != machinePart && machine < machinesPerCell; ++machine)
                completeAnnouncement.movableMachines.emplace_back(
                    "machine-" + cell.cell.value() + '-' + std::to_string(machine));
            completeAnnouncement.loads.push_back({ cell.cell });
        }
        for (const std::string& address : addresses) {
            const bool isComplete = !m_isPaced || (machineOwner && machineOwner->address == address);
            m_network->send(address, isComplete ? completeAnnouncement : announcement);
        }
        messagesSent += addresses.size();
    }

    bool m_isPaced;
    SystemClock m_clock;
    jobs::Ownership m_ownership;
    jobs::AnnouncementPacer m_pacer;
    std::unique_ptr<peer::PeerNetwork> m_network;
    node::ControlLoop m_control;
};

double processorSeconds()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval& time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * 1e-6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

} // namespace

int main(int argumentCount, char** arguments)
{
    if (argumentCount != 4) {
        std::puts("usage: news_cost NODES SECONDS all|paced");
        return 2;
    }
    const int count = std::atoi(arguments[1]);
    const int seconds = std::atoi(arguments[2]);
    const bool isPaced = std::string_view { arguments[3] } == "paced";
    std::vector<std::string> addresses;
    addresses.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number)
        addresses.push_back("127.1.0." + std::to_string(number + 1) + port);
    std::vector<std::unique_ptr<Node>> nodes;
    nodes.reserve(addresses.size());
    for (int number = 0; number < count; ++number)
        nodes.push_back(std::make_unique<Node>(
            "node-" + std::to_string(number), addresses[static_cast<std::size_t>(number)], addresses, isPaced));
    std::this_thread::sleep_for(settlingTime);
    const double processorBefore = processorSeconds();
    const std::uint64_t sentBefore = messagesSent;
    std::this_thread::sleep_for(std::chrono::seconds { seconds });
    const double processor = processorSeconds() - processorBefore;
    const double messages = static_cast<double>(messagesSent - sentBefore) / seconds;
    std::printf("nodes=%d way=%s messagesPerSecond=%.0f coreOfNode=%.4f microsecondsOfMessage=%.1f\n", count,
        arguments[3], messages, processor / seconds / count, processor / seconds / messages * 1e6);
    return 0;
}
