#pragma once

#include "log_line.h"

#include "rattanrack/base/error.h"

#include <cstddef>
#include <string>
#include <vector>

namespace rattanrack::cli {

/// What one node has written.
struct NodeLog {
    std::string node; ///< As its node.started line says; else the file's name without folder and ending.
    std::vector<LogLine> lines;
    std::size_t malformed { 0 }; ///< Lines that couldn't be read and were left out.
};

/// Reads a log file, and keeps the lines that may concern `job`. Errors: NotFound.
Result<NodeLog> readNodeLog(const std::string& path, const std::string& job);

struct StoryLine {
    std::string node;
    LogLine line;
};

/// What several nodes have written about one job, in the order of time.
struct JobStory {
    std::vector<StoryLine> lines; ///< Empty when no line names the job.
    LogTime acceptedAt {};
    std::size_t malformed { 0 };
};

/// Puts the lines about the job together with those between them about its cells and workers. An acknowledgement is
/// kept when the node has listed an end of the job since its last one to that worker, also after the job's last line.
JobStory storyOf(const std::string& job, const std::vector<NodeLog>& logs);

} // namespace rattanrack::cli
