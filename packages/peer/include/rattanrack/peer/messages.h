#pragma once

#include "rattanrack/base/ids.h"
#include "rattanrack/jobs/ownership.h"
#include "rattanrack/jobs/part_store.h"
#include "rattanrack/policy/claims.h"
#include "rattanrack/policy/traffic.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// What nodes say to each other, as plain values. The Cap'n Proto schema stays inside this package.
namespace rattanrack::peer {

/// News of another node that travels with a heartbeat.
struct SeenNode {
    std::uint32_t node { 0 }; ///< Hash of its id, see `nodeHash`.
    std::uint32_t sequence { 0 }; ///< Highest sequence number known of it.
    std::uint32_t configVersion { 0 }; ///< Configuration that it is known to have in force.
};

/// A member as one node introduces it to another, for nodes that the table does not show.
struct Introduction {
    NodeId id;
    std::string address;
    DataCenterId dataCenter;
    std::uint64_t sequence { 0 };
    bool isLeaving { false };
};

/// Sent to a few peers at a steady pace: proof of life, a digest of what the sender has in force, and news of others.
struct Heartbeat {
    NodeId from;
    std::string address; ///< "ip:port" at which the sender takes peer messages.
    DataCenterId dataCenter;
    std::uint64_t sequence { 0 }; ///< Grows by one with each heartbeat of one node.
    std::uint64_t configVersion { 0 }; ///< Version of the configuration that the sender has in force.
    std::uint64_t viewVersion { 0 }; ///< Highest table version that the sender's fleet view reflects.
    bool isLeaving { false };
    std::uint32_t load { 0 }; ///< Queued and running requests.
    std::vector<SeenNode> seen;
    std::vector<Introduction> introductions;
};

/// An accepted configuration, spread to a peer that has an older one; or, with `replyTo`, the question for a newer one.
struct ConfigAnnouncement {
    std::uint64_t version { 0 }; ///< Of the configuration; in a question, the version that the asker has.
    std::string
        document; ///< Merged configuration, as stored in the table; with `basedOn`, only what replaces its middle.
    std::uint64_t basedOn { 0 }; ///< Version that `document` changes; 0 when it is whole.
    std::uint32_t keptPrefix { 0 }; ///< Bytes kept from the start of the version changed.
    std::uint32_t keptSuffix { 0 }; ///< Bytes kept from its end.
    std::uint64_t contentHash { 0 }; ///< Of the whole configuration.
    std::string replyTo; ///< "ip:port" of the asker; empty in an announcement.
};

struct CreditAskMessage {
    policy::CreditAsk ask;
};
struct CreditGrantMessage {
    policy::CreditGrant grant;
};

/// Asks the home of a key's shard to record a claim, or a change of its state.
struct ClaimRequest {
    std::uint64_t exchange { 0 }; ///< Chosen by the sender; comes back in the reply.
    NodeId from;
    policy::Claim claim;
};
struct ClaimReply {
    std::uint64_t exchange { 0 };
    policy::ClaimAnswer answer;
};

/// Asks the node that accepted a request what became of it, and cancels it when `cancels` is set.
struct AnswerQuery {
    std::uint64_t exchange { 0 }; ///< Chosen by the sender; comes back in the reply.
    NodeId from;
    RequestId request;
    bool cancels { false };

    friend bool operator==(const AnswerQuery&, const AnswerQuery&) = default;
};

enum class AnswerState : std::uint8_t { NotFound, Pending, Done, Failed, NotRun, OutcomeUnknown };

struct AnswerReply {
    std::uint64_t exchange { 0 };
    AnswerState state { AnswerState::NotFound };
    std::string output;
    std::string reason;
    Duration retryAfter {};

    friend bool operator==(const AnswerReply&, const AnswerReply&) = default;
};

enum class JobOperation : std::uint8_t { Submit, State, Cancel, Pending };

/// A caller's request, on its way to the owner of its cell.
struct JobCall {
    std::uint64_t exchange { 0 }; ///< Chosen by the sender; comes back in the reply.
    std::string replyTo; ///< "ip:port" of the sender.
    JobOperation operation { JobOperation::State };
    PoolId cell;
    jobs::JobId job;
    jobs::QueueId queue;
    std::string body; ///< The job, for Submit.

    friend bool operator==(const JobCall&, const JobCall&) = default;
};

enum class JobCallStatus : std::uint8_t {
    Done,
    NotFound, ///< No such job.
    Refused, ///< Proved not to be stored, now or later.
    NotOwner, ///< Nothing was done: the cell is in other hands.
    OutcomeUnknown, ///< May be stored or not; the same id may be sent again.
};

struct JobReply {
    std::uint64_t exchange { 0 };
    JobCallStatus status { JobCallStatus::OutcomeUnknown };
    jobs::JobState state { jobs::JobState::Queued };
    int pending { 0 };

    friend bool operator==(const JobReply&, const JobReply&) = default;
};

using StoreRequest = std::variant<jobs::PartTransaction, jobs::RowRange, jobs::ChangesQuery>;

/// As the store gave it to the peer that was asked; `monostate` while none has come.
using StoreResult = std::variant<std::monostate, jobs::TransactionOutcome, jobs::ReadOutcome>;

/// A call to the store that turns the sender away, for a peer that reaches it.
struct StoreCall {
    std::uint64_t exchange { 0 }; ///< Chosen by the sender; comes back in the reply.
    std::string replyTo; ///< "ip:port" of the sender.
    StoreRequest request;

    friend bool operator==(const StoreCall&, const StoreCall&) = default;
};

struct StoreReply {
    std::uint64_t exchange { 0 };
    StoreResult result;

    friend bool operator==(const StoreReply&, const StoreReply&) = default;
};

using Message = std::variant<Heartbeat, ConfigAnnouncement, CreditAskMessage, CreditGrantMessage, ClaimRequest,
    ClaimReply, AnswerQuery, AnswerReply, jobs::NodeAnnouncement, JobCall, JobReply, StoreCall, StoreReply>;

} // namespace rattanrack::peer
