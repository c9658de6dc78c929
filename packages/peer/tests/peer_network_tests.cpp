#include "rattanrack/peer/peer_network.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <condition_variable>
#include <mutex>
#include <random>

namespace rattanrack::peer {
namespace {

constexpr auto messageTimeout = std::chrono::seconds { 20 };

/// Collects messages from the network's thread.
class Inbox {
public:
    PeerNetwork::OnMessage receiver()
    {
        return [this](Message message) {
            const std::lock_guard lock(m_mutex);
            m_messages.push_back(std::move(message));
            m_arrived.notify_all();
        };
    }
    bool waitFor(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        return m_arrived.wait_for(lock, messageTimeout, [&] { return m_messages.size() >= count; });
    }
    std::vector<Message> messages()
    {
        const std::lock_guard lock(m_mutex);
        return m_messages;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_arrived;
    std::vector<Message> m_messages;
};

/// A port that was free a moment ago.
std::string freeAddress()
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    EXPECT_EQ(0, bind(descriptor, reinterpret_cast<sockaddr*>(&address), size));
    EXPECT_EQ(0, getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size));
    close(descriptor);
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

/// A plain TCP connection, to send bytes that no peer sends.
class RawConnection {
public:
    explicit RawConnection(const std::string& target)
        : m_descriptor(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(target.substr(target.find(':') + 1))));
        EXPECT_EQ(0, connect(m_descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
        const timeval limit { messageTimeout.count(), 0 };
        setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    }
    ~RawConnection() { close(m_descriptor); }
    RawConnection(const RawConnection&) = delete;
    RawConnection& operator=(const RawConnection&) = delete;

    void write(const std::string& bytes)
    {
        [[maybe_unused]] const ssize_t sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    void finishWriting() { shutdown(m_descriptor, SHUT_WR); }
    bool isClosedByPeer()
    {
        char buffer[4096];
        ssize_t count = 0;
        while ((count = recv(m_descriptor, buffer, sizeof(buffer), 0)) > 0) { }
        return count == 0 || errno == ECONNRESET;
    }

private:
    int m_descriptor;
};

std::unique_ptr<PeerNetwork> networkAt(const std::string& address, Inbox& inbox)
{
    return handle([&] { return PeerNetwork::create(address, inbox.receiver()); },
        [](const Error& error) {
            ADD_FAILURE() << error;
            return std::unique_ptr<PeerNetwork> {};
        });
}

/// Two networks, and the messages that one of them receives.
struct NetworkPair {
    Inbox inbox;
    Inbox unused;
    std::string target = freeAddress();
    std::unique_ptr<PeerNetwork> receiver = networkAt(target, inbox);
    std::unique_ptr<PeerNetwork> sender = networkAt(freeAddress(), unused);
};

ErrorCode createError(const std::string& address)
{
    return handle(
        [&]() -> Result<ErrorCode> {
            BOOST_LEAF_CHECK(PeerNetwork::create(address, [](const Message&) {}));
            return ErrorCode::Internal;
        },
        [](const Error& error) { return error.code; });
}

Heartbeat heartbeat(std::uint64_t sequence)
{
    return { NodeId { "n1" }, "127.0.0.1:1", DataCenterId { "dc1" }, sequence, 7, 9, true, 4, { { 1, 2, 3 } },
        { { NodeId { "n2" }, "127.0.0.1:2", DataCenterId { "dc2" }, 6, true } } };
}

TEST(PeerNetwork, TransfersEachKindOfMessageUnchanged)
{
    NetworkPair pair;
    auto& [inbox, unused, target, receiver, sender] = pair;
    const policy::Claim claim { IdempotencyKey { "k" }, 5, AttemptId { "a" }, NodeId { "n" },
        policy::ClaimState::Completed, std::string("\0out", 4) };
    const policy::CreditAsk ask { PoolId { "p" }, NodeId { "n" }, 1, 2, 3, Duration { 4 }, { { VmId { "w1" }, 5 } },
        { { VmId { "w2" }, 6 } }, 7, 8, { Millicores { 9 }, Mebibytes { 10 }, Accelerators { 11 } }, 12 };
    const policy::CreditGrant grant { PoolId { "p" }, NodeId { "m" }, 11, { { VmId { "w" }, 1 } },
        { { VmId { "v" }, 2 } }, 13, 14, policy::Urgency::Background, Duration { 15 } };
    sender->send(target, heartbeat(3));
    sender->send(target, ConfigAnnouncement { 8, "document", 7, 1, 2, 3, "127.0.0.1:2" });
    sender->send(target, CreditAskMessage { ask });
    sender->send(target, CreditGrantMessage { grant });
    sender->send(target, ClaimRequest { 12, NodeId { "n" }, claim });
    sender->send(target, ClaimReply { 13, { policy::ClaimVerdict::Taken, claim } });

    const AnswerQuery query { 14, NodeId { "n" }, RequestId { "m.7" }, true };
    const AnswerReply reply { 15, AnswerState::NotRun, std::string("\0o", 2), "queue_full", Duration { 16 } };
    sender->send(target, query);
    sender->send(target, reply);

    ASSERT_TRUE(inbox.waitFor(8));
    const auto messages = inbox.messages();
    const auto& received = std::get<Heartbeat>(messages[0]);
    EXPECT_EQ(received.from, NodeId { "n1" });
    EXPECT_EQ(received.address, "127.0.0.1:1");
    EXPECT_EQ(received.dataCenter, DataCenterId { "dc1" });
    EXPECT_EQ(received.sequence, 3U);
    EXPECT_EQ(received.configVersion, 7U);
    EXPECT_EQ(received.viewVersion, 9U);
    EXPECT_TRUE(received.isLeaving);
    EXPECT_EQ(received.load, 4U);
    EXPECT_EQ(received.seen.at(0).sequence, 2U);
    EXPECT_EQ(received.seen.at(0).configVersion, 3U);
    EXPECT_EQ(received.introductions.at(0).address, "127.0.0.1:2");
    const auto& announcement = std::get<ConfigAnnouncement>(messages[1]);
    EXPECT_EQ(announcement.document, "document");
    EXPECT_EQ(announcement.basedOn, 7U);
    EXPECT_EQ(announcement.keptSuffix, 2U);
    EXPECT_EQ(announcement.contentHash, 3U);
    EXPECT_EQ(announcement.replyTo, "127.0.0.1:2");
    EXPECT_EQ(std::get<CreditAskMessage>(messages[2]).ask, ask);
    EXPECT_EQ(std::get<CreditGrantMessage>(messages[3]).grant, grant);
    EXPECT_EQ(std::get<ClaimRequest>(messages[4]).claim, claim);
    EXPECT_EQ(std::get<ClaimReply>(messages[5]).answer.verdict, policy::ClaimVerdict::Taken);
    EXPECT_EQ(std::get<AnswerQuery>(messages[6]), query);
    EXPECT_EQ(std::get<AnswerReply>(messages[7]), reply);
    EXPECT_GT(sender->traffic().bytesSent, 0U);
    EXPECT_GT(receiver->traffic().bytesReceived, 0U);
}

TEST(PeerNetwork, TransfersStoreCallsAndRepliesUnchanged)
{
    NetworkPair pair;
    auto& [inbox, unused, target, receiver, sender] = pair;
    const std::string bytes("\0value", 6);
    const std::vector<jobs::PartRow> rows { { { "table", "key" }, bytes, 7, false },
        { { "table", "gone" }, "", 8, true, "part" } };
    const jobs::PartTransaction transaction { "part", { { { "table", "key" }, 6 } },
        { { { "table", "key" }, bytes }, { { "table", "gone" }, std::nullopt }, { { "table", "empty" }, "" } } };
    const std::vector<StoreCall> calls { { 1, "127.0.0.1:2", transaction },
        { 2, "127.0.0.1:2", jobs::RowRange { "table", "part", "from" } },
        { 3, "127.0.0.1:2", jobs::ChangesQuery { "table", 9, Duration { 10 } } } };
    const std::vector<StoreReply> replies { { 1, {} },
        { 2, jobs::TransactionOutcome { jobs::TransactionStatus::Conflict, 4, rows, "detail" } },
        { 3, jobs::ReadOutcome { jobs::ReadStatus::Done, { rows, true, 11 }, "detail" } },
        { 4, jobs::ReadOutcome { jobs::ReadStatus::HistoryGone, {}, "gone" } } };
    for (const StoreCall& call : calls)
        sender->send(target, call);
    for (const StoreReply& reply : replies)
        sender->send(target, reply);
    ASSERT_TRUE(inbox.waitFor(calls.size() + replies.size()));
    for (std::size_t i = 0; i < calls.size(); ++i)
        EXPECT_EQ(std::get<StoreCall>(inbox.messages()[i]), calls[i]);
    for (std::size_t i = 0; i < replies.size(); ++i)
        EXPECT_EQ(std::get<StoreReply>(inbox.messages()[calls.size() + i]), replies[i]);
}

TEST(PeerNetwork, TransfersJobCallsAndRepliesUnchanged)
{
    NetworkPair pair;
    auto& [inbox, unused, target, receiver, sender] = pair;
    const JobCall call { 1, "127.0.0.1:2", JobOperation::Cancel, PoolId { "p" }, jobs::JobId { "j" },
        jobs::QueueId { "q" }, std::string("\0body", 5), 6, jobs::QueueAddress { "a.example/jobs/" } };
    const JobReply reply { 2, JobCallStatus::Elsewhere, jobs::JobState::Active, 3, Duration { 4 },
        { PoolId { "p1" }, PoolId { "p2" } } };
    sender->send(target, call);
    sender->send(target, reply);
    ASSERT_TRUE(inbox.waitFor(2));
    EXPECT_EQ(std::get<JobCall>(inbox.messages()[0]), call);
    EXPECT_EQ(std::get<JobReply>(inbox.messages()[1]), reply);
}

TEST(PeerNetwork, TransfersNodeAnnouncementsUnchanged)
{
    NetworkPair pair;
    auto& [inbox, unused, target, receiver, sender] = pair;
    const jobs::NodeAnnouncement news { NodeId { "n1" }, "127.0.0.1:2", 7, true, false, { { PoolId { "a" }, 3 } },
        { jobs::MachineId { "m1" } }, 5, { { jobs::MachineId { "m2" }, jobs::WorkerId { "w2" } } },
        { jobs::MachineId { "m3" } }, { { PoolId { "a" }, Millicores { 1 }, Millicores { 2 }, Millicores { 3 } } },
        0.12, Duration { 8 }, { { NodeId { "n3" }, 0.25 } }, { { NodeId { "n4" }, 9 } },
        { "127.0.0.1:5", "127.0.0.1:6" }, true, Duration { 10 }, Duration { 11 } };
    sender->send(target, news);
    ASSERT_TRUE(inbox.waitFor(1));
    EXPECT_EQ(std::get<jobs::NodeAnnouncement>(inbox.messages()[0]), news);
}

TEST(PeerNetwork, KeepsOrderOverManyBatchesAndConnections)
{
    NetworkPair pair;
    auto& [inbox, unused, target, receiver, sender] = pair;
    constexpr std::uint64_t count = 30;
    const std::string document(200'000, 'x'); // together more than the limit of one connection
    for (std::uint64_t i = 0; i < count; ++i) {
        sender->send(target, ConfigAnnouncement { i, document, 0, 0, 0, 0, "" });
        ASSERT_TRUE(inbox.waitFor(i + 1));
    }
    for (std::uint64_t i = 0; i < count; ++i)
        EXPECT_EQ(std::get<ConfigAnnouncement>(inbox.messages()[i]).version, i);
}

/// One network that receives from each of `count` others.
void expectMessagesOfAll(std::size_t count)
{
    Inbox inbox;
    Inbox unused;
    const std::string target = freeAddress();
    const auto receiver = networkAt(target, inbox);
    receiver->setNodeCount(count);
    std::vector<std::unique_ptr<PeerNetwork>> senders;
    for (std::size_t i = 0; i < count; ++i) {
        senders.push_back(networkAt(freeAddress(), unused));
        senders.back()->send(target, heartbeat(i));
    }
    EXPECT_TRUE(inbox.waitFor(count)) << inbox.messages().size() << " of " << count;
    EXPECT_EQ(receiver->connections().refused, 0U);
}

TEST(PeerNetwork, ConnectionsOfAll160NodesAreAccepted) { expectMessagesOfAll(160); }
TEST(PeerNetwork, ConnectionsOfAll400NodesAreAccepted) { expectMessagesOfAll(400); }

TEST(PeerNetwork, ConnectionLimitFollowsTheNumberOfNodes)
{
    Inbox unused;
    const auto network = networkAt(freeAddress(), unused);
    const std::size_t least = network->connections().limit;
    network->setNodeCount(7);
    EXPECT_EQ(network->connections().limit, least);
    network->setNodeCount(700);
    EXPECT_GE(network->connections().limit, 1400U); // Each peer has two connections for a moment.
}

TEST(PeerNetwork, ReconnectsToARestartedPeer)
{
    Inbox first;
    Inbox second;
    Inbox unused;
    const std::string target = freeAddress();
    const auto sender = networkAt(freeAddress(), unused);
    auto receiver = networkAt(target, first);
    sender->send(target, heartbeat(1));
    ASSERT_TRUE(first.waitFor(1));
    receiver.reset();
    receiver = networkAt(target, second);
    for (std::uint64_t i = 2; second.messages().empty() && i < 1000; ++i) {
        sender->send(target, heartbeat(i));
        std::this_thread::sleep_for(std::chrono::milliseconds { 10 });
    }
    EXPECT_TRUE(second.waitFor(1));
}

TEST(PeerNetwork, AFullQueueForAnUnreachablePeerDoesNotDelayOtherPeers)
{
    Inbox inbox;
    Inbox unused;
    const std::string target = freeAddress();
    const auto sender = networkAt(freeAddress(), unused);
    for (std::uint64_t i = 1; i <= 100'000; ++i)
        sender->send("127.0.0.1:1", heartbeat(i));
    const auto receiver = networkAt(target, inbox);
    sender->disconnect("127.0.0.1:1");
    sender->send(target, heartbeat(1));
    EXPECT_TRUE(inbox.waitFor(1));
}

TEST(PeerNetwork, RejectsInvalidAddressesAndPortsInUse)
{
    Inbox unused;
    const std::string address = freeAddress();
    const auto network = networkAt(address, unused);
    EXPECT_EQ(createError(address), ErrorCode::Unavailable);
    for (const char* text : { "", "localhost:80", "127.0.0.1", "127.0.0.1:99999", "unix:/tmp/x", "[::1:5", ":5" })
        EXPECT_EQ(createError(text), ErrorCode::InvalidArgument) << text;
    network->send("localhost:80", heartbeat(1));
}

TEST(PeerNetwork, ClosesConnectionsThatSendInvalidMessages)
{
    Inbox inbox;
    Inbox unused;
    const std::string target = freeAddress();
    const auto receiver = networkAt(target, inbox);
    const std::vector<std::string> invalid {
        "GET / HTTP/1.1\r\nHost: x\r\n\r\n", // parsed as a huge number of segments
        std::string("\0\0\0\0\xff\xff\xff\x7f", 8), // one segment of 16 GB
        std::string("\0\0\0\0\0\0\4\0", 8), // one segment of 2 MB
    };
    for (const std::string& bytes : invalid) {
        RawConnection connection { target };
        connection.write(bytes);
        EXPECT_TRUE(connection.isClosedByPeer());
    }
    std::mt19937 random { 20261204 };
    for (int round = 0; round < 200; ++round) {
        RawConnection connection { target };
        std::string bytes { "\0\0\0\0\4\0\0\0", 8 };
        for (int i = 0; i < 32; ++i)
            bytes += static_cast<char>(random() % (round % 2 == 0 ? 256 : 6));
        connection.write(bytes);
        connection.finishWriting();
        EXPECT_TRUE(connection.isClosedByPeer());
    }
    const auto sender = networkAt(freeAddress(), unused);
    sender->send(target, heartbeat(1));
    EXPECT_TRUE(inbox.waitFor(1));
}

} // namespace
} // namespace rattanrack::peer
