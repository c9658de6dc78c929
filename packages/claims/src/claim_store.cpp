#include "claim_store_state.h"

namespace rattanrack::claims {

std::string claimDutyName(policy::ClaimShardIndex shard) { return "claims/" + std::to_string(shard); }

ClaimStore::ClaimStore(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

ClaimStore::~ClaimStore() = default;

Result<std::unique_ptr<ClaimStore>> ClaimStore::create(
    const ClaimStoreSettings& settings, platform::Table& table, const Clock& clock, SendRequest send)
{
    if (settings.home.shardCount == 0 || settings.home.self.isEmpty())
        return fail(ErrorCode::InvalidArgument, "claims.create");
    auto state = std::make_unique<State>(settings, table, clock, std::move(send));
    return std::unique_ptr<ClaimStore> { new ClaimStore { std::move(state) } };
}

void ClaimStore::submit(policy::Claim claim, Callback callback)
{
    m_state->decisionThread.post(
        [state = m_state.get(), claim = std::move(claim), callback = std::move(callback)]() mutable {
            state->submit(claim, std::move(callback));
        });
}

void ClaimStore::takeShard(policy::ClaimShardIndex shard, platform::RowVersion dutyVersion)
{
    m_state->decisionThread.post([state = m_state.get(), shard, dutyVersion] { state->takeShard(shard, dutyVersion); });
}

void ClaimStore::dropShard(policy::ClaimShardIndex shard)
{
    m_state->decisionThread.post([state = m_state.get(), shard] { state->dropShard(shard); });
}

void ClaimStore::setHome(policy::ClaimShardIndex shard, NodeId home)
{
    m_state->decisionThread.post(
        [state = m_state.get(), shard, home = std::move(home)] { state->homes[shard] = home; });
}

void ClaimStore::onRequest(peer::ClaimRequest request, SendReply reply)
{
    m_state->decisionThread.post([state = m_state.get(), request = std::move(request), reply = std::move(reply)] {
        state->submitHere(request.claim, [exchange = request.exchange, reply](const policy::ClaimAnswer& answer) {
            reply({ exchange, answer });
        });
    });
}

void ClaimStore::onReply(peer::ClaimReply reply)
{
    m_state->decisionThread.post([state = m_state.get(), reply = std::move(reply)] { state->onReply(reply); });
}

ClaimStoreCounters ClaimStore::counters() const
{
    const std::lock_guard guard { m_state->countersMutex };
    return m_state->publishedCounters;
}

} // namespace rattanrack::claims
