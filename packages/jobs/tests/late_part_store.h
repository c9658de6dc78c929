#pragma once

#include "rattanrack/jobs/part_store.h"

#include <functional>
#include <map>
#include <random>
#include <vector>

namespace rattanrack::jobs::tests {

/// An in-memory part store whose transactions may get no response, and may then take effect at a later call if their
/// conditions still hold.
class LatePartStore final : public PartStore {
public:
    explicit LatePartStore(std::uint64_t seed)
        : m_random(seed)
    {
    }

    TransactionOutcome commit(const PartTransaction& transaction) override;
    Result<RowPage> read(const RowRange& range) override;
    Result<RowPage> changes(const std::string&, RowVersion, Duration) override
    {
        return fail(ErrorCode::Unavailable, "store.changes", "test");
    }

    /// Called before each call takes effect, for what others do meanwhile.
    std::function<void()> beforeCall;
    /// Called for each row that is written.
    std::function<void(const std::string& part, const RowWrite&)> onWrite;
    bool isCalm { false }; ///< Every call takes effect and gets a response.

private:
    using Rows = std::map<RowKey, PartRow>;

    bool isLikely(double probability) { return !isCalm && std::bernoulli_distribution { probability }(m_random); }
    bool holds(const PartTransaction& transaction);
    void apply(const PartTransaction& transaction);
    void applyDelayed();

    std::mt19937_64 m_random;
    std::map<std::string, Rows> m_parts;
    std::vector<PartTransaction> m_delayed;
    RowVersion m_version { 0 };
};

} // namespace rattanrack::jobs::tests
