#pragma once

#include "rattanrack/base/ids.h"
#include "rattanrack/base/time.h"

#include <mutex>
#include <string>
#include <vector>

namespace rattanrack::standin {

/// One task that started. Times are milliseconds since the Unix epoch; `ended` is 0 while it runs.
struct TaskEntry {
    VmId vm;
    AttemptId attempt;
    RequestId request;
    WorkKind kind;
    std::string payload;
    std::int64_t started { 0 };
    std::int64_t ended { 0 };
    std::string state { "running" };
};

/// Everything that ever started on any worker of the process, in order. Safe from several threads.
class TaskLog {
public:
    /// Returns the entry's number.
    std::size_t begin(TaskEntry);
    void end(std::size_t entry, std::string state);

    /// Entries from number `first` on, at most `limit`.
    std::vector<TaskEntry> entries(std::size_t first, std::size_t limit) const;

private:
    mutable std::mutex m_mutex;
    std::vector<TaskEntry> m_entries;
};

} // namespace rattanrack::standin
