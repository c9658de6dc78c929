#include "large.h"

namespace review {

namespace {

constexpr int subtasksOfLargeJob = 12'000;
constexpr int usualJobs = 10;
constexpr int usualSubtasks = 6;
constexpr std::int64_t longestMs = 75'000; ///< From the large job until it must be completed.
constexpr std::int64_t finishMs = 14'000; ///< `finish_s` of lindmayr-rack.

std::string idOf(int number)
{
    const std::string digits = std::to_string(number);
    return "5c0e7a21d94b" + std::string(4 - digits.size(), '0') + digits;
}

} // namespace

int runLargeJobCase(Fleet& fleet, bool hasTrouble)
{
    const Queue queue { "fit-check", "/fit-check/", "fitting", 3 };
    Record& record = fleet.record();
    fleet.configure({ queue });
    for (int number = 0; number < 9; ++number)
        fleet.addWorker(std::to_string(number), "fitting", "r" + std::to_string(number / 4 + 1), 16000);
    fleet.addNodes(3);
    if (!fleet.waitUntilServing(queue))
        return 2;
    sleepMs(2000);
    const int jobs = hasTrouble ? 1 : usualJobs;
    const int count = subtasksOfLargeJob;
    std::vector<std::string> accepted;
    for (int number = 0; number < jobs; ++number) {
        if (!fleet.submitUntilAccepted(
                queue, idOf(number), jobOfOneStep("ms=3600 cpu=200", count / jobs, 200, 3600), 10))
            return 2;
        accepted.push_back(idOf(number));
    }
    const std::int64_t until = record.nowMs() + longestMs;
    const auto isDone = [&] {
        std::size_t completed = 0;
        for (const std::string& id : accepted)
            completed += fleet.stateOf(queue, id) == "completed" ? 1 : 0;
        return completed == accepted.size();
    };
    int next = jobs;
    std::size_t refused = 0;
    while (!isDone() && record.nowMs() < until) {
        sleepMs(4000);
        const std::string id = idOf(next++);
        const Answer answer = fleet.submit(0, queue, id, jobOfOneStep("ms=640 cpu=880", usualSubtasks, 880, 640));
        if (answer.status == 200)
            accepted.push_back(id);
        else
            ++refused;
        for (const auto& [job, bytes] : fleet.store().sizes("progress", "fitting"))
            record.line("store: progress of " + job + " has " + std::to_string(bytes) + " bytes");
    }
    record.line("no more jobs come; " + std::to_string(refused) + " were turned away");
    sleepMs(isDone() ? 0 : finishMs);
    for (const std::string& id : accepted)
        record.line("consumer: GET " + queue.prefix + id + " -> " + fleet.stateOf(queue, id));
    record.line("store: " + std::to_string(fleet.store().refusedForSize()) + " transactions refused for their size");
    return isDone() ? 0 : 1;
}

} // namespace review
