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

/// Messages between nodes, as plain values. The Cap'n Proto schema is private to this package.
namespace rattanrack::peer {

/// What the sender of a heartbeat knows of another node.
struct SeenNode {
    std::uint32_t node { 0 }; ///< Hash of the node's id, see `nodeHash`.
    std::uint32_t sequence { 0 }; ///< Highest heartbeat sequence known of the node.
    std::uint32_t configVersion { 0 }; ///< Configuration version that the node is known to have in force.
};

/// A member's record as one node sends it to another, so that members without a row in the table become known.
struct Introduction {
    NodeId id;
    std::string address;
    DataCenterId dataCenter;
    std::uint64_t sequence { 0 };
    bool isLeaving { false };
};

/// Sent to a few peers at a fixed interval. Shows that the sender is alive and which versions it has in force, and
/// contains what the sender knows of other nodes.
struct Heartbeat {
    NodeId from;
    std::string address; ///< "ip:port" at which the sender accepts peer messages.
    DataCenterId dataCenter;
    std::uint64_t sequence { 0 }; ///< Incremented with each heartbeat of a node.
    std::uint64_t configVersion { 0 }; ///< Version of the configuration that the sender has in force.
    std::uint64_t viewVersion { 0 }; ///< Highest table version that the sender's fleet view reflects.
    bool isLeaving { false };
    std::uint32_t load { 0 }; ///< Queued and running requests.
    std::vector<SeenNode> seen;
    std::vector<Introduction> introductions;
};

/// An accepted configuration, sent to a peer that has an older one. With `replyTo` set, the message requests a newer
/// configuration instead.
struct ConfigAnnouncement {
    std::uint64_t version { 0 }; ///< Of the configuration; in a request, the version that the requesting node has.
    /// The merged configuration, as stored in the table; with `basedOn` set, only the text that replaces the middle of
    /// that version.
    std::string document;
    std::uint64_t basedOn { 0 }; ///< Version that `document` changes; 0 when `document` is a whole configuration.
    std::uint32_t keptPrefix { 0 }; ///< Bytes kept from the start of version `basedOn`.
    std::uint32_t keptSuffix { 0 }; ///< Bytes kept from the end of version `basedOn`.
    std::uint64_t contentHash { 0 }; ///< Hash of the whole configuration.
    std::string replyTo; ///< "ip:port" of the requesting node; empty in an announcement.
};

struct CreditAskMessage {
    policy::CreditAsk ask;
};
struct CreditGrantMessage {
    policy::CreditGrant grant;
};

/// Requests the node that holds a key's shard to record a claim, or a change of the claim's state.
struct ClaimRequest {
    std::uint64_t exchange { 0 }; ///< Request id, chosen by the sender and repeated in the reply.
    NodeId from;
    policy::Claim claim;
};
struct ClaimReply {
    std::uint64_t exchange { 0 };
    policy::ClaimAnswer answer;
};

/// Queries the outcome of a request at the node that accepted it; with `cancels` set, also cancels the request.
struct AnswerQuery {
    std::uint64_t exchange { 0 }; ///< Request id, chosen by the sender and repeated in the reply.
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

/// A caller's request, forwarded to the node that owns the job's cell.
struct JobCall {
    std::uint64_t exchange { 0 }; ///< Request id, chosen by the sender and repeated in the reply.
    std::string replyTo; ///< "ip:port" of the sender.
    JobOperation operation { JobOperation::State };
    PoolId cell;
    jobs::JobId job;
    jobs::QueueId queue;
    std::string body; ///< The job, for Submit.
    std::uint64_t configurationVersion { 0 }; ///< In force at the node that received the caller's request.
    jobs::QueueAddress queueAddress;
    jobs::CustomerId customer {}; ///< Whose key the caller's request had; empty: none.

    friend bool operator==(const JobCall&, const JobCall&) = default;
};

enum class JobCallStatus : std::uint8_t {
    Done,
    NotFound, ///< No such job.
    Refused, ///< The change is not stored and never will be.
    NotOwner, ///< Nothing was done: the node does not own the cell.
    OutcomeUnknown, ///< The change may or may not be stored; the same job id may be sent again.
    Elsewhere, ///< Nothing was done: send the call to the first of `JobReply::cells`.
    OfOtherCustomer, ///< Nothing was done: the job with this id belongs to another customer.
};

struct JobReply {
    std::uint64_t exchange { 0 };
    JobCallStatus status { JobCallStatus::OutcomeUnknown };
    jobs::JobState state { jobs::JobState::Queued };
    int pending { 0 };
    Duration retryAfter {}; ///< Of a refused job; 0: not known.
    /// When Elsewhere, the cell that has the job or accepts it. When Done for Pending, the other cells that may have
    /// jobs of the queue.
    std::vector<PoolId> cells {};

    friend bool operator==(const JobReply&, const JobReply&) = default;
};

using StoreRequest = std::variant<jobs::PartTransaction, jobs::RowRange, jobs::ChangesQuery>;

/// What the store returned to the relaying peer; `monostate` when there is no result.
using StoreResult = std::variant<std::monostate, jobs::TransactionOutcome, jobs::ReadOutcome>;

/// A request to the store, relayed through a peer because the store is not reachable from the sender.
struct StoreCall {
    std::uint64_t exchange { 0 }; ///< Request id, chosen by the sender and repeated in the reply.
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
