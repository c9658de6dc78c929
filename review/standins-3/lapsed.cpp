#include "lapsed.h"

#include <map>
#include <sstream>

namespace review {

namespace {

constexpr int workers = 9;
constexpr int subtasks = 9;
constexpr std::int64_t downMs = 4500; ///< `platform_down`, "busy lapse", of lindmayr-rack.
constexpr std::int64_t afterMs = 12'000;

/// A line of a worker about a run, as in "12.345  w-3 5c0e7a21d94b36f8.0.0.3 run 1 starts".
struct RunLine {
    std::string time;
    std::string worker;
    std::string task;
    std::string number;
    std::string verb;
};

std::vector<RunLine> readRunLines(const std::string& path)
{
    std::vector<RunLine> all;
    std::ifstream lines(path);
    std::string text;
    while (std::getline(lines, text)) {
        std::istringstream words(text);
        RunLine line;
        std::string run;
        words >> line.time >> line.worker >> line.task >> run >> line.number >> line.verb;
        if (run == "run")
            all.push_back(std::move(line));
    }
    return all;
}

/// Whether the record shows a run of a subtask that begins while another one of it goes on elsewhere.
bool hasOverlap(Record& record)
{
    std::map<std::string, std::string> workerOfTask;
    bool isFound = false;
    for (const RunLine& line : readRunLines(record.path())) {
        const auto known = workerOfTask.find(line.task);
        const bool isElsewhere = known != workerOfTask.end() && known->second != line.worker;
        if (line.verb == "starts" && isElsewhere) {
            std::ostringstream text;
            text << "TWICE: " << line.task << " run " << line.number << " starts on " << line.worker << " at "
                 << line.time << " while it runs on " << known->second;
            record.line(text.str());
            isFound = true;
        }
        if (line.verb == "starts")
            workerOfTask[line.task] = line.worker;
        else if (!isElsewhere)
            workerOfTask.erase(line.task);
    }
    return isFound;
}

/// An entry without zone, version, slots, sequence, cold_remaining_ms and labels.
std::string foreignEntry(const std::string& machine)
{
    return Json {
        { "backend", "fitting" }, { "machine", machine }, { "address", "127.0.0.1:" + std::to_string(freePort()) },
        { "state", "ready" }, { "capacity", { { "cpu", 16000 }, { "mem_mb", 65536 } } }, { "born", unixMs() }
    }.dump();
}

} // namespace

int runLapsedCase(Fleet& fleet, bool hasTrouble)
{
    const Queue queue { "fit-check", "/fit-check/", "fitting", 3 };
    Record& record = fleet.record();
    Store& store = fleet.store();
    fleet.configure({ queue });
    for (int number = 0; number < workers; ++number)
        fleet.addWorker(std::to_string(number), "fitting", "r" + std::to_string(number / 4 + 1), 16000);
    fleet.addNodes(3);
    if (!fleet.waitUntilServing(queue))
        return 2;
    sleepMs(1000);
    std::map<std::string, std::string> foreignEntries;
    for (const WorkerPlace& worker : fleet.workers())
        foreignEntries["note-" + worker.machine] = foreignEntry(worker.machine);
    const auto writeForeignEntries = [&] {
        for (const auto& [key, value] : foreignEntries)
            store.put("servers", key, value);
    };
    writeForeignEntries();
    for (const auto& [key, value] : foreignEntries)
        record.line("another writer: servers/" + std::string(key).append(" = ").append(value));
    sleepMs(2000);
    const std::string id = "5c0e7a21d94b36f8";
    if (!fleet.submitUntilAccepted(queue, id, jobOfOneStep("ms=12000 cpu=5000", subtasks, 5000, 12000), 10))
        return 2;
    sleepMs(3000);
    if (hasTrouble) {
        record.line("trouble: the store is down");
        store.setDown(true);
        sleepMs(downMs);
        store.removeWorkers(); // They have been silent for three ping intervals.
        writeForeignEntries();
        store.setDown(false);
        record.line("the store is back");
    }
    sleepMs(afterMs);
    record.line("consumer: GET " + queue.prefix + id + " -> " + fleet.stateOf(queue, id));
    return hasOverlap(record) ? 1 : 0;
}

} // namespace review
