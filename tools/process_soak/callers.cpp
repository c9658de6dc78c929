#include "callers.h"

#include "loopback.h"

#include <httplib.h>

#include <array>
#include <cstdio>
#include <deque>
#include <utility>

namespace rattanrack::tools {

namespace {

using namespace std::chrono_literals;

constexpr int callerCount = 4;
constexpr int lastingCount = 3; ///< Subtasks of each lasting job.
constexpr int lastingCountAmongLongRuns = 10;
constexpr Duration answerPatience = 4s;
constexpr Duration probePause = 1s;
constexpr auto probePatience = 500ms;
constexpr std::uint64_t longestPauseMs = 250;
/// Milliseconds of a job's runs; "?": those of odd number fail, "!": all fail.
using Specs = std::array<const char*, 12>;
constexpr Specs usualSpecs { "60", "90", "120", "200", "250", "300", "400", "500", "700", "80", "150?", "100!" };
constexpr Specs failingSpecs { "60", "120", "200", "300", "500", "700", "150?", "150?", "400?", "400?", "100!",
    "100!" };
constexpr Specs longSpecs { "200", "300", "500", "700", "1000", "1500", "2000", "2500", "3000", "4000", "150?",
    "1500?" };
constexpr const char* crashingSpec = "500*"; ///< Of a job that crashes the workers that start it.
constexpr std::uint64_t crashingEvery = 50; ///< One job of this many, in plays with such jobs.
constexpr std::uint64_t repeatEvery = 12; ///< One step of this many repeats an earlier submission.
constexpr std::size_t repeatedJobs = 20; ///< The latest ones, that may be submitted again.
constexpr std::uint64_t failingEvery = 4; ///< One seed of this many has the failing jobs.

enum class Outcome { Answered, Broken, Silent };

struct Answer {
    Outcome outcome { Outcome::Broken };
    int status { 0 };
    std::string body;
    bool closes { false };
};

std::string requestText(const char* method, const std::string& path, const std::string& body)
{
    return std::string(method) + ' ' + path + " HTTP/1.1\r\nHost: a.example\r\nContent-Type: application/json\r\n"
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The answer when `text` holds all of it.
std::optional<Answer> completeAnswer(const std::string& text)
{
    const std::size_t head = text.find("\r\n\r\n");
    if (head == std::string::npos)
        return std::nullopt;
    const std::size_t field = text.find("Content-Length: ");
    const std::size_t size = field < head ? std::stoul(text.substr(field + 16)) : 0;
    if (text.size() < head + 4 + size)
        return std::nullopt;
    const bool closes = text.find("Connection: close") < head;
    return Answer { Outcome::Answered, std::stoi(text.substr(9, 3)), text.substr(head + 4, size), closes };
}

/// One caller's connection, to one node at a time.
class Connection {
public:
    explicit Connection(Recorder& recorder)
        : m_recorder(recorder)
    {
    }
    ~Connection() { end(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    bool isOpen() const { return m_socket >= 0; }
    const std::string& node() const { return m_node; }

    void open(const Entry& entry)
    {
        m_node = entry.node;
        m_socket = connectTo(entry.port);
    }

    void end()
    {
        if (m_socket >= 0)
            close(m_socket);
        m_socket = -1;
    }

    Answer exchange(const char* method, const std::string& path, const std::string& body = {})
    {
        if (!sendAll(m_socket, requestText(method, path, body))) {
            end();
            return {};
        }
        const TimePoint sentAt = m_recorder.now();
        Answer answer = receive(sentAt + answerPatience);
        if (answer.outcome == Outcome::Broken)
            m_recorder.broke({ m_node, method + (" " + path), sentAt, m_recorder.now() });
        if (answer.outcome != Outcome::Answered || answer.closes)
            end();
        return answer;
    }

private:
    Answer receive(TimePoint until)
    {
        std::string text;
        std::array<char, 4096> buffer;
        const timeval step { 0, 50000 };
        setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &step, sizeof(step));
        while (m_recorder.now() < until) {
            const ssize_t count = recv(m_socket, buffer.data(), buffer.size(), 0);
            if (count < 0 && (errno == EAGAIN || errno == EINTR))
                continue;
            if (count <= 0)
                return {};
            text.append(buffer.data(), static_cast<std::size_t>(count));
            if (const auto answer = completeAnswer(text))
                return *answer;
        }
        return { Outcome::Silent };
    }

    Recorder& m_recorder;
    std::string m_node;
    int m_socket { -1 };
};

/// What one caller does, step by step.
class Caller {
public:
    Caller(Recorder& recorder, std::vector<std::unique_ptr<Entry>>& entries, std::uint64_t seed, int number,
        TrafficKind traffic)
        : m_recorder(recorder)
        , m_entries(entries)
        , m_specs(traffic == TrafficKind::LongRuns ? longSpecs
                  : seed % failingEvery == 1       ? failingSpecs
                                                   : usualSpecs)
        , m_lastingCount(traffic == TrafficKind::LongRuns ? lastingCountAmongLongRuns : lastingCount)
        , m_random(seed * callerCount + static_cast<std::uint64_t>(number))
        , m_repeatRandom(m_random)
        , m_number(number)
        , m_crashesWorkers(traffic == TrafficKind::Crashing)
        , m_connection(recorder)
    {
    }

    void step()
    {
        std::this_thread::sleep_for(std::chrono::milliseconds { m_random.below(longestPauseMs) });
        if (!m_connection.isOpen())
            connect();
        if (!m_connection.isOpen())
            return;
        if (m_retries == 0 && !m_bodies.empty() && m_repeatRandom.oneIn(repeatEvery))
            return repeat();
        const std::uint64_t choice = m_random.below(20);
        if (m_retries > 0 || m_jobs.empty() || choice < 9)
            submit();
        else if (choice < 19)
            ask(m_jobs[m_jobs.size() - 1 - m_random.below(std::min<std::size_t>(m_jobs.size(), 20))]);
        else if (m_jobs.size() > 1)
            cancel(1 + m_random.below(m_jobs.size() - 1));
    }

private:
    void connect()
    {
        std::vector<Entry*> choices;
        for (const auto& entry : m_entries) {
            if (entry->isInRotation)
                choices.push_back(entry.get());
        }
        m_connection.open(choices.empty() ? *m_random.pick(m_entries) : *m_random.pick(choices));
    }

    /// The first job of a caller lasts. A job without a clear answer is handed in again, under its id.
    void submit()
    {
        if (m_retries == 0)
            draw();
        const Answer answer = m_connection.exchange("POST", pathOf(m_id), m_body);
        if (answer.status == 200) {
            m_recorder.accepted(m_id);
            m_jobs.push_back(m_id);
            m_bodies.emplace_back(m_id, m_body);
            if (m_bodies.size() > repeatedJobs)
                m_bodies.pop_front();
        }
        const bool isSettled = answer.outcome == Outcome::Answered && answer.status != 502 && answer.status != 504;
        const bool isFirst = m_jobs.empty();
        m_retries = isSettled && !isFirst ? 0 : m_retries + 1;
    }

    void draw()
    {
        std::array<char, 17> text {};
        std::snprintf(text.data(), text.size(), "%08x%08x", m_number + 1, ++m_drawn * 2 + m_number % 2);
        m_id = jobs::JobId { text.data() };
        const bool isLasting = m_drawn == 1;
        const int count = isLasting ? m_lastingCount : 1 + static_cast<int>(m_random.below(3));
        const std::string step = R"({"cpu":1000,"mem_mb":100,"estimated_ms":200,"count":)" + std::to_string(count);
        const bool isCrashing = m_crashesWorkers && !isLasting && m_random.oneIn(crashingEvery);
        const std::string spec = isLasting ? "lasting" : isCrashing ? crashingSpec : m_random.pick(m_specs);
        const std::string second = m_random.oneIn(3) ? "," + step + R"(,"after":[0]})" : "";
        m_body = R"({"spec":")" + spec + R"(","steps":[)" + step
            + (isLasting ? R"(,"long_running":true,"may_miss":1}]})" : "}" + second + "]}");
        m_recorder.submitted(m_id, count, isLasting, poolOf(m_id), isCrashing);
    }

    /// Sends an accepted job again, which may be at work, ended or cancelled, every second time to another node.
    void repeat()
    {
        const auto& [job, body] = m_bodies[m_repeatRandom.below(m_bodies.size())];
        if (m_repeatRandom.oneIn(2)) {
            m_connection.end();
            connect();
        }
        if (m_connection.isOpen())
            m_connection.exchange("POST", pathOf(job), body);
    }

    void ask(const jobs::JobId& job)
    {
        const TimePoint sentAt = m_recorder.now();
        const Answer answer = m_connection.exchange("GET", pathOf(job));
        if (answer.status == 410)
            m_recorder.denied(m_connection.node(), job, sentAt);
        if (answer.status == 200 && answer.body.find("\"completed\"") != std::string::npos)
            m_recorder.completedShown(job);
    }

    void cancel(std::size_t place)
    {
        m_recorder.cancelSent(m_jobs[place]);
        m_connection.exchange("DELETE", pathOf(m_jobs[place]));
        m_jobs.erase(m_jobs.begin() + static_cast<std::ptrdiff_t>(place));
    }

    Recorder& m_recorder;
    std::vector<std::unique_ptr<Entry>>& m_entries;
    const Specs& m_specs;
    const int m_lastingCount;
    fakes::Random m_random;
    fakes::Random m_repeatRandom;
    int m_number;
    bool m_crashesWorkers;
    Connection m_connection;
    std::deque<std::pair<jobs::JobId, std::string>> m_bodies; ///< Of the latest accepted jobs.
    std::vector<jobs::JobId> m_jobs; ///< Accepted; the first one lasts and is never cancelled.
    jobs::JobId m_id;
    std::string m_body;
    int m_drawn { 0 };
    int m_retries { 0 };
};

bool isOdd(const jobs::JobId& job)
{
    return (job.value().back() >= 'a' ? job.value().back() - 'a' : job.value().back() - '0') % 2 == 1;
}

} // namespace

std::string pathOf(const jobs::JobId& job) { return (isOdd(job) ? "/work/" : "/jobs/") + job.value(); }

std::string poolOf(const jobs::JobId& job) { return poolNames[isOdd(job) ? 1 : 0]; }

std::optional<std::string> askState(int port, const jobs::JobId& job)
{
    httplib::Client client { "127.0.0.1", port };
    client.set_read_timeout(answerPatience);
    const auto result = client.Get(pathOf(job), httplib::Headers { { "Host", "a.example" } });
    if (!result || (result->status != 200 && result->status != 410))
        return std::nullopt;
    if (result->status == 410)
        return "gone";
    const std::size_t from = result->body.find(":\"") + 2;
    return result->body.substr(from, result->body.find('"', from) - from);
}

Callers::Callers(
    Recorder& recorder, std::vector<std::unique_ptr<Entry>>& entries, std::uint64_t seed, TrafficKind traffic)
    : m_recorder(recorder)
    , m_entries(entries)
{
    m_threads.emplace_back([this] { probe(); });
    for (int number = 0; number < callerCount; ++number)
        m_threads.emplace_back([this, seed, number, traffic] { call(seed, number, traffic); });
}

Callers::~Callers()
{
    m_isEnding = true;
    for (std::thread& thread : m_threads)
        thread.join();
}

void Callers::call(std::uint64_t seed, int number, TrafficKind traffic)
{
    Caller caller { m_recorder, m_entries, seed, number, traffic };
    while (!m_isEnding)
        caller.step();
}

void Callers::probe()
{
    std::vector<int> misses(m_entries.size());
    while (!m_isEnding) {
        for (std::size_t number = 0; number < m_entries.size(); ++number) {
            httplib::Client client { "127.0.0.1", m_entries[number]->readinessPort };
            client.set_connection_timeout(probePatience);
            client.set_read_timeout(probePatience);
            const auto result = client.Get("/rattanrack/readyz");
            misses[number] = result && result->status == 200 ? 0 : misses[number] + 1;
            m_entries[number]->isInRotation = misses[number] < 2;
        }
        std::this_thread::sleep_for(probePause);
    }
}

} // namespace rattanrack::tools
