#pragma once

#include "rattanrack/node/control_loop.h"
#include "rattanrack/node/elastic_thread_pool.h"
#include "rattanrack/platform/table.h"
#include "rattanrack/policy/burn.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace rattanrack::node {

/// Counts this node's answers against the objectives and stores the counts in the table: one write at most every five
/// seconds, and none when nothing was answered.
///
///     burn.setObjectives(objectives);
///     burn.count(kind, urgency, policy::BurnOutcome::Done, latency);
class BurnService {
public:
    struct Parts {
        ControlLoop& control;
        const Clock& clock;
        ElasticThreadPool& threads;
        platform::Table& table;
        NodeId self;
        std::function<policy::WallTime()> wallClock;
    };

    explicit BurnService(Parts parts);

    // ---- On the control thread ----

    /// Starts the periodic writes.
    void start();

    void setObjectives(std::vector<policy::BurnObjective> objectives);

    /// Counts one answered request. Kinds without an objective are not counted.
    void count(const WorkKind& kind, policy::Urgency urgency, policy::BurnOutcome outcome, Duration latency);

    /// Writes the counts that are due, unless a write is in progress.
    void writeDue();

    // ---- On every thread except the control thread ----

    /// The body of GET /v1/admin/burn, from the rows of all nodes. Also removes expired rows that it finds. Errors:
    /// Unavailable (the table).
    Result<std::string> body();

private:
    void scheduleWrite();
    void commit(const policy::BurnRow& row, const std::vector<policy::BurnRowKey>& expired);

    Parts m_parts;
    policy::BurnLedger m_ledger; ///< Control thread only, as are all members below.
    std::map<WorkKind, policy::BurnObjective> m_objectives;
    bool m_isWriting { false };
};

} // namespace rattanrack::node
