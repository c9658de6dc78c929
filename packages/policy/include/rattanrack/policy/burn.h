#pragma once

#include "rattanrack/base/error.h"
#include "rattanrack/base/ids.h"
#include "rattanrack/base/time.h"
#include "rattanrack/policy/traffic.h"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Service-level burn: how fast each kind of work uses up its error budget. Every node counts its own answers into
/// buckets of wall-clock time and writes each bucket as a row of its own. A row only ever grows, and its key names the
/// node's life, so that a reader adds up the rows of all nodes, living or replaced, and counts nothing twice.
namespace rattanrack::policy {

/// Milliseconds since the Unix epoch. Burn is kept by wall-clock time, since it outlives processes.
using WallTime = std::chrono::milliseconds;

constexpr std::size_t urgencyCount = 3;

/// The objective of one kind of work. Its error budget is 1 - `target`.
struct BurnObjective {
    PoolId pool;
    WorkKind kind;
    double weight { 1 }; ///< Weight of one answered request among all kinds; above 0.
    double target { 0.99 }; ///< Part of requests that must be answered well, above 0 and below 1.
    std::array<Duration, urgencyCount> latency {}; ///< By Urgency: a good answer takes no longer.
};

/// How a request ended, as far as the objective is concerned.
enum class BurnOutcome : std::uint8_t { Done, Failed, NotRun, OutcomeUnknown, Cancelled };

/// Whether the request counts as good or bad; nothing when it does not count, since its caller gave up.
std::optional<bool> isGood(const BurnObjective& objective, Urgency urgency, BurnOutcome outcome, Duration latency);

/// Requests that counted, and those of them that were good.
struct BurnCounts {
    std::uint64_t counted { 0 };
    std::uint64_t good { 0 };

    std::uint64_t bad() const { return counted - good; }
    BurnCounts& operator+=(const BurnCounts& other);
    friend bool operator==(const BurnCounts&, const BurnCounts&) = default;
};

/// What is counted apart.
struct BurnSeries {
    PoolId pool;
    WorkKind kind;
    Urgency urgency { Urgency::Normal };

    friend auto operator<=>(const BurnSeries&, const BurnSeries&) = default;
};

/// Length of a bucket.
enum class BurnTier : std::uint8_t { Minute, Hour };

/// The length of the tier's buckets, and how long they are kept.
WallTime bucketLength(BurnTier tier);
WallTime retention(BurnTier tier);

/// Names one bucket of one life of a node.
struct BurnRowKey {
    NodeId node;
    BurnTier tier { BurnTier::Minute };
    WallTime start {}; ///< A multiple of the bucket's length.

    friend auto operator<=>(const BurnRowKey&, const BurnRowKey&) = default;
};

/// "burn/<node>/m/<start>" or "burn/<node>/h/<start>", for a row's key in the table.
std::string rowName(const BurnRowKey& key);

/// Whether no window needs the row any longer. Rows of nodes that are gone are deleted by whoever finds them expired.
bool isExpired(const BurnRowKey& key, WallTime now);

/// One bucket: everything that the node has counted in it so far.
struct BurnRow {
    BurnRowKey key;
    std::map<BurnSeries, BurnCounts> counts;

    friend bool operator==(const BurnRow&, const BurnRow&) = default;
};

/// The row's content, and back. Errors of decodeBurnRow: MalformedMessage.
std::string encode(const BurnRow& row);
Result<BurnRow> decodeBurnRow(std::string_view text);

/// What one node counts. Rows are rewritten with what was counted since, at most one for each call of `takeDueRow`, so
/// that the caller's pace of calls is the write budget. Not thread-safe.
///
///     ledger.count({ pool, kind, urgency }, isGood, now);
///     if (const auto row = ledger.takeDueRow(now))
///         table.put(rowName(row->key), encode(*row));
class BurnLedger {
public:
    explicit BurnLedger(NodeId node)
        : m_node(std::move(node))
    {
    }

    /// Counts one request that ended at `now`. A clock that steps back counts into the latest bucket.
    void count(const BurnSeries& series, bool isGood, WallTime now);

    /// The row that most needs writing: a finished bucket first, the oldest of them, else the running minute, or the
    /// running hour when it was not written for five minutes. Nothing when nothing has changed. Once taken it counts as
    /// written: call `putBack` when the write did not certainly take effect. Writing a row twice does no harm.
    std::optional<BurnRow> takeDueRow(WallTime now);
    void putBack(const BurnRowKey& key);

    /// Drops the buckets that are expired and returns their keys: the caller deletes those rows.
    std::vector<BurnRowKey> takeExpired(WallTime now);

private:
    struct Bucket {
        std::map<BurnSeries, BurnCounts> counts;
        bool isDirty { false };
        WallTime lastTaken {};
    };
    using Buckets = std::map<WallTime, Bucket>;

    Buckets& bucketsOf(BurnTier tier) { return tier == BurnTier::Minute ? m_minutes : m_hours; }
    Bucket& bucketAt(BurnTier tier, WallTime now);
    std::optional<BurnRow> takeFinished(BurnTier tier, WallTime now);
    std::optional<BurnRow> takeRunning(BurnTier tier, WallTime now, WallTime interval);
    BurnRow take(BurnTier tier, WallTime start, Bucket& bucket, WallTime now) const;

    NodeId m_node;
    Buckets m_minutes;
    Buckets m_hours;
};

/// Spans over which burn is looked at, shortest first.
enum class BurnWindow : std::uint8_t { FiveMinutes, OneHour, SixHours, ThreeDays };
constexpr std::array<BurnWindow, 4> burnWindows { BurnWindow::FiveMinutes, BurnWindow::OneHour, BurnWindow::SixHours,
    BurnWindow::ThreeDays };

/// "5min", "1h", "6h", "3d"; and back.
std::string_view windowName(BurnWindow window);
std::optional<BurnWindow> burnWindow(std::string_view name);

/// Counts of one series over one window.
struct WindowCounts {
    BurnSeries series;
    BurnWindow window { BurnWindow::FiveMinutes };
    BurnCounts counts;

    friend bool operator==(const WindowCounts&, const WindowCounts&) = default;
};

/// Counts of one kind in one hour, over all urgencies.
struct HourCounts {
    PoolId pool;
    WorkKind kind;
    WallTime start {};
    BurnCounts counts;

    friend bool operator==(const HourCounts&, const HourCounts&) = default;
};

/// The rows of all nodes added up. A window holds the running bucket and as many whole ones before it as it is long.
struct BurnSummary {
    std::vector<WindowCounts> windows; ///< Ordered by series and window; none that is empty.
    std::vector<HourCounts> history; ///< Of the longest window, ordered by pool, kind and start.
};

/// Adds up `rows` as of `now`. The order of rows does not matter. Of several versions of one row the one that counted
/// most is taken, so that rows which were read twice, or before and after a write, count once. Buckets from the future
/// are left out.
BurnSummary summarize(const std::vector<BurnRow>& rows, WallTime now);

/// Burn of one kind, or of a whole federation, over one window.
struct WindowBurn {
    double counted { 0 }; ///< Requests, weighted for a federation.
    double badShare { 0 };
    double rate { 0 }; ///< Bad share over error budget; 1 uses the budget up exactly in its period.
};

/// How urgent a burn is for operators.
enum class BurnAlert : std::uint8_t {
    None,
    Slow, ///< Over 6 h and 3 d the budget burns faster than it may.
    Fast, ///< Over 5 min and 1 h a month's budget would be gone in two days.
};

struct KindBurn {
    BurnObjective objective;
    std::array<WindowBurn, burnWindows.size()> windows {};
    double budgetLeft { 1 }; ///< Of the error budget of the last three days; negative when overspent.
    BurnAlert alert { BurnAlert::None };
};

struct FederationBurn {
    std::vector<KindBurn> kinds; ///< In the order of the objectives.
    std::array<WindowBurn, burnWindows.size()> windows {}; ///< Each request weighs as its kind.
};

/// Holds the counts against the objectives. Counts of kinds without an objective are left out.
FederationBurn assess(const std::vector<BurnObjective>& objectives, const std::vector<WindowCounts>& windows);

} // namespace rattanrack::policy
