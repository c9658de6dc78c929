#include "deployment.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <sstream>

namespace review {

namespace {

constexpr const char* program = "target/packages/node/rattanrackd";
constexpr const char* settingsTemplate = "deploy/settings.yaml";
constexpr int maxBodyBytes = 262'144;
constexpr Milliseconds startTime { 20'000 };
constexpr Milliseconds settleTime { 10'000 }; ///< Traffic starts 10 s after the machines do.
constexpr Milliseconds pollInterval { 100 };
constexpr Milliseconds retryInterval { 300 };
constexpr int submissionTries = 5; ///< One attempt and four retries.
constexpr int ok = 200;
constexpr int badGateway = 502;
constexpr int unavailable = 503;
constexpr int gatewayTimeout = 504;
constexpr mode_t logMode = 0644;

std::string readFile(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void replaceAll(std::string& text, const std::string& from, const std::string& to)
{
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
        text.replace(at, from.size(), to);
}

/// Removes the sections of values that these deployments do not have.
void removeSection(std::string& text, const std::string& name)
{
    const std::string end = "{{/" + name + "}}";
    const auto from = text.find("{{#" + name + "}}");
    const auto to = text.find(end);
    if (from != std::string::npos && to != std::string::npos)
        text.erase(from, to + end.size() - from);
}

std::string temporaryDirectory()
{
    std::string path = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    return mkdtemp(path.data()) ? path : std::string {};
}

HttpMessage requestFor(const std::string& method, const Route& route, const std::string& id, const std::string& body)
{
    HttpMessage request;
    request.method = method;
    request.path = route.prefix + id;
    request.headers["Host"] = route.host;
    request.headers["X-Deadline-Ms"] = "3000";
    if (!body.empty())
        request.headers["Content-Type"] = "application/json";
    request.body = body;
    return request;
}

} // namespace

Json manifestOf(int version, const std::vector<Route>& routes, const std::string& standbyPool)
{
    Json list = Json::array();
    Json pools = Json::array();
    std::set<std::string> names;
    for (const Route& route : routes) {
        list.push_back({ { "name", route.name }, { "host", route.host }, { "path_prefix", route.prefix },
            { "type", "non_idempotent" }, { "timeout_ms", 3000 }, { "target_latency_ms", route.targetMs },
            { "priority", route.priority }, { "backend", route.pool }, { "attempts", route.attempts },
            { "stretch", 1.6 } });
        if (names.insert(route.pool).second)
            pools.push_back({ { "name", route.pool }, { "health_path", "/healthz" }, { "max_conns", 64 },
                { "protocol", "h1" }, { "tls", false }, { "enforces_capacity", true }, { "standby", false } });
    }
    if (!standbyPool.empty())
        pools.push_back({ { "name", standbyPool }, { "health_path", "/healthz" }, { "max_conns", 64 },
            { "protocol", "h1" }, { "tls", false }, { "enforces_capacity", true }, { "standby", true } });
    return { { "version", version }, { "routes", list }, { "backends", pools },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", maxBodyBytes }, { "header_timeout_ms", 3000 },
                { "idle_timeout_ms", 15000 } } } };
}

Node::Node(std::string name, std::string directory, int storePort, int machinesPort, Record& record)
    : m_name(std::move(name))
    , m_directory(std::move(directory))
    , m_record(record)
    , m_frontend(freePort())
    , m_readiness(freePort())
{
    m_settings = readFile(settingsTemplate);
    removeSection(m_settings, "advice");
    const std::string ip = "127.0.0.1";
    const std::map<std::string, std::string> values { { "node_name", m_name },
        { "listen_addrs.frontend", ip + ':' + std::to_string(m_frontend) },
        { "listen_addrs.readiness_addr", ip + ':' + std::to_string(m_readiness) }, { "ip", ip },
        { "port_range.0", std::to_string(freePort()) }, { "platform.address", ip + ':' + std::to_string(storePort) },
        { "cloud.address", ip + ':' + std::to_string(machinesPort) }, { "bounds.hold_max_ms", "10000" },
        { "bounds.status_s", "120" }, { "bounds.stop_ms", "900" }, { "bounds.drain_ms", "2000" },
        { "bounds.grace_s", "6" }, { "limits.cpu_share", "0.25" }, { "limits.cores", "1" } };
    for (const auto& [field, value] : values)
        replaceAll(m_settings, "{{" + field + "}}", value);
}

Node::~Node() { kill(); }

void Node::start()
{
    const std::string path = m_directory + '/' + m_name + ".yaml";
    std::ofstream(path) << m_settings;
    const std::string argument = "--settings=" + path;
    const std::string log = m_directory + '/' + m_name + ".log";
    m_process = fork();
    if (m_process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // It does not outlive the case.
        const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, logMode);
        dup2(file, STDOUT_FILENO);
        dup2(file, STDERR_FILENO);
        execl(program, program, "jobs", argument.c_str(), nullptr);
        _exit(couldNotRun);
    }
    m_record.add(m_name + " is started");
}

void Node::kill()
{
    if (m_process <= 0)
        return;
    ::kill(m_process, SIGKILL);
    waitpid(m_process, nullptr, 0);
    m_process = 0;
    m_record.add(m_name + " is killed");
}

bool Node::isReady() const
{
    HttpClient client { m_readiness };
    HttpMessage request;
    request.method = "GET";
    request.path = "/rattanrack/readyz";
    request.headers["Host"] = m_name;
    const auto response = client.exchange(request, Milliseconds { 1000 });
    return response && response->status == ok;
}

Deployment::Deployment(const std::string& recordPath, FleetLimits limits, int nodes)
    : m_directory(temporaryDirectory())
    , m_record(recordPath)
    , m_fleet(m_store, m_record, limits)
{
    for (int number = 1; number <= nodes; ++number)
        m_nodes.push_back(std::make_unique<Node>(
            "node-" + std::to_string(number), m_directory, m_store.port(), m_fleet.machinesPort(), m_record));
}

Deployment::~Deployment()
{
    m_nodes.clear();
    if (std::getenv("KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(m_directory);
}

bool Deployment::start(const std::vector<Route>& routes, const std::string& standbyPool)
{
    if (!std::filesystem::exists(program))
        return false;
    m_store.put("op", "config", manifestOf(1, routes, standbyPool));
    for (const auto& node : m_nodes)
        node->start();
    const auto isUp = [&] {
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            for (const Route& route : routes) {
                if (!m_nodes[index]->isReady() || call(index, "GET", route, "").status != ok)
                    return false;
            }
        }
        return true;
    };
    const TimePoint begunAt = Clock::now();
    while (!isUp()) {
        if (Clock::now() - begunAt > startTime)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    std::this_thread::sleep_until(begunAt + settleTime);
    m_record.add("the nodes are ready; traffic begins");
    return true;
}

HttpMessage Deployment::call(std::size_t node, const std::string& method, const Route& route, const std::string& id,
    const std::string& body, Milliseconds timeout)
{
    HttpClient client { m_nodes[node]->frontend() };
    auto response = client.exchange(requestFor(method, route, id, body), timeout);
    HttpMessage none;
    none.status = 0;
    return response.value_or(none);
}

bool Deployment::submit(const Route& route, const std::string& id, const Json& job)
{
    for (int tries = 0; tries < submissionTries; ++tries) {
        const std::size_t node = m_nextNode++ % m_nodes.size();
        const int status = call(node, "POST", route, id, job.dump()).status;
        m_record.add(
            "POST " + route.prefix + id + " at " + m_nodes[node]->name() + " is answered " + std::to_string(status));
        if (status == ok)
            return true;
        const bool mayRepeat = status == 0 || status == badGateway || status == unavailable || status == gatewayTimeout;
        if (!mayRepeat)
            return false;
        std::this_thread::sleep_for(retryInterval);
    }
    return false;
}

std::string Deployment::state(const Route& route, const std::string& id, Milliseconds time)
{
    const TimePoint begunAt = Clock::now();
    do {
        const std::size_t node = m_nextNode++ % m_nodes.size();
        const HttpMessage response = call(node, "GET", route, id);
        if (response.status == ok)
            return Json::parse(response.body).value("state", "");
        if (response.status == 410)
            return "410";
        std::this_thread::sleep_for(retryInterval);
    } while (Clock::now() - begunAt < time);
    return {};
}

bool Deployment::waitForState(const Route& route, const std::string& id, const std::string& wanted, Milliseconds time)
{
    const TimePoint begunAt = Clock::now();
    while (Clock::now() - begunAt < time) {
        if (state(route, id) == wanted)
            return true;
        std::this_thread::sleep_for(pollInterval);
    }
    return false;
}

std::string jobId(int number)
{
    std::ostringstream text;
    text << std::hex << number;
    constexpr std::size_t idDigits = 16;
    const std::string end = text.str();
    return std::string(idDigits - end.size(), '0') + end;
}

bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
