#include "fleet.h"
#include "lapsed.h"
#include "long_entry.h"
#include "replaced.h"
#include "worker.h"

#include <array>
#include <csignal>
#include <string_view>

namespace {

struct Case {
    std::string_view name;
    int (*run)(review::Fleet& fleet, bool hasTrouble);
};

constexpr std::array<Case, 3> cases { {

    { "lapsed", review::runLapsedCase },
    { "long_entry", review::runLongEntryCase },
    { "replaced", review::runReplacedNodesCase },
} };

constexpr int broken = 1;
constexpr int cannotRun = 2;

std::string_view describe(int result)
{
    if (result == broken)
        return "result: the rule was broken";
    return result == 0 ? "result: the rule held" : "result: the case can't run";
}

} // namespace

/// "standin-3 worker ARGUMENTS..." is a worker. "standin-3 NAME RECORD FOLDER TROUBLE" plays the case NAME: RECORD is
/// the file to write to, FOLDER a folder for settings and logs, TROUBLE 0 or 1. Exits with 1 if the rule was broken, 0
/// if it held, 2 if the case can't run.
int main(int count, char** words)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::vector<std::string> arguments(words + 1, words + count);
    if (!arguments.empty() && arguments.front() == "worker")
        return review::runWorker({ arguments.begin() + 1, arguments.end() });
    if (arguments.size() != 4)
        return cannotRun;
    std::signal(SIGTERM, review::killAllAndExit);
    std::signal(SIGINT, review::killAllAndExit);
    review::Record record { arguments[1], review::unixMs() };
    review::Fleet fleet { record, words[0], arguments[2] };
    int result = cannotRun;
    for (const Case& each : cases) {
        if (each.name == arguments[0])
            result = each.run(fleet, arguments[3] != "0");
    }
    record.line(std::string { describe(result) });
    return result;
}
