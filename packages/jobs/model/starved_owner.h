#pragma once

#include "model_worker.h"
#include "rattanrack/jobs/cell.h"

#include <deque>
#include <functional>
#include <queue>
#include <set>
#include <string>
#include <vector>

/// A cell whose owner has a small share of a processor, in virtual time: its queues hand workers so many orders a
/// second and no more.
namespace rattanrack::jobs::model {

struct StarvedOwnerSettings {
    int workers { 64 };
    int ordersPerSecond { 50 }; ///< Starts that the owner can decide on and send.
    Duration pumpPeriod { std::chrono::milliseconds { 10 } }; ///< Between passes of decisions.
    std::set<int> silentWorkers; ///< Do not answer starts.
    Duration answerTime { std::chrono::milliseconds { 4 } }; ///< Of the network and the worker, for an order.
};

class StarvedOwner {
public:
    explicit StarvedOwner(StarvedOwnerSettings settings);

    /// Hands in a job of one step, which is stored at once.
    void submit(int subtasks, bool isGang = false);

    /// Lets virtual time pass while jobs of one subtask come in.
    void run(Duration time, int jobsPerSecond = 0);

    int decided() const { return m_decided; } ///< Starts that the cell has handed out.
    int expired() const { return m_expired; } ///< Starts that waited too long in the queues and were dropped.
    int startLimit() const { return m_cell.startLimit(); }
    int begun() const { return m_begun; } ///< Runs that workers have begun.

private:
    struct QueuedOrder {
        WorkerCommand order;
        TimePoint decidedAt;
    };
    struct Lane {
        std::deque<QueuedOrder> queue;
        TimePoint busyUntil {}; ///< An order to its worker waits for an answer.
    };
    struct OpenLook {
        PollCommand order;
        TimePoint sentAt;
        TimePoint deadline;
    };
    struct LaterWork {
        TimePoint at;
        std::uint64_t sequence { 0 };
        std::function<void()> work;
    };
    struct IsLater {
        bool operator()(const LaterWork& left, const LaterWork& right) const
        {
            return std::pair { left.at, left.sequence } > std::pair { right.at, right.sequence };
        }
    };

    void tick();
    void shareProcessor();
    void list();
    void pump();
    void store();
    void sendOrders();
    bool sendNext(std::size_t lane);
    void carryOut(const QueuedOrder& queued, std::size_t lane);
    template <typename OrderType>
    void answer(const OrderType& order, CommandResult answer, TimePoint decidedAt, Duration after);
    void answerLooks();
    std::size_t laneOf(const WorkerId& worker) const;
    std::int64_t unixMs() const { return m_now.time_since_epoch().count() / 1000; }

    StarvedOwnerSettings m_settings;
    TimePoint m_now { std::chrono::seconds { 1000 } };
    Cell m_cell;
    std::vector<ModelWorker> m_workers;
    std::vector<Lane> m_lanes;
    std::vector<OpenLook> m_looks;
    std::priority_queue<LaterWork, std::vector<LaterWork>, IsLater> m_later;
    std::uint64_t m_sequence { 0 };
    std::size_t m_nextLane { 0 };
    double m_sendable { 0 }; ///< Processor time that the queues may use by now, in starts.
    double m_deciding { 0 }; ///< Processor time that the latest pass of decisions still takes, in starts.
    double m_arrived { 0 };
    TimePoint m_pumpAt {};
    TimePoint m_listAt {};
    int m_lastJob { 0 };
    int m_decided { 0 };
    int m_expired { 0 };
    int m_begun { 0 };
};

} // namespace rattanrack::jobs::model
