#include "fleet.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>

namespace review {

namespace {

constexpr const char* host = "jobs.example";
constexpr std::size_t machineThreads = 32;
constexpr int callTimeoutSeconds = 4;
constexpr int deadlineMs = 3000; ///< Of consumers, as in lindmayr-rack.
constexpr std::int64_t servingTimeoutMs = 20'000;
constexpr std::int64_t pollMs = 100;
constexpr mode_t logMode = 0644;
constexpr int firstPeerPort = 20'000;
constexpr int peerPortsOfCase = 700; ///< Cases that are played side by side use different ones.
constexpr int casesSideBySide = 16;
constexpr const char* daemonProgram = "target/packages/node/rattanrackd";

constexpr std::size_t maxProcesses = 256;
std::array<std::atomic<pid_t>, maxProcesses> runningProcesses {}; ///< 0: free.

void replaceRunning(pid_t from, pid_t to)
{
    for (std::atomic<pid_t>& each : runningProcesses) {
        pid_t expected = from;
        if (each.compare_exchange_strong(expected, to))
            return;
    }
}

} // namespace

void killAllAndExit(int)
{
    constexpr int cannotRun = 2;
    for (const std::atomic<pid_t>& each : runningProcesses) {
        const pid_t process = each;
        if (process > 0)
            kill(process, SIGKILL);
    }
    _exit(cannotRun);
}

void Process::start()
{
    if (m_process > 0)
        return;
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(
        &actions, STDOUT_FILENO, m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, logMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::vector<char*> words;
    for (std::string& word : m_arguments)
        words.push_back(word.data());
    words.push_back(nullptr);
    if (posix_spawn(&m_process, words.front(), &actions, nullptr, words.data(), environ) != 0)
        m_process = 0;
    else
        replaceRunning(0, m_process);
    posix_spawn_file_actions_destroy(&actions);
}

void Process::kill()
{
    if (m_process <= 0)
        return;
    signal(SIGKILL);
    waitpid(m_process, nullptr, 0);
    replaceRunning(m_process, 0);
    m_process = 0;
}

void Process::signal(int number) const
{
    if (m_process > 0)
        ::kill(m_process, number);
}

std::string Answer::state() const
{
    const Json json = parse(body);
    return status == 200 && json.is_object() ? json.value("state", std::string {}) : std::string {};
}

Fleet::Fleet(Record& record, std::string program, std::string folder)
    : m_record(record)
    , m_program(std::move(program))
    , m_folder(std::move(folder))
    , m_store(record)
{
    m_machines = std::make_unique<Server>(0, machineThreads, [this](httplib::Server& server) {
        const auto busy = [](const httplib::Request&, httplib::Response& response) {
            respond(response, 409, { { "reason", "busy" } });
        };
        server.Get("/rattanrack/machines", [this](const auto& in, auto& out) { listMachines(in, out); });
        server.Post("/rattanrack/machine-move", busy);
        server.Post("/rattanrack/machine-upkeep", busy);
    });
}

Fleet::~Fleet()
{
    for (NodePlace& node : m_nodes)
        node.process->kill();
    for (WorkerPlace& worker : m_workers)
        worker.process->kill();
}

void Fleet::listMachines(const httplib::Request&, httplib::Response& response)
{
    const std::lock_guard lock(m_mutex);
    Json machines = Json::array();
    for (const WorkerPlace& worker : m_workers)
        machines.push_back({ { "machine", worker.machine }, { "pool", worker.pool },
            { "state", worker.process->isRunning() ? "up" : "down" }, { "zone", "muc-a" },
            { "labels", { "a", worker.rack } },
            { "capacity", { { "cpu", worker.cpu }, { "mem_mb", 65536 }, { "gpu", 0 } } }, { "id", worker.id } });
    respond(response, 200, { { "machines", machines }, { "next_token", "" } });
}

void Fleet::configure(const std::vector<Queue>& queues)
{
    Json routes = Json::array();
    Json pools = Json::array();
    for (const Queue& queue : queues) {
        routes.push_back({ { "name", queue.name }, { "host", host }, { "path_prefix", queue.prefix },
            { "type", "non_idempotent" }, { "timeout_ms", 3000 }, { "target_latency_ms", 600 }, { "priority", 0 },
            { "backend", queue.pool }, { "attempts", queue.attempts }, { "stretch", 1.6 } });
        const Json pool { { "name", queue.pool }, { "enforces_capacity", true }, { "standby", false } };
        if (std::find(pools.begin(), pools.end(), pool) == pools.end())
            pools.push_back(pool);
    }
    m_store.put("op", "config",
        Json { { "version", m_version++ }, { "routes", routes }, { "backends", pools },
            { "limits", { { "max_body_bytes", 262144 } } } }
            .dump());
}

void Fleet::addWorker(const std::string& name, const std::string& pool, const std::string& rack, std::int64_t cpu)
{
    WorkerPlace place { "w-" + name, "m-" + name, pool, rack, cpu, freePort(), nullptr };
    const std::vector<std::string> arguments { m_program, "worker", std::to_string(place.port), m_store.address(),
        place.id, place.machine, pool, rack, m_record.path(), std::to_string(m_record.zeroUnixMs()),
        std::to_string(cpu) };
    place.process = std::make_unique<Process>(arguments, m_folder + "/workers.log");
    place.process->start();
    const std::lock_guard lock(m_mutex);
    m_workers.push_back(std::move(place));
}

/// As the template of the deploy file, with the figures of lindmayr-rack.
std::string Fleet::settingsOf(const NodePlace& node) const
{
    const std::string ip = "127.0.0.1:";
    return "node: " + node.name + "\nlisten: " + ip + std::to_string(node.port) + "\nreadiness: " + ip
        + std::to_string(node.readinessPort) + "\npeerListen: " + ip + std::to_string(node.peerPort)
        + "\nstore: " + m_store.address() + "\nmachineList: " + m_machines->address()
        + "\nlongestLease: 10000ms\nkeepEnded: 120s\nlongestStop: 900ms\ndrainBound: 2000ms\nstopGrace: 6s\n"
          "processorShare: 0.25\nprocessorCores: 1\nlogLevel: info\n";
}

void Fleet::startNode(NodePlace& node)
{
    const std::string settings = m_folder + "/" + node.name + ".conf";
    std::ofstream(settings) << settingsOf(node);
    const std::vector<std::string> arguments { daemonProgram, "jobs", "--settings=" + settings };
    node.process = std::make_unique<Process>(arguments, m_folder + "/" + node.name + ".log");
    node.process->start();
}

/// The peers' addresses ascend, as those of machines do that come one after the other.
int Fleet::nextPeerPort()
{
    do
        m_nextPeerPort
            = m_nextPeerPort == 0 ? firstPeerPort + getpid() % casesSideBySide * peerPortsOfCase : m_nextPeerPort + 1;
    while (!isFree(m_nextPeerPort));
    return m_nextPeerPort;
}

void Fleet::addNodes(std::size_t count)
{
    for (std::size_t each = 0; each < count; ++each) {
        NodePlace node { "edge-muc-a-" + std::to_string(++m_nodesStarted), freePort(), freePort(), nextPeerPort(),
            nullptr };
        startNode(node);
        m_nodes.push_back(std::move(node));
    }
}

void Fleet::replaceOldestNode(bool atNewAddress)
{
    m_nodes.front().process->kill();
    if (atNewAddress) {
        m_nodes.erase(m_nodes.begin());
        return addNodes(1);
    }
    NodePlace node = std::move(m_nodes.front());
    m_nodes.erase(m_nodes.begin());
    node.process->start();
    m_nodes.push_back(std::move(node));
}

bool Fleet::waitUntilServing(const Queue& queue)
{
    const std::int64_t until = m_record.nowMs() + servingTimeoutMs;
    std::size_t serving = 0;
    while (serving < m_nodes.size() && m_record.nowMs() < until) {
        if (ask(serving, queue, "").status == 200)
            ++serving;
        else
            sleepMs(pollMs);
    }
    return serving == m_nodes.size();
}

Answer Fleet::call(std::size_t node, const std::string& method, const std::string& path, const std::string& body)
{
    httplib::Client client { "127.0.0.1", m_nodes[node].port };
    client.set_read_timeout(callTimeoutSeconds);
    client.set_connection_timeout(1);
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.set_header("Host", host);
    request.set_header("X-Deadline-Ms", std::to_string(deadlineMs));
    if (!body.empty())
        request.set_header("Content-Type", "application/json");
    const auto result = client.send(request);
    return result ? Answer { result->status, result->body } : Answer {};
}

Answer Fleet::submit(std::size_t node, const Queue& queue, const std::string& id, const Json& body)
{
    const std::string text = body.dump();
    Answer answer = call(node, "POST", queue.prefix + id, text);
    m_record.line("consumer: POST " + queue.prefix + id + " (" + std::to_string(text.size()) + " bytes) at "
        + m_nodes[node].name + " -> " + std::to_string(answer.status));
    return answer;
}

Answer Fleet::ask(std::size_t node, const Queue& queue, const std::string& id)
{
    return call(node, "GET", queue.prefix + id, "");
}

Answer Fleet::cancel(std::size_t node, const Queue& queue, const std::string& id)
{
    Answer answer = call(node, "DELETE", queue.prefix + id, "");
    m_record.line(
        "consumer: DELETE " + queue.prefix + id + " at " + m_nodes[node].name + " -> " + std::to_string(answer.status));
    return answer;
}

bool Fleet::submitUntilAccepted(const Queue& queue, const std::string& id, const Json& body, int tries)
{
    for (int each = 0; each < tries; ++each) {
        const Answer answer = submit(static_cast<std::size_t>(each) % m_nodes.size(), queue, id, body);
        if (answer.status / 100 == 2)
            return true;
        sleepMs(300);
    }
    return false;
}

std::string Fleet::stateOf(const Queue& queue, const std::string& id)
{
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        const Answer answer = ask(node, queue, id);
        if (!answer.state().empty())
            return answer.state();
    }
    return {};
}

Json jobOfOneStep(const std::string& spec, int count, std::int64_t cpu, std::int64_t estimatedMs)
{
    return { { "spec", spec },
        { "steps",
            Json::array(
                { { { "count", count }, { "cpu", cpu }, { "mem_mb", 8 }, { "estimated_ms", estimatedMs } } }) } };
}

} // namespace review
