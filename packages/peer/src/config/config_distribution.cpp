#include "rattanrack/peer/config_distribution.h"

#include "config_patch.h"
#include "proposal.h"

#include "rattanrack/base/invariant.h"
#include "rattanrack/base/log.h"

#include <algorithm>
#include <list>
#include <map>
#include <random>

namespace rattanrack::peer {

namespace {

constexpr std::size_t maxTrackedPeers = 1024;

struct LastMessage {
    std::uint64_t version { 0 };
    Deadline next;
};

} // namespace

std::string configDocumentKey(std::uint64_t version) { return "config/" + std::to_string(version); }
std::string configPatchKey(std::uint64_t version) { return "config_patch/" + std::to_string(version); }

struct ConfigDistribution::State {
    State(std::string ownAddress, std::uint32_t randomSeed, TimePoint now)
        : address(std::move(ownAddress))
        , nextPoll(now)
        , random(randomSeed)
    {
    }

    void poll(TimePoint now, ConfigDistributionOutput& output);
    void fetch(TimePoint now, ConfigDistributionOutput& output);
    void onHead(const platform::Rows& rows);
    void onDocument(const platform::Rows& rows, ConfigDistributionOutput& output);
    void putIntoForce(ConfigDocument document, ConfigDistributionOutput& output);
    void announce(
        const std::string& target, std::uint64_t peerVersion, TimePoint now, ConfigDistributionOutput& output);
    void requestNewer(const std::string& target, TimePoint now, ConfigDistributionOutput& output);
    bool maySend(
        std::map<std::string, LastMessage>& sent, const std::string& target, std::uint64_t version, TimePoint now);
    void advanceProposals(TimePoint now, ConfigDistributionOutput& output);

    std::string address;
    ExchangeIds ids;
    ConfigDocument inForce;
    /// From the previous version to the one in force; unused unless it has the version in force.
    ConfigPatch lastPatch;
    std::uint64_t headVersion { 0 };
    std::uint64_t highestPeerVersion { 0 };
    bool wasReady { false };
    bool mustReadDocument { false };
    bool isFetchingPatch { false };
    Deadline nextPoll;
    PendingExchange polling;
    PendingExchange fetching;
    std::uint64_t fetchedVersion { 0 };
    std::list<Proposal> proposals;
    std::map<std::string, LastMessage> announced;
    std::map<std::string, LastMessage> requested;
    std::minstd_rand random;
};

ConfigDistribution::ConfigDistribution(std::string address, std::uint32_t randomSeed, TimePoint now)
    : m_state(std::make_unique<State>(std::move(address), randomSeed, now))
{
}
ConfigDistribution::~ConfigDistribution() = default;
ConfigDistribution::ConfigDistribution(ConfigDistribution&&) noexcept = default;
ConfigDistribution& ConfigDistribution::operator=(ConfigDistribution&&) noexcept = default;

void ConfigDistribution::State::poll(TimePoint now, ConfigDistributionOutput& output)
{
    if (polling.isOverdue(now))
        polling.end();
    if (polling.isOpen() || !nextPoll.hasPassed(now))
        return;
    std::uniform_int_distribution<Duration::rep> spread(headPollPeriod.count() * 9 / 10, headPollPeriod.count());
    nextPoll = Deadline::after(now, Duration { spread(random) });
    polling.begin(ids.next(), now, tableTimeout);
    output.requests.emplace_back(ReadRows { polling.id(), { configHeadKey } });
}

void ConfigDistribution::State::onHead(const platform::Rows& rows)
{
    for (const platform::Row& row : rows) {
        const ConfigHead head = handle([&] { return decodeHead(row); },
            [](const Error& error) {
                logEvent("config.head_malformed", { { "error", describe(error) } }, LogLevel::Error);
                return ConfigHead {};
            });
        headVersion = std::max(headVersion, head.version);
    }
}

void ConfigDistribution::State::fetch(TimePoint now, ConfigDistributionOutput& output)
{
    if (fetching.isOverdue(now))
        fetching.end();
    if (fetching.isOpen() || headVersion <= inForce.version)
        return;
    isFetchingPatch = inForce.version != 0 && headVersion == inForce.version + 1 && !mustReadDocument;
    fetchedVersion = headVersion;
    fetching.begin(ids.next(), now, tableTimeout);
    const std::string key = isFetchingPatch ? configPatchKey(headVersion) : configDocumentKey(headVersion);
    output.requests.emplace_back(ReadRows { fetching.id(), { key } });
}

void ConfigDistribution::State::onDocument(const platform::Rows& rows, ConfigDistributionOutput& output)
{
    if (rows.empty() || fetchedVersion <= inForce.version)
        return;
    if (!isFetchingPatch) {
        mustReadDocument = false;
        putIntoForce({ fetchedVersion, rows.front().value }, output);
        return;
    }
    const ConfigPatch patch
        = handle([&] { return decodePatch(rows.front()); }, [](const Error&) { return ConfigPatch {}; });
    auto text = applyPatch(inForce.text, patch);
    mustReadDocument = !text || patch.version != inForce.version + 1;
    if (!mustReadDocument)
        putIntoForce({ fetchedVersion, std::move(*text) }, output);
}

void ConfigDistribution::State::putIntoForce(ConfigDocument document, ConfigDistributionOutput& output)
{
    if (!checkInvariant(document.version > inForce.version, "config.version_grows"))
        return;
    lastPatch = {};
    if (inForce.version != 0 && document.version == inForce.version + 1)
        lastPatch = makePatch(inForce.text, document);
    inForce = std::move(document);
    headVersion = std::max(headVersion, inForce.version);
    output.inForce = inForce;
}

bool ConfigDistribution::State::maySend(
    std::map<std::string, LastMessage>& sent, const std::string& target, std::uint64_t version, TimePoint now)
{
    if (sent.size() >= maxTrackedPeers)
        sent.clear();
    LastMessage& last = sent[target];
    if (last.version == version && !last.next.hasPassed(now))
        return false;
    last = { version, Deadline::after(now, announcementInterval) };
    return true;
}

void ConfigDistribution::State::announce(
    const std::string& target, std::uint64_t peerVersion, TimePoint now, ConfigDistributionOutput& output)
{
    if (!maySend(announced, target, inForce.version, now))
        return;
    ConfigAnnouncement announcement;
    announcement.version = inForce.version;
    if (lastPatch.version == inForce.version && peerVersion + 1 == inForce.version) {
        announcement.basedOn = peerVersion;
        announcement.document = lastPatch.middle;
        announcement.keptPrefix = lastPatch.keptPrefix;
        announcement.keptSuffix = lastPatch.keptSuffix;
        announcement.contentHash = lastPatch.contentHash;
    } else {
        announcement.document = inForce.text;
        announcement.contentHash = configHash(inForce.text);
    }
    output.announcements.emplace_back(target, std::move(announcement));
}

void ConfigDistribution::State::requestNewer(const std::string& target, TimePoint now, ConfigDistributionOutput& output)
{
    if (!maySend(requested, target, inForce.version, now))
        return;
    ConfigAnnouncement request;
    request.version = inForce.version;
    request.replyTo = address;
    output.announcements.emplace_back(target, std::move(request));
}

void ConfigDistribution::State::advanceProposals(TimePoint now, ConfigDistributionOutput& output)
{
    for (auto proposal = proposals.begin(); proposal != proposals.end();) {
        proposal->tick(now, inForce, ids, output.requests);
        const auto& accepted = proposal->accepted();
        if (accepted && accepted->version > inForce.version)
            putIntoForce(*accepted, output);
        auto outcome = proposal->outcome(now, inForce);
        if (outcome)
            output.outcomes.push_back(std::move(*outcome));
        proposal = outcome ? proposals.erase(proposal) : std::next(proposal);
    }
}

ConfigDistributionOutput ConfigDistribution::tick(TimePoint now)
{
    ConfigDistributionOutput output;
    m_state->poll(now, output);
    m_state->fetch(now, output);
    m_state->advanceProposals(now, output);
    m_state->wasReady = isReady();
    return output;
}

ConfigDistributionOutput ConfigDistribution::onResponse(const TableResponse& response, TimePoint now)
{
    ConfigDistributionOutput output;
    for (Proposal& proposal : m_state->proposals)
        if (proposal.onResponse(response, now))
            break;
    if (const auto* rows = std::get_if<RowsResponse>(&response)) {
        const bool isHead = m_state->polling.matches(rows->exchange);
        const bool isDocument = m_state->fetching.matches(rows->exchange);
        if (isHead)
            m_state->polling.end();
        if (isDocument)
            m_state->fetching.end();
        if (isHead && rows->rows)
            m_state->onHead(*rows->rows);
        if (isDocument && rows->rows)
            m_state->onDocument(*rows->rows, output);
    }
    if (const auto* rows = std::get_if<RowsResponse>(&response); rows && rows->rows)
        m_state->fetch(now, output);
    m_state->advanceProposals(now, output);
    return output;
}

ConfigDistributionOutput ConfigDistribution::onHeartbeat(const Heartbeat& heartbeat, TimePoint now)
{
    ConfigDistributionOutput output;
    m_state->highestPeerVersion = std::max(m_state->highestPeerVersion, heartbeat.configVersion);
    if (heartbeat.configVersion < m_state->inForce.version)
        m_state->announce(heartbeat.address, heartbeat.configVersion, now, output);
    else if (heartbeat.configVersion > m_state->inForce.version)
        m_state->requestNewer(heartbeat.address, now, output);
    return output;
}

ConfigDistributionOutput ConfigDistribution::onAnnouncement(const ConfigAnnouncement& announcement, TimePoint now)
{
    ConfigDistributionOutput output;
    if (!announcement.replyTo.empty()) {
        if (announcement.version < m_state->inForce.version)
            m_state->announce(announcement.replyTo, announcement.version, now, output);
        return output;
    }
    if (announcement.version <= m_state->inForce.version)
        return output;
    if (announcement.basedOn == 0) {
        if (configHash(announcement.document) == announcement.contentHash)
            m_state->putIntoForce({ announcement.version, announcement.document }, output);
    } else if (announcement.basedOn == m_state->inForce.version) {
        ConfigPatch patch;
        patch.keptPrefix = announcement.keptPrefix;
        patch.keptSuffix = announcement.keptSuffix;
        patch.middle = announcement.document;
        patch.contentHash = announcement.contentHash;
        if (auto text = applyPatch(m_state->inForce.text, patch))
            m_state->putIntoForce({ announcement.version, std::move(*text) }, output);
    }
    m_state->advanceProposals(now, output);
    return output;
}

ConfigDistributionOutput ConfigDistribution::propose(ConfigProposal proposal, TimePoint now)
{
    ConfigDistributionOutput output;
    if (m_state->proposals.size() >= maxProposals)
        output.outcomes.push_back({ proposal.attempt, ProposalStatus::Unavailable, m_state->inForce, {} });
    else
        m_state->proposals.emplace_back(std::move(proposal), now);
    m_state->advanceProposals(now, output);
    return output;
}

const ConfigDocument& ConfigDistribution::inForce() const { return m_state->inForce; }

bool ConfigDistribution::isReady() const
{
    const bool isNewest = m_state->inForce.version >= m_state->highestPeerVersion;
    return m_state->inForce.version != 0 && (m_state->wasReady || isNewest);
}

} // namespace rattanrack::peer
