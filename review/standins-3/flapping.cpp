#include "flapping.h"

namespace review {

namespace {

constexpr int workers = 9; ///< Four in a rack, so that the last one has a rack of its own.
constexpr std::int64_t downMs = 460;
constexpr std::int64_t upMs = 380;
constexpr int turns = 7; ///< 5.9 s in all.
constexpr int secondsAfter = 20;

} // namespace

int runFlappingCase(Fleet& fleet, bool hasTrouble)
{
    const Queue lasting { "vent-run", "/vent-run/", "fitting", 2 };
    Record& record = fleet.record();
    fleet.configure({ lasting });
    for (int number = 0; number < workers; ++number)
        fleet.addWorker(std::to_string(number), "fitting", "r" + std::to_string(number / 4 + 1), 16000);
    fleet.addNodes(3);
    if (!fleet.waitUntilServing(lasting))
        return 2;
    sleepMs(3000);
    const std::string id = "5c0e7a21d94b36f8";
    WorkerPlace& flapping = fleet.workers().back();
    const auto takeDown = [&] {
        record.line("trouble: " + flapping.id + " goes down");
        flapping.process->kill();
    };
    if (hasTrouble)
        takeDown();
    Json job = jobOfOneStep("ms=0 cpu=1300 lasts", 1, 1300, 700);
    job["steps"][0]["long_running"] = true;
    job["steps"][0]["required_label"] = flapping.rack;
    if (!fleet.submitUntilAccepted(lasting, id, job, 10))
        return 2;
    std::string state;
    const auto look = [&] {
        const std::string now = fleet.stateOf(lasting, id);
        if (now != state && !now.empty())
            record.line("consumer: GET " + lasting.prefix + id + " -> " + now);
        state = now.empty() ? state : now;
    };
    for (int turn = 1; hasTrouble && turn <= turns; ++turn) {
        sleepMs(downMs);
        flapping.process->start();
        if (turn == turns)
            break;
        sleepMs(upMs);
        takeDown();
    }
    record.line("the trouble is over: " + flapping.id + " stays up");
    for (int second = 0; second < secondsAfter; ++second) {
        look();
        sleepMs(1000);
    }
    record.line("last state: " + state + "; the job was not cancelled, and no worker has listed an end as failed");
    if (state == "failed")
        return 1;
    return state == "active" ? 0 : 2;
}

} // namespace review
