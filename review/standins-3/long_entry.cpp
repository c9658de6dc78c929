#include "long_entry.h"

namespace review {

namespace {

constexpr int workers = 9;
constexpr std::size_t entryBytes = 65'536; ///< `row_bytes`, the longest value that the store takes.
constexpr std::int64_t untilEntryMs = 2000;
constexpr std::int64_t newJobEveryMs = 4000;
constexpr int newJobs = 6;
constexpr std::int64_t finishMs = 14'000; ///< `finish_s` of lindmayr-rack.

Json entryOf(const std::string& machine)
{
    return { { "backend", "fitting" }, { "machine", machine }, { "address", "127.0.0.1:" + std::to_string(freePort()) },
        { "state", "ready" }, { "capacity", { { "cpu", 16000 }, { "mem_mb", 65536 } } }, { "born", unixMs() } };
}

/// An entry without zone, version, slots, sequence, cold_remaining_ms and labels, as long as the store allows.
std::string longEntry()
{
    const std::size_t others = entryOf("").dump().size();
    return entryOf(std::string(entryBytes - others, 'm')).dump();
}

Json jobOfTwoSteps()
{
    Json job = jobOfOneStep("ms=8000 cpu=2000", workers, 2000, 8000);
    Json second = job["steps"][0];
    second["after"] = Json::array({ 0 });
    job["steps"].push_back(std::move(second));
    return job;
}

} // namespace

int runLongEntryCase(Fleet& fleet, bool hasTrouble)
{
    const Queue queue { "fit-check", "/fit-check/", "fitting", 3 };
    Record& record = fleet.record();
    fleet.configure({ queue });
    for (int number = 0; number < workers; ++number)
        fleet.addWorker(std::to_string(number), "fitting", "r" + std::to_string(number / 4 + 1), 16000);
    fleet.addNodes(3);
    if (!fleet.waitUntilServing(queue))
        return 2;
    sleepMs(2000);
    const std::string id = "5c0e7a21d94b36f8";
    if (!fleet.submitUntilAccepted(queue, id, jobOfTwoSteps(), 10))
        return 2;
    sleepMs(untilEntryMs);
    if (hasTrouble) {
        const std::string entry = longEntry();
        fleet.store().put("servers", "note-of-another-writer", entry);
        record.line("another writer: servers/note-of-another-writer, " + std::to_string(entry.size())
            + " bytes: " + entryOf("mmm(...)").dump());
    }
    for (int number = 0; number < newJobs; ++number) {
        sleepMs(newJobEveryMs);
        fleet.submit(static_cast<std::size_t>(number) % fleet.nodes().size(), queue,
            "5c0e7a21d94b000" + std::to_string(number), jobOfOneStep("ms=640 cpu=880", 6, 880, 640));
    }
    record.line("no more jobs come");
    sleepMs(finishMs);
    const std::string state = fleet.stateOf(queue, id);
    record.line("consumer: GET " + queue.prefix + id + " -> " + state);
    record.line("store: " + std::to_string(fleet.store().refusedForSize()) + " transactions refused for their size");
    return state == "completed" ? 0 : 1;
}

} // namespace review
