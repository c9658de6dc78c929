#include "judge.h"
#include "lasting_check.h"
#include "play.h"

#include "rattanrack/base/log.h"

#include <docopt/docopt.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <map>
#include <set>

namespace {

using namespace rattanrack;
using namespace rattanrack::tools;

constexpr const char* usage
    = R"(process-soak: plays daemons as processes through seeded troubles and judges what callers and workers saw.

Usage:
  process-soak --daemon=PATH --seed=N [--seconds=S] [--daemons=N] [--workers=N]
               [--troubles=KIND] [--longest-lease=MS] [--rule=RULE] [--dir=DIR]

Options:
  --daemon=PATH  The rattanrackd to start.
  --seed=N       Chooses the troubles.
  --seconds=S    Length of the traffic; the play takes some 20 s more [default: 40].
  --daemons=N    How many daemons; 0: three to five, by the seed [default: 0].
  --workers=N    How many workers, two or more, in two pools [default: 6].
  --troubles=KIND  mixed: all kinds, of which even seeds play planned work alone;
                   deaths: workers die while nodes are in trouble;
                   crashes: some jobs crash the workers that start them, while daemons are killed, restarted and
                   frozen; takes 25 s more;
                   links: single daemons lose single workers, while owners are frozen, killed, restarted and cut from
                   the store;
                   peers: what other daemons send to one daemon is late or lost, beside troubles of owners;
                   routes: the queues' routes move between the pools, go and come back, beside troubles of daemons
                   [default: mixed].
  --longest-lease=MS  That workers grant; 0: 4500, for deaths and crashes 4500, 6000 or 10000 by the seed [default: 0].
  --rule=RULE    The exit status tells of this rule alone; all violations are printed [default: all].
  --dir=DIR      For settings and logs of the daemons [default: process-soak].

Exit status 1 when a promise was broken; each one is printed with the record of its job.
)";

/// Ends the process with a message when the option is below `least`.
std::size_t countOf(const std::map<std::string, docopt::value>& options, const char* name, long least)
{
    const long count = options.at(name).asLong();
    if (count >= least)
        return static_cast<std::size_t>(count);
    std::cerr << "process-soak: " << name << " is below " << least << '\n';
    std::exit(2);
}

/// Ends the process with a message when there are none of that name.
Troubles troublesNamed(const std::string& name)
{
    if (name == "mixed")
        return Troubles::Mixed;
    if (name == "deaths")
        return Troubles::Deaths;
    if (name == "crashes")
        return Troubles::Crashes;
    if (name == "links")
        return Troubles::Links;
    if (name == "peers")
        return Troubles::Peers;
    if (name == "routes")
        return Troubles::Routes;
    std::cerr << "process-soak: no troubles are named " << name << '\n';
    std::exit(2);
}

/// Prints those beyond the bound, whether or not the rule's other conditions hold. Returns the longest gap's seconds.
double printGaps(const History& history)
{
    Duration longest {};
    for (const LastingGap& gap : lastingGaps(history)) {
        longest = std::max(longest, gap.to - gap.from);
        if (gap.to - gap.from > restartBound)
            std::cout << "gap: " << textOf(history, gap) << '\n';
    }
    return std::chrono::duration<double>(longest).count();
}

void print(const History& history, const std::vector<Violation>& found)
{
    std::set<jobs::JobId> printed;
    for (const Violation& violation : found) {
        std::cout << violation.rule << ": " << violation.text << '\n';
        if (!violation.job.isEmpty() && printed.insert(violation.job).second)
            std::cout << recordOf(history, violation.job);
    }
    std::cout << "troubles:\n" << troublesOf(history);
}

} // namespace

int main(int argumentCount, char** arguments)
{
    const auto options = docopt::docopt(usage, { arguments + 1, arguments + argumentCount });
    signal(SIGPIPE, SIG_IGN);
    setLogLevel(LogLevel::Error);
    PlaySettings settings { options.at("--daemon").asString(), options.at("--dir").asString() };
    settings.seed = static_cast<std::uint64_t>(options.at("--seed").asLong());
    settings.length = std::chrono::seconds { options.at("--seconds").asLong() };
    settings.daemons = countOf(options, "--daemons", 0);
    settings.workers = countOf(options, "--workers", 2);
    settings.troubles = troublesNamed(options.at("--troubles").asString());
    settings.longestLease = std::chrono::milliseconds { countOf(options, "--longest-lease", 0) };
    std::filesystem::create_directories(settings.directory);
    Play play { settings };
    const History history = play.run();
    const std::vector<Violation> found = judge(history);
    print(history, found);
    const double longestGap = printGaps(history);
    for (const std::string& fault : play.faults())
        std::cout << "FAULT: " << fault << '\n';
    const auto accepted = std::count_if(
        history.jobs.begin(), history.jobs.end(), [](const auto& each) { return each.second.acceptedAt.has_value(); });
    std::cout << "process-soak: seed " << settings.seed << ", " << accepted << " jobs accepted, " << history.runs.size()
              << " runs, " << history.troubles.size() << " troubles, " << history.brokenCalls.size()
              << " calls broken off, " << play.killedAtGrace() << " processes killed at the end of their grace time, "
              << longestGap << " s at most without a run of a lasting subtask, " << found.size() << " violations, "
              << play.faults().size() << " faults\n";
    const std::string rule = options.at("--rule").asString();
    const bool isBroken = std::any_of(found.begin(), found.end(),
        [&](const Violation& violation) { return rule == "all" || violation.rule == rule; });
    return !isBroken && play.faults().empty() && accepted > 0 ? 0 : 1;
}
