#include "commands.h"

#include <algorithm>
#include <thread>

namespace rattanrack::cli {

namespace {

using Handler = Result<Outcome> (*)(Context&);

struct CommandHandler {
    Command command;
    Handler handler;
};

constexpr CommandHandler handlers[] {
    { Command::Validate, validate },
    { Command::Merge, merge },
    { Command::Diff, compare },
    { Command::Apply, apply },
    { Command::Status, showStatus },
    { Command::Operate, operate },
    { Command::StartRollOut, startRollOut },
    { Command::SteerRollOut, steerRollOut },
    { Command::Explain, explain },
    { Command::ExplainJob, explainJob },
    { Command::ReportBurn, reportBurn },
    { Command::Load, load },
};

/// Bounds the wait for one node, so that the next one is tried well before the command's own timeout.
constexpr Duration nodeTimeout = std::chrono::seconds { 5 };

bool asksForHelp(const std::vector<std::string>& arguments)
{
    return std::any_of(arguments.begin(), arguments.end(),
        [](const std::string& argument) { return argument == "-h" || argument == "--help"; });
}

Outcome runInvocation(const Invocation& invocation, std::ostream& progress)
{
    HttpCaller caller { invocation.nodes, nodeTimeout };
    AdminClient client { caller };
    SystemPause pause;
    Context context { invocation, client, pause, progress };
    return runCommand(context);
}

} // namespace

void SystemPause::sleepFor(Duration duration) { std::this_thread::sleep_for(duration); }

Outcome runCommand(Context& context)
{
    return handle(
        [&]() -> Result<Outcome> {
            for (const CommandHandler& each : handlers) {
                if (each.command == context.invocation.command)
                    return each.handler(context);
            }
            return fail(ErrorCode::InvalidArgument, "command_line", {}, "this command is not built in");
        },
        outcomeOf);
}

int runProgram(const std::vector<std::string>& arguments, std::ostream& output, std::ostream& progress)
{
    if (asksForHelp(arguments)) {
        output << usageText();
        return static_cast<int>(ExitCode::Success);
    }
    bool isJson = false;
    const Outcome outcome = handle(
        [&]() -> Result<Outcome> {
            BOOST_LEAF_AUTO(invocation, parseCommandLine(arguments));
            isJson = invocation.isJson;
            return runInvocation(invocation, progress);
        },
        outcomeOf);
    if (isJson)
        output << outcome.json.dump(2) << "\n";
    else
        output << outcome.text;
    return static_cast<int>(outcome.code);
}

} // namespace rattanrack::cli
