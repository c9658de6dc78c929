#include "program_run.h"

#include <gtest/gtest.h>
#include <httplib.h>

#include <fstream>
#include <iterator>
#include <thread>

namespace {

const nlohmann::json burnAnswer = nlohmann::json::parse(R"({
    "nowMs": 360000000,
    "objectives": [
        {"pool": "office", "kind": "letters", "weight": 2, "target": 0.9,
         "latencyMs": {"urgent": 2000, "normal": 10000, "background": 60000}},
        {"pool": "hall", "kind": "calls", "weight": 1, "target": 0.99,
         "latencyMs": {"urgent": 2000, "normal": 10000, "background": 60000}}],
    "windows": [
        {"pool": "office", "kind": "letters", "urgency": "urgent", "window": "1h", "counted": 60, "good": 50},
        {"pool": "office", "kind": "letters", "urgency": "normal", "window": "1h", "counted": 40, "good": 30},
        {"pool": "office", "kind": "letters", "urgency": "normal", "window": "3d", "counted": 100, "good": 95}],
    "history": [
        {"pool": "office", "kind": "letters", "startMs": 352800000, "counted": 50, "good": 47},
        {"pool": "office", "kind": "letters", "startMs": 356400000, "counted": 50, "good": 48}]})");

/// Answers GET /v1/admin/burn with one document.
class FakeBurn {
public:
    explicit FakeBurn(const nlohmann::json& answer)
    {
        m_server.set_tcp_nodelay(true);
        m_server.Get("/v1/admin/burn", [text = answer.dump()](const auto&, httplib::Response& response) {
            response.set_content(text, "application/json");
        });
        m_port = m_server.bind_to_any_port("127.0.0.1");
        m_thread = std::thread { [this] { m_server.listen_after_bind(); } };
        while (!m_server.is_running())
            std::this_thread::yield();
    }
    ~FakeBurn()
    {
        m_server.stop();
        m_thread.join();
    }
    FakeBurn(const FakeBurn&) = delete;
    FakeBurn& operator=(const FakeBurn&) = delete;

    ProgramRun report(std::vector<std::string> options) const
    {
        options.insert(options.begin(), { "report", "burn", "--node=127.0.0.1:" + std::to_string(m_port) });
        return runProgramWith(options);
    }

private:
    httplib::Server m_server;
    int m_port { 0 };
    std::thread m_thread;
};

} // namespace

TEST(ReportBurn, PrintsRatesAndBudget)
{
    const auto run = FakeBurn { burnAnswer }.report({});
    EXPECT_EQ(run.status, 0);
    EXPECT_EQ(run.output,
        "POOL    KIND      TARGET  BURN 5min  BURN 1h  BURN 6h  BURN 3d  BUDGET LEFT  ALERT\n"
        "office  letters   90 %    -          2        -        0.5      50 %         none\n"
        "hall    calls     99 %    -          -        -        -        100 %        none\n"
        "all     weighted  -       -          2        -        0.5      -            -\n");
}

TEST(ReportBurn, PrintsJson)
{
    const auto run = FakeBurn { burnAnswer }.report({ "--json" });
    EXPECT_NEAR(run.json()["kinds"][0]["windows"]["1h"]["rate"].get<double>(), 2, 1e-9);
    EXPECT_EQ(run.json()["kinds"][0]["alert"], "none");
}

TEST(ReportBurn, WritesAPageThatNeedsNothingElse)
{
    const std::string measures = temporaryPath("measures.json");
    std::ofstream {
        measures
    } << "note\nmeasure=moves user=u policy=p value=12 unit=VMs baseline=40 bound=none verdict=met\n";
    const std::string page = temporaryPath("burn.html");
    const auto run = FakeBurn { burnAnswer }.report({ "--html", page, "--measures", measures });
    EXPECT_EQ(run.status, 0) << run.output;
    EXPECT_NE(run.output.find("moves    u     p       12     VMs   40        -      met\n"), std::string::npos)
        << run.output;
    std::ifstream file { page };
    const std::string text { std::istreambuf_iterator<char> { file }, {} };
    EXPECT_NE(text.find("Pool office: error budget used"), std::string::npos);
    EXPECT_NE(text.find("<h2>Measures</h2>"), std::string::npos);
    EXPECT_EQ(text.find("href="), std::string::npos);
    EXPECT_EQ(text.find("src="), std::string::npos);
    EXPECT_EQ(text.find("nan"), std::string::npos);
}

TEST(ReportBurn, RefusesImpossibleCounts)
{
    auto answer = burnAnswer;
    answer["windows"][0]["good"] = 61;
    EXPECT_EQ(FakeBurn { answer }.report({}).status, 5);
    answer["windows"][0]["good"] = 6;
    answer["windows"][0]["window"] = "2h";
    EXPECT_EQ(FakeBurn { answer }.report({}).status, 5);
}

TEST(ReportBurn, BadMeasuresAreMisuse)
{
    const std::string measures = temporaryPath("bad-measures.json");
    std::ofstream { measures } << "measure=moves value=few\n";
    EXPECT_EQ(FakeBurn { burnAnswer }.report({ "--measures", measures }).status, 2);
}
