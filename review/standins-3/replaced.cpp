#include "replaced.h"

namespace review {

namespace {

constexpr std::size_t liveNodes = 7; ///< As in the small deployments.
constexpr int replacements = 546; ///< 78 rounds through all nodes.
constexpr std::int64_t startPauseMs = 110; ///< Between two replacements.
constexpr std::int64_t settleMs = 12'000; ///< `recover_s` of lindmayr-rack.
constexpr std::int64_t workMs = 3000;
constexpr std::int64_t askMs = 10'000;
constexpr std::int64_t askPauseMs = 500;

/// Asks each node for the job until it has answered. Returns how many nodes have.
std::size_t askAllNodes(Fleet& fleet, const Queue& queue, const std::string& id)
{
    Record& record = fleet.record();
    std::vector<std::string> last(fleet.nodes().size());
    std::size_t answering = 0;
    const std::int64_t until = record.nowMs() + askMs;
    int rounds = 0;
    while (answering < last.size() && record.nowMs() < until) {
        ++rounds;
        for (std::size_t node = 0; node < last.size(); ++node) {
            if (last[node].starts_with("200"))
                continue;
            const Answer answer = fleet.ask(node, queue, id);
            last[node] = std::to_string(answer.status) + " " + answer.body;
            answering += answer.status == 200 ? 1 : 0;
        }
        sleepMs(askPauseMs);
    }
    for (std::size_t node = 0; node < last.size(); ++node)
        record.line("consumer: GET " + queue.prefix + id + " at " + fleet.nodes()[node].name + ", up to "
            + std::to_string(rounds) + " times -> " + last[node]);
    return answering;
}

} // namespace

int runReplacedNodesCase(Fleet& fleet, bool hasTrouble)
{
    const Queue queue { "fit-check", "/fit-check/", "fitting", 3 };
    Record& record = fleet.record();
    fleet.configure({ queue });
    for (int number = 0; number < 9; ++number)
        fleet.addWorker(std::to_string(number), "fitting", "r" + std::to_string(number / 4 + 1), 16000);
    fleet.addNodes(liveNodes);
    if (!fleet.waitUntilServing(queue))
        return 2;
    record.line("all nodes serve; from now on one node after the other "
        + std::string(
            hasTrouble ? "is removed, and another one comes at a new address" : "is killed and started again"));
    for (int number = 0; number < replacements; ++number) {
        fleet.replaceOldestNode(hasTrouble);
        sleepMs(startPauseMs);
    }
    record.line("that was done " + std::to_string(replacements) + " times; the nodes are left alone");
    sleepMs(settleMs);
    record.line(
        "store: " + std::to_string(fleet.store().sizes("node", "nodes").size()) + " rows in the table of nodes");
    const std::string id = "5c0e7a21d94b36f8";
    if (!fleet.submitUntilAccepted(queue, id, jobOfOneStep("ms=600 cpu=880", 2, 880, 600), 14))
        return 2;
    sleepMs(workMs);
    const std::size_t answering = askAllNodes(fleet, queue, id);
    record.line(std::to_string(answering) + " of " + std::to_string(fleet.nodes().size()) + " nodes answer");
    return answering == fleet.nodes().size() ? 0 : 1;
}

} // namespace review
