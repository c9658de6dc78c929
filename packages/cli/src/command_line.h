#pragma once

#include "rattanrack/base/error.h"
#include "rattanrack/base/ids.h"
#include "rattanrack/base/time.h"
#include "rattanrack/config/node_settings.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rattanrack::cli {

enum class Command {
    Validate,
    Merge,
    Diff,
    Apply,
    Status,
    Operate,
    StartRollOut,
    SteerRollOut,
    Explain,
    ExplainJob,
    ReportBurn,
    Load,
};

/// VMs that an operation is for: by name, by rack, or, for a roll-out, by pool or all.
struct Selection {
    std::vector<VmId> vms;
    std::optional<RackId> rack;
    std::optional<PoolId> pool;
    bool isAll { false };
};

/// The command line after its syntax was checked.
struct Invocation {
    Command command { Command::Status };
    std::vector<config::Address> nodes;
    bool isJson { false };
    Duration timeout {};
    OperatorId operatorId;

    std::string base; ///< File of the base configuration.
    std::vector<std::string> overlays;
    std::optional<std::string> against; ///< A document's file to compare with, in place of what is in force.
    std::optional<std::uint64_t> expectedVersion;

    std::string verb; ///< "drain", "pause", "vm" and so on, for commands that have several.
    Selection selection;
    std::optional<PoolId> toPool;
    std::vector<std::string> logs; ///< Files that nodes have written.
    std::string target; ///< Id of a roll-out, VM, request or job, or the load profile's file.
    std::optional<std::string> htmlFile;
    std::optional<std::string> measuresFile;
    std::uint64_t seed { 1 };
};

/// The text that --help prints.
const std::string& usageText();

/// Reads the arguments after the program's name. Errors: InvalidArgument, whose detail is for people.
Result<Invocation> parseCommandLine(const std::vector<std::string>& arguments);

} // namespace rattanrack::cli
