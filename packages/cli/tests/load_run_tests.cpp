#include "load_profile.h"
#include "program_run.h"

#include <gtest/gtest.h>
#include <httplib.h>

#include <fstream>
#include <iterator>
#include <map>
#include <mutex>
#include <thread>

namespace {

/// A node and a worker's log in one, which answers as it is told to.
class FakeNode {
public:
    enum class Mode { Sound, Doubles, MixesUp, DeniesRun, CutsOffOnce, ForgetsIds };

    explicit FakeNode(Mode mode)
        : m_mode(mode)
    {
        m_server.set_tcp_nodelay(true);
        m_server.Post("/v1/requests", [this](const auto& request, auto& response) { submit(request, response); });
        m_server.Get(R"(/v1/requests/(\d+))", [this](const auto& request, auto& response) { ask(request, response); });
        m_server.Post(R"(/v1/requests/(\d+)/cancel)", [](const auto&, auto& response) { response.status = 200; });
        m_server.Get("/log", [this](const auto& request, auto& response) { answerLog(request, response); });
        m_port = m_server.bind_to_any_port("127.0.0.1");
        m_thread = std::thread { [this] { m_server.listen_after_bind(); } };
        while (!m_server.is_running())
            std::this_thread::yield();
    }
    ~FakeNode()
    {
        m_server.stop();
        m_thread.join();
    }
    FakeNode(const FakeNode&) = delete;
    FakeNode& operator=(const FakeNode&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    void submit(const httplib::Request& request, httplib::Response& response)
    {
        const std::lock_guard lock { m_mutex };
        const auto body = nlohmann::json::parse(request.body);
        const std::string key = body.at("idempotencyKey");
        const bool isNew = m_answers.emplace(key, std::to_string(m_answers.size())).second;
        const std::string id = m_answers[key];
        if (isNew || m_mode == Mode::Doubles)
            m_log.push_back({ { "attempt", std::to_string(m_log.size()) }, { "request", id },
                { "payload", body.at("payload") }, { "state", "completed" } });
        nlohmann::json answer { { "request", id }, { "answer", "done" },
            { "output", "echo:" + body.at("payload").get<std::string>() } };
        if (m_mode == Mode::MixesUp)
            answer["output"] = "echo:another";
        if (m_mode == Mode::DeniesRun)
            answer["answer"] = "not_run";
        m_results[id] = answer;
        if (m_mode == Mode::CutsOffOnce && isNew)
            return response.set_content_provider(
                10, "application/json", [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
        if (!body.at("wait").get<bool>() && (m_mode != Mode::ForgetsIds || isNew))
            answer = { { "request", id }, { "answer", "pending" } };
        response.set_content(answer.dump(), "application/json");
    }

    void ask(const httplib::Request& request, httplib::Response& response)
    {
        const std::lock_guard lock { m_mutex };
        if (m_mode == Mode::ForgetsIds) {
            response.status = 404;
            return response.set_content("{}", "application/json");
        }
        response.set_content(m_results[request.matches[1]].dump(), "application/json");
    }

    void answerLog(const httplib::Request& request, httplib::Response& response)
    {
        const std::lock_guard lock { m_mutex };
        const auto first = std::stoul(request.get_param_value("first"));
        auto page = nlohmann::json::array();
        for (std::size_t index = first; index < m_log.size() && page.size() < 10; ++index)
            page.push_back(m_log[index]);
        response.set_content(page.dump(), "application/json");
    }

    Mode m_mode;
    httplib::Server m_server;
    int m_port { 0 };
    std::thread m_thread;
    std::mutex m_mutex;
    std::map<std::string, std::string> m_answers;
    std::map<std::string, nlohmann::json> m_results;
    std::vector<nlohmann::json> m_log;
};

ProgramRun loadAgainst(const FakeNode& node, const std::string& log)
{
    const std::string path = temporaryPath("profile.yaml");
    std::ofstream { path } << "duration: 300ms\ndrainTime: 5s\nratePerSecond: 200\nconnections: 6\n"
                              "repeats: {share: 0.5, delay: 20ms}\ncancellations: {share: 0.3}\n"
                              "workerLogs: ["
            + log + "]\nmix: [{kind: order, pool: office, team: guild, repeatable: false, deadline: 1s}]\n";
    return runProgramWith({ "load", path, "--json", "--node=" + node.address() });
}

ProgramRun loadAgainst(FakeNode::Mode mode)
{
    const FakeNode node { mode };
    return loadAgainst(node, node.address());
}

} // namespace

TEST(Load, SoundNodePasses)
{
    const auto run = loadAgainst(FakeNode::Mode::Sound);
    EXPECT_EQ(run.status, 0) << run.output << run.progress;
    EXPECT_GT(run.json()["requests"], 30);
    EXPECT_EQ(run.json()["requests"], run.json()["answered"]);
    EXPECT_EQ(run.json()["logs"], "checked against all workers' logs");
}

TEST(Load, CutOffAnswersAreAskedForAgain)
{
    const auto run = loadAgainst(FakeNode::Mode::CutsOffOnce);
    EXPECT_EQ(run.status, 0) << run.output;
}

TEST(Load, ForgottenRequestIsSentAgainWithItsKey)
{
    const auto run = loadAgainst(FakeNode::Mode::ForgetsIds);
    EXPECT_EQ(run.status, 0) << run.output;
    EXPECT_EQ(run.json()["requests"], run.json()["answered"]);
}

TEST(Load, FindsDoubledRuns)
{
    const auto run = loadAgainst(FakeNode::Mode::Doubles);
    EXPECT_EQ(run.status, 1);
    EXPECT_GT(run.json()["doubled"], 0);
}

TEST(Load, FindsMixedUpAnswers)
{
    const auto run = loadAgainst(FakeNode::Mode::MixesUp);
    EXPECT_EQ(run.status, 1);
    EXPECT_EQ(run.json()["mixedUp"], run.json()["requests"]);
}

TEST(Load, FindsUntrueNotRun)
{
    const auto run = loadAgainst(FakeNode::Mode::DeniesRun);
    EXPECT_EQ(run.status, 1);
    EXPECT_EQ(run.json()["untrueNotRun"], run.json()["requests"]);
}

TEST(Load, UnreadableLogsProveNothing)
{
    const FakeNode node { FakeNode::Mode::Sound };
    EXPECT_EQ(loadAgainst(node, "'127.0.0.1:1'").status, 4);
}

TEST(Load, BadProfileIsRefused)
{
    const std::string path = temporaryPath("bad-profile.yaml");
    std::ofstream { path } << "mix: []\n";
    EXPECT_EQ(runProgramWith({ "load", path }).status, 1);
}

TEST(Load, ExampleProfilesAreValid)
{
    for (const std::string name : { "lindmayr/load.yaml", "namiotech/load.yaml" }) {
        std::ifstream file { examplePath(name) };
        const std::string text { std::istreambuf_iterator<char> { file }, {} };
        const auto parsed = rattanrack::cli::parseLoadProfile(name, text);
        EXPECT_TRUE(parsed.isValid()) << describe(parsed.diagnostics());
    }
}
