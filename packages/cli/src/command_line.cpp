#include "command_line.h"

#include <docopt/docopt.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <map>
#include <string_view>

namespace rattanrack::cli {

namespace {

using Arguments = std::map<std::string, docopt::value>;

struct CommandName {
    const char* name;
    Command command;
};

constexpr std::array<CommandName, 14> commandNames { {
    { "validate", Command::Validate },
    { "merge", Command::Merge },
    { "diff", Command::Diff },
    { "apply", Command::Apply },
    { "status", Command::Status },
    { "drain", Command::Operate },
    { "undrain", Command::Operate },
    { "reboot", Command::Operate },
    { "move", Command::Operate },
    { "start", Command::StartRollOut },
    { "rollout", Command::SteerRollOut },
    { "explain", Command::Explain },
    { "report", Command::ReportBurn },
    { "load", Command::Load },
} };

constexpr std::array<const char*, 5> subcommands { "pause", "resume", "abort", "vm", "request" };

bool isSet(const Arguments& arguments, const std::string& name)
{
    const auto found = arguments.find(name);
    return found != arguments.end() && found->second.isBool() && found->second.asBool();
}

std::optional<std::string> textOf(const Arguments& arguments, const std::string& name)
{
    const auto found = arguments.find(name);
    if (found == arguments.end() || !found->second.isString())
        return std::nullopt;
    return found->second.asString();
}

std::vector<std::string> listOf(const Arguments& arguments, const std::string& name)
{
    const auto found = arguments.find(name);
    if (found == arguments.end() || !found->second.isStringList())
        return {};
    return found->second.asStringList();
}

Error misuse(const std::string& detail) { return { ErrorCode::InvalidArgument, "command_line", "", detail }; }

Result<std::uint64_t> wholeNumber(const std::string& option, const std::string& text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc {} || end != text.data() + text.size())
        return fail(misuse(option + ": '" + text + "', expected a whole number"));
    return number;
}

Result<std::vector<config::Address>> nodesOf(const Arguments& arguments)
{
    std::vector<config::Address> nodes;
    for (const std::string& text : listOf(arguments, "--node")) {
        const auto address = config::parseAddress(text);
        if (!address)
            return fail(misuse("--node: '" + text + "', expected an IP number and a port, such as 127.0.0.1:8080"));
        nodes.push_back(*address);
    }
    if (nodes.empty())
        nodes.push_back({ "127.0.0.1", 8080 });
    return nodes;
}

std::string operatorOf(const Arguments& arguments)
{
    if (const auto given = textOf(arguments, "--operator"))
        return *given;
    const char* const user = std::getenv("USER");
    return user ? user : "operator";
}

Selection selectionOf(const Arguments& arguments)
{
    Selection selection;
    for (const std::string& vm : listOf(arguments, "VM"))
        selection.vms.emplace_back(vm);
    if (const auto rack = textOf(arguments, "--rack"))
        selection.rack = RackId { *rack };
    if (const auto pool = textOf(arguments, "--pool"))
        selection.pool = PoolId { *pool };
    selection.isAll = isSet(arguments, "--all");
    return selection;
}

void readCommand(const Arguments& arguments, Invocation& invocation)
{
    for (const CommandName& each : commandNames) {
        if (!isSet(arguments, each.name))
            continue;
        invocation.command = each.command;
        invocation.verb = each.name;
        break;
    }
    for (const char* const subcommand : subcommands) {
        if (isSet(arguments, subcommand))
            invocation.verb = subcommand;
    }
    if (!listOf(arguments, "LOG").empty())
        invocation.command = Command::ExplainJob;
}

void readTexts(const Arguments& arguments, Invocation& invocation)
{
    invocation.base = textOf(arguments, "BASE").value_or("");
    invocation.overlays = listOf(arguments, "OVERLAY");
    invocation.logs = listOf(arguments, "LOG");
    invocation.against = textOf(arguments, "--with");
    invocation.target = textOf(arguments, "ID").value_or(textOf(arguments, "PROFILE").value_or(""));
    invocation.htmlFile = textOf(arguments, "--html");
    invocation.measuresFile = textOf(arguments, "--measures");
    if (const auto pool = textOf(arguments, "--to"))
        invocation.toPool = PoolId { *pool };
}

/// Ids become a part of a path, so that nothing with a meaning there may be in them.
bool isId(const std::string& text)
{
    constexpr std::string_view signs = "-_.:";
    return std::all_of(text.begin(), text.end(), [&](char each) {
        return (each >= 'a' && each <= 'z') || (each >= 'A' && each <= 'Z') || (each >= '0' && each <= '9')
            || signs.find(each) != std::string_view::npos;
    });
}

Result<Invocation> interpret(const Arguments& arguments)
{
    Invocation invocation;
    readCommand(arguments, invocation);
    readTexts(arguments, invocation);
    const auto id = textOf(arguments, "ID");
    if (id && (id->empty() || !isId(*id)))
        return fail(misuse("'" + *id + "' is not an id, expected letters, digits and -_.:"));
    invocation.isJson = isSet(arguments, "--json");
    invocation.operatorId = OperatorId { operatorOf(arguments) };
    invocation.selection = selectionOf(arguments);
    BOOST_LEAF_ASSIGN(invocation.nodes, nodesOf(arguments));
    BOOST_LEAF_AUTO(seconds, wholeNumber("--timeout", textOf(arguments, "--timeout").value_or("")));
    invocation.timeout = std::chrono::seconds { seconds };
    BOOST_LEAF_ASSIGN(invocation.seed, wholeNumber("--seed", textOf(arguments, "--seed").value_or("")));
    if (const auto expected = textOf(arguments, "--expect")) {
        BOOST_LEAF_ASSIGN(invocation.expectedVersion, wholeNumber("--expect", *expected));
    }
    return invocation;
}

} // namespace

const std::string& usageText()
{
    static const std::string s_text = R"(Operates a federation of rattanrack nodes.

Usage:
  rattanrack validate BASE [OVERLAY...] [options]
  rattanrack merge BASE [OVERLAY...] [options]
  rattanrack diff BASE [OVERLAY...] [--node=ADDRESS]... [options]
  rattanrack apply BASE [OVERLAY...] [--node=ADDRESS]... [options]
  rattanrack status [--node=ADDRESS]... [options]
  rattanrack (drain|undrain|reboot) (VM...|--rack=RACK) [--node=ADDRESS]... [options]
  rattanrack move --to=POOL (VM...|--rack=RACK) [--node=ADDRESS]... [options]
  rattanrack rollout start ID (--pool=POOL|--rack=RACK|--all) [--node=ADDRESS]... [options]
  rattanrack rollout (pause|resume|abort) ID [--node=ADDRESS]... [options]
  rattanrack explain (vm|request) ID [--node=ADDRESS]... [options]
  rattanrack explain ID LOG... [options]
  rattanrack report burn [--node=ADDRESS]... [options]
  rattanrack load PROFILE [--node=ADDRESS]... [options]
  rattanrack (-h|--help)

Options:
  --node=ADDRESS     IP number and port of a node; give it several times to try the next one when a node does not
                     answer. Default: 127.0.0.1:8080.
  --json             Print JSON in place of text.
  --timeout=SECONDS  How long to wait for an outcome [default: 30].
  --operator=NAME    Who asks; written down with each change. Default: the environment's USER.
  --with=DOCUMENT    diff: compare with this document's file in place of what is in force.
  --expect=VERSION   apply: take effect only while this version is in force. Default: the version read before.
  --rack=RACK        All VMs of one rack.
  --pool=POOL        All VMs of one pool.
  --to=POOL          move: the pool that shall have the VMs.
  --all              All VMs.
  --html=FILE        report, load: write a page with plots.
  --measures=FILE    report: add the measures that a measuring tool printed to this file.
  --seed=NUMBER      load: the seed of its random choices [default: 1].
  -h --help          Print this text.

Exit status:
  0 done  1 invalid configuration or broken invariant  2 misuse  3 conflict  4 unavailable  5 outcome unknown
  6 refused  7 accepted but not yet in force everywhere

Exit status of explain ID LOG..., which reads the nodes' log files for what became of a job:
  0 nothing that doesn't fit  1 something doesn't fit  2 a log cannot be read, or no line names the job
)";
    return s_text;
}

Result<Invocation> parseCommandLine(const std::vector<std::string>& arguments)
{
    try {
        return interpret(docopt::docopt_parse(usageText(), arguments, false, false));
    } catch (const std::runtime_error& error) {
        return fail(misuse(error.what()));
    }
}

} // namespace rattanrack::cli
