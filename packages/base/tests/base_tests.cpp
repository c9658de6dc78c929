#include "rattanrack/base/error.h"
#include "rattanrack/base/ids.h"
#include "rattanrack/base/invariant.h"
#include "rattanrack/base/log.h"
#include "rattanrack/base/metrics.h"
#include "rattanrack/base/time.h"
#include "rattanrack/base/units.h"

#include <gtest/gtest.h>

#include <variant>

using namespace rattanrack;
using namespace std::chrono_literals;

TEST(LogLine, QuotesValuesWithSpacesQuotesOrLineBreaks)
{
    EXPECT_EQ(formatLogLine("a.b", { { "x", 3 }, { "y", "two words" }, { "z", "q\"\n" } }),
        "event=a.b x=3 y=\"two words\" z=\"q\\\"\\n\"");
}

TEST(Handle, PassesTheErrorToTheHandler)
{
    const auto text
        = handle([]() -> Result<std::string> { return fail(ErrorCode::Unavailable, "table.read", "t1", "x"); },
            [](const Error& error) { return describe(error); });
    EXPECT_EQ(text, "unavailable step=table.read peer=t1: x");
}

TEST(Handle, ReturnsTheValueOnSuccess)
{
    EXPECT_EQ(handle([]() -> Result<int> { return 4; }, [](const Error&) { return 0; }), 4);
}

TEST(ValueOrNothing, ReturnsTheValueOrReportsTheError)
{
    EXPECT_EQ(valueOrNothing([]() -> Result<int> { return 4; }), 4);
    ErrorCode seen = ErrorCode::Internal;
    const auto nothing = valueOrNothing([]() -> Result<int> { return fail(ErrorCode::NotFound, "a.b"); },
        [&](const Error& error) { seen = error.code; });
    EXPECT_FALSE(nothing);
    EXPECT_EQ(seen, ErrorCode::NotFound);
}

TEST(Deadline, RemainingIsNeverNegative)
{
    const TimePoint now { 10s };
    EXPECT_EQ(Deadline::after(now, 2s).remaining(now + 1s), 1s);
    EXPECT_EQ(Deadline::after(now, 2s).remaining(now + 3s), 0s);
}

TEST(Metrics, PrintsEscapedLabelsAndSummaries)
{
    Metrics metrics;
    metrics.increment("requests_total", { { "pool", "a\"b" } }, 2);
    metrics.observe("seconds", {}, 0.5);
    const std::string text = metrics.exposition();
    EXPECT_NE(text.find("requests_total{pool=\"a\\\"b\"} 2\n"), std::string::npos);
    EXPECT_NE(text.find("seconds_count 1\n"), std::string::npos);
}

TEST(Metrics, PrintsLargeCountersExactly)
{
    Metrics metrics;
    metrics.increment("bytes_total", {}, 123'456'789);
    EXPECT_EQ(metrics.exposition(), "bytes_total 123456789\n");
}

TEST(Invariant, CountsViolations)
{
    const auto before = invariantViolations();
    EXPECT_TRUE(checkInvariant(true, "test.holds"));
    EXPECT_FALSE(checkInvariant(false, "test.broken", "on purpose"));
    EXPECT_EQ(invariantViolations(), before + 1);
}

TEST(ResourceSize, FitsOnlyWhenEveryResourceFits)
{
    const ResourceSize worker { Millicores { 16000 }, Mebibytes { 65536 }, Accelerators { 1 } };
    EXPECT_TRUE(fits({ Millicores { 16000 }, Mebibytes { 1 }, Accelerators { 0 } }, worker));
    EXPECT_FALSE(fits({ Millicores { 1 }, Mebibytes { 1 }, Accelerators { 2 } }, worker));
}
