#pragma once

#include "commands.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <sstream>
#include <string>
#include <vector>

/// What one run of the program printed, and its exit status.
struct ProgramRun {
    int status { 0 };
    std::string output;
    std::string progress;

    nlohmann::json json() const { return nlohmann::json::parse(output); }
};

inline ProgramRun runProgramWith(const std::vector<std::string>& arguments)
{
    std::ostringstream output;
    std::ostringstream progress;
    ProgramRun run;
    run.status = rattanrack::cli::runProgram(arguments, output, progress);
    run.output = output.str();
    run.progress = progress.str();
    return run;
}

inline std::string examplePath(const std::string& name) { return std::string { RATTANRACK_EXAMPLES } + "/" + name; }

/// A file name that no other test process uses.
inline std::string temporaryPath(const std::string& name)
{
    return testing::TempDir() + "rattanrack-" + std::to_string(getpid()) + "-" + name;
}
