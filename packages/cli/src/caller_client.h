#pragma once

#include "load_ledger.h"

#include "rattanrack/base/time.h"
#include "rattanrack/config/node_settings.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rattanrack::cli {

/// Plays one caller: sends a planned call, asks again through other nodes when an answer is lost, and cancels when the
/// plan says so. Keeps its connections; belongs to one thread.
class CallerClient {
public:
    /// `start` is the run's start on `clock`; nothing is asked for after `end`.
    CallerClient(const LoadProfile& profile, const LoadPlan& plan, const std::vector<config::Address>& nodes,
        TimePoint start, Deadline end);
    ~CallerClient();
    CallerClient(const CallerClient&) = delete;
    CallerClient& operator=(const CallerClient&) = delete;

    /// Plays the plan's call number `index` to its end.
    CallRecord play(std::size_t index);

private:
    struct Connections;
    struct Reply;

    std::optional<Reply> send(std::size_t node, const std::string& path, const std::string* body, Duration timeout);
    void submit(const PlannedCall& call, CallRecord& record);
    void collect(const PlannedCall& call, CallRecord& record);
    void cancel(const PlannedCall& call, const CallRecord& record);
    std::string requestBody(const PlannedCall& call) const;
    bool accept(const Reply& reply, CallRecord& record) const;
    bool isRejected(const Reply& reply, CallRecord& record) const;
    Duration now() const;
    Duration remaining() const { return m_end.remaining(m_clock.now()); }

    const LoadProfile& m_profile;
    const LoadPlan& m_plan;
    std::unique_ptr<Connections> m_connections;
    SystemClock m_clock;
    TimePoint m_start;
    Deadline m_end;
};

} // namespace rattanrack::cli
