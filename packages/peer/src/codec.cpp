#include "codec.h"

#include "job_messages_codec.h"
#include "store_codec.h"
#include "wire_text.h"

#include <kj/exception.h>

#include <optional>
#include <utility>

namespace rattanrack::peer {

namespace {

constexpr std::size_t fixedSizeBound = 512;
constexpr std::size_t creditSizeBound = 32;

void encodeCredits(const std::vector<policy::Credit>& credits, capnp::List<wire::Credit>::Builder target)
{
    for (unsigned i = 0; i < target.size(); ++i) {
        target[i].setWorker(credits[i].worker.value());
        target[i].setCount(credits[i].count);
    }
}

std::vector<policy::Credit> decodeCredits(capnp::List<wire::Credit>::Reader source)
{
    std::vector<policy::Credit> credits;
    for (const auto credit : source)
        credits.push_back({ VmId { text(credit.getWorker()) }, credit.getCount() });
    return credits;
}

void encodeSize(const ResourceSize& size, wire::ResourceSize::Builder target)
{
    target.setMillicores(size.processors.count());
    target.setMebibytes(size.memory.count());
    target.setAccelerators(size.accelerators.count());
}

ResourceSize decodeSize(wire::ResourceSize::Reader source)
{
    return { Millicores { source.getMillicores() }, Mebibytes { source.getMebibytes() },
        Accelerators { source.getAccelerators() } };
}

void encodeClaim(const policy::Claim& claim, wire::Claim::Builder target)
{
    target.setKey(claim.key.value());
    target.setFingerprint(claim.fingerprint);
    target.setAttempt(claim.attempt.value());
    target.setOwner(claim.owner.value());
    target.setState(static_cast<wire::ClaimState>(claim.state));
    target.setOutput(dataOf(claim.output));
}

std::optional<policy::Claim> decodeClaim(wire::Claim::Reader source)
{
    if (source.getState() > wire::ClaimState::FAILED)
        return std::nullopt;
    policy::Claim claim;
    claim.key = IdempotencyKey { text(source.getKey()) };
    claim.fingerprint = source.getFingerprint();
    claim.attempt = AttemptId { text(source.getAttempt()) };
    claim.owner = NodeId { text(source.getOwner()) };
    claim.state = static_cast<policy::ClaimState>(source.getState());
    claim.output = bytes(source.getOutput());
    return claim;
}

void encodeSeen(const std::vector<SeenNode>& seen, capnp::List<wire::SeenNode>::Builder target)
{
    for (unsigned i = 0; i < target.size(); ++i) {
        target[i].setNode(seen[i].node);
        target[i].setSequence(seen[i].sequence);
        target[i].setConfigVersion(seen[i].configVersion);
    }
}

void encodeIntroductions(
    const std::vector<Introduction>& introductions, capnp::List<wire::Introduction>::Builder target)
{
    for (unsigned i = 0; i < target.size(); ++i) {
        target[i].setId(introductions[i].id.value());
        target[i].setAddress(introductions[i].address);
        target[i].setDataCenter(introductions[i].dataCenter.value());
        target[i].setSequence(introductions[i].sequence);
        target[i].setIsLeaving(introductions[i].isLeaving);
    }
}

struct Encoder {
    wire::Message::Builder target;

    void operator()(const Heartbeat& message)
    {
        auto heartbeat = target.initHeartbeat();
        heartbeat.setFrom(message.from.value());
        heartbeat.setAddress(message.address);
        heartbeat.setDataCenter(message.dataCenter.value());
        heartbeat.setSequence(message.sequence);
        heartbeat.setConfigVersion(message.configVersion);
        heartbeat.setViewVersion(message.viewVersion);
        heartbeat.setIsLeaving(message.isLeaving);
        heartbeat.setLoad(message.load);
        encodeSeen(message.seen, heartbeat.initSeen(static_cast<unsigned>(message.seen.size())));
        encodeIntroductions(
            message.introductions, heartbeat.initIntroductions(static_cast<unsigned>(message.introductions.size())));
    }

    void operator()(const ConfigAnnouncement& message)
    {
        auto announcement = target.initConfigAnnouncement();
        announcement.setVersion(message.version);
        announcement.setDocument(message.document);
        announcement.setBasedOn(message.basedOn);
        announcement.setKeptPrefix(message.keptPrefix);
        announcement.setKeptSuffix(message.keptSuffix);
        announcement.setContentHash(message.contentHash);
        announcement.setReplyTo(message.replyTo);
    }

    void operator()(const CreditAskMessage& message)
    {
        auto ask = target.initCreditAsk();
        ask.setPool(message.ask.pool.value());
        ask.setFrom(message.ask.from.value());
        ask.setUrgentWaiting(message.ask.urgentWaiting);
        ask.setNormalWaiting(message.ask.normalWaiting);
        ask.setBackgroundWaiting(message.ask.backgroundWaiting);
        ask.setOldestWaitMicroseconds(message.ask.oldestWait.count());
        encodeCredits(message.ask.idle, ask.initIdle(static_cast<unsigned>(message.ask.idle.size())));
        encodeCredits(message.ask.inUse, ask.initInUse(static_cast<unsigned>(message.ask.inUse.size())));
        ask.setNumber(message.ask.number);
        ask.setLastGrant(message.ask.lastGrant);
        encodeSize(message.ask.firstSize, ask.initFirstSize());
        ask.setFirstCredits(message.ask.firstCredits);
    }

    void operator()(const CreditGrantMessage& message)
    {
        auto grant = target.initCreditGrant();
        grant.setPool(message.grant.pool.value());
        grant.setTo(message.grant.to.value());
        grant.setTerm(message.grant.term);
        encodeCredits(message.grant.granted, grant.initGranted(static_cast<unsigned>(message.grant.granted.size())));
        encodeCredits(message.grant.recalled, grant.initRecalled(static_cast<unsigned>(message.grant.recalled.size())));
        grant.setNumber(message.grant.number);
        grant.setWanted(message.grant.wanted);
        grant.setFirstUrgency(static_cast<std::uint8_t>(message.grant.firstUrgency));
        grant.setFirstWaitMicroseconds(message.grant.firstWait.count());
    }

    void operator()(const ClaimRequest& message)
    {
        auto request = target.initClaimRequest();
        request.setExchange(message.exchange);
        request.setFrom(message.from.value());
        encodeClaim(message.claim, request.initClaim());
    }

    void operator()(const ClaimReply& message)
    {
        auto reply = target.initClaimReply();
        reply.setExchange(message.exchange);
        reply.setVerdict(static_cast<wire::ClaimVerdict>(message.answer.verdict));
        encodeClaim(message.answer.claim, reply.initClaim());
    }

    void operator()(const AnswerQuery& message)
    {
        auto query = target.initAnswerQuery();
        query.setExchange(message.exchange);
        query.setFrom(message.from.value());
        query.setRequest(message.request.value());
        query.setCancels(message.cancels);
    }

    void operator()(const AnswerReply& message)
    {
        auto reply = target.initAnswerReply();
        reply.setExchange(message.exchange);
        reply.setState(static_cast<std::uint8_t>(message.state));
        reply.setOutput(dataOf(message.output));
        reply.setReason(message.reason);
        reply.setRetryAfterMicroseconds(message.retryAfter.count());
    }

    void operator()(const jobs::NodeAnnouncement& message) { encodeNodeAnnouncement(message, target.initNodeNews()); }
    void operator()(const JobCall& message) { encodeJobCall(message, target.initJobCall()); }
    void operator()(const JobReply& message) { encodeJobReply(message, target.initJobReply()); }
    void operator()(const StoreCall& message) { encodeStoreCall(message, target.initStoreCall()); }
    void operator()(const StoreReply& message) { encodeStoreReply(message, target.initStoreReply()); }
};

Introduction decodeIntroduction(wire::Introduction::Reader source)
{
    Introduction introduction;
    introduction.id = NodeId { text(source.getId()) };
    introduction.address = text(source.getAddress());
    introduction.dataCenter = DataCenterId { text(source.getDataCenter()) };
    introduction.sequence = source.getSequence();
    introduction.isLeaving = source.getIsLeaving();
    return introduction;
}

Heartbeat decodeHeartbeat(wire::Heartbeat::Reader source)
{
    Heartbeat heartbeat;
    heartbeat.from = NodeId { text(source.getFrom()) };
    heartbeat.address = text(source.getAddress());
    heartbeat.dataCenter = DataCenterId { text(source.getDataCenter()) };
    heartbeat.sequence = source.getSequence();
    heartbeat.configVersion = source.getConfigVersion();
    heartbeat.viewVersion = source.getViewVersion();
    heartbeat.isLeaving = source.getIsLeaving();
    heartbeat.load = source.getLoad();
    for (const auto seen : source.getSeen())
        heartbeat.seen.push_back({ seen.getNode(), seen.getSequence(), seen.getConfigVersion() });
    for (const auto introduction : source.getIntroductions())
        heartbeat.introductions.push_back(decodeIntroduction(introduction));
    return heartbeat;
}

ConfigAnnouncement decodeAnnouncement(wire::ConfigAnnouncement::Reader source)
{
    return { source.getVersion(), text(source.getDocument()), source.getBasedOn(), source.getKeptPrefix(),
        source.getKeptSuffix(), source.getContentHash(), text(source.getReplyTo()) };
}

CreditAskMessage decodeAsk(wire::CreditAsk::Reader source)
{
    policy::CreditAsk ask;
    ask.pool = PoolId { text(source.getPool()) };
    ask.from = NodeId { text(source.getFrom()) };
    ask.urgentWaiting = source.getUrgentWaiting();
    ask.normalWaiting = source.getNormalWaiting();
    ask.backgroundWaiting = source.getBackgroundWaiting();
    ask.oldestWait = Duration { source.getOldestWaitMicroseconds() };
    ask.idle = decodeCredits(source.getIdle());
    ask.inUse = decodeCredits(source.getInUse());
    ask.number = source.getNumber();
    ask.lastGrant = source.getLastGrant();
    ask.firstSize = decodeSize(source.getFirstSize());
    ask.firstCredits = source.getFirstCredits();
    return { std::move(ask) };
}

std::optional<Message> decodeGrant(wire::CreditGrant::Reader source)
{
    if (source.getFirstUrgency() > static_cast<std::uint8_t>(policy::Urgency::Background))
        return std::nullopt;
    policy::CreditGrant grant;
    grant.pool = PoolId { text(source.getPool()) };
    grant.to = NodeId { text(source.getTo()) };
    grant.term = source.getTerm();
    grant.granted = decodeCredits(source.getGranted());
    grant.recalled = decodeCredits(source.getRecalled());
    grant.number = source.getNumber();
    grant.wanted = source.getWanted();
    grant.firstUrgency = static_cast<policy::Urgency>(source.getFirstUrgency());
    grant.firstWait = Duration { source.getFirstWaitMicroseconds() };
    return CreditGrantMessage { std::move(grant) };
}

std::optional<Message> decodeClaimRequest(wire::ClaimRequest::Reader source)
{
    auto claim = decodeClaim(source.getClaim());
    if (!claim)
        return std::nullopt;
    return ClaimRequest { source.getExchange(), NodeId { text(source.getFrom()) }, std::move(*claim) };
}

std::optional<Message> decodeClaimReply(wire::ClaimReply::Reader source)
{
    auto claim = decodeClaim(source.getClaim());
    if (!claim || source.getVerdict() > wire::ClaimVerdict::UNAVAILABLE)
        return std::nullopt;
    const auto verdict = static_cast<policy::ClaimVerdict>(source.getVerdict());
    return ClaimReply { source.getExchange(), { verdict, std::move(*claim) } };
}

AnswerQuery decodeAnswerQuery(wire::AnswerQuery::Reader source)
{
    return { source.getExchange(), NodeId { text(source.getFrom()) }, RequestId { text(source.getRequest()) },
        source.getCancels() };
}

std::optional<Message> decodeAnswerReply(wire::AnswerReply::Reader source)
{
    if (source.getState() > static_cast<std::uint8_t>(AnswerState::OutcomeUnknown))
        return std::nullopt;
    return AnswerReply { source.getExchange(), static_cast<AnswerState>(source.getState()), bytes(source.getOutput()),
        text(source.getReason()), Duration { source.getRetryAfterMicroseconds() } };
}

std::optional<Message> decodeAny(wire::Message::Reader source)
{
    switch (source.which()) {
    case wire::Message::HEARTBEAT:
        return decodeHeartbeat(source.getHeartbeat());
    case wire::Message::CONFIG_ANNOUNCEMENT:
        return decodeAnnouncement(source.getConfigAnnouncement());
    case wire::Message::CREDIT_ASK:
        return decodeAsk(source.getCreditAsk());
    case wire::Message::CREDIT_GRANT:
        return decodeGrant(source.getCreditGrant());
    case wire::Message::CLAIM_REQUEST:
        return decodeClaimRequest(source.getClaimRequest());
    case wire::Message::CLAIM_REPLY:
        return decodeClaimReply(source.getClaimReply());
    case wire::Message::ANSWER_QUERY:
        return decodeAnswerQuery(source.getAnswerQuery());
    case wire::Message::ANSWER_REPLY:
        return decodeAnswerReply(source.getAnswerReply());
    case wire::Message::NODE_NEWS:
        return decodeNodeAnnouncement(source.getNodeNews());
    case wire::Message::JOB_CALL:
        return decodeJobCall(source.getJobCall());
    case wire::Message::JOB_REPLY:
        return decodeJobReply(source.getJobReply());
    case wire::Message::STORE_CALL:
        return decodeStoreCall(source.getStoreCall());
    case wire::Message::STORE_REPLY:
        return decodeStoreReply(source.getStoreReply());
    }
    return std::nullopt;
}

struct VariableSize {
    std::size_t operator()(const Heartbeat& message) const
    {
        return message.address.size() + message.seen.size() * sizeof(SeenNode)
            + message.introductions.size() * fixedSizeBound;
    }
    std::size_t operator()(const ConfigAnnouncement& message) const { return message.document.size(); }
    std::size_t operator()(const CreditAskMessage& message) const
    {
        return credits(message.ask.idle) + credits(message.ask.inUse);
    }
    std::size_t operator()(const CreditGrantMessage& message) const
    {
        return credits(message.grant.granted) + credits(message.grant.recalled);
    }
    std::size_t operator()(const ClaimRequest& message) const { return claim(message.claim); }
    std::size_t operator()(const ClaimReply& message) const { return claim(message.answer.claim); }

    std::size_t operator()(const AnswerQuery& message) const { return message.request.value().size(); }
    std::size_t operator()(const AnswerReply& message) const { return message.output.size() + message.reason.size(); }

    std::size_t operator()(const jobs::NodeAnnouncement& message) const { return variableSize(message); }
    std::size_t operator()(const JobCall& message) const { return variableSize(message); }
    std::size_t operator()(const JobReply& message) const { return variableSize(message); }
    std::size_t operator()(const StoreCall& message) const { return variableSize(message); }
    std::size_t operator()(const StoreReply& message) const { return variableSize(message); }

    static std::size_t credits(const std::vector<policy::Credit>& credits)
    {
        std::size_t total = 0;
        for (const policy::Credit& credit : credits)
            total += creditSizeBound + credit.worker.value().size();
        return total;
    }
    static std::size_t claim(const policy::Claim& claim) { return claim.key.value().size() + claim.output.size(); }
};

} // namespace

void encode(const Message& message, wire::Message::Builder target) { std::visit(Encoder { target }, message); }

Result<Message> decode(wire::Message::Reader source)
{
    std::optional<Message> message;
    const auto exception = kj::runCatchingExceptions([&] { message = decodeAny(source); });
    if (exception != nullptr || !message)
        return fail(ErrorCode::MalformedMessage, "peer.decode");
    return std::move(*message);
}

std::size_t encodedSizeBound(const Message& message) { return fixedSizeBound + std::visit(VariableSize {}, message); }

} // namespace rattanrack::peer
