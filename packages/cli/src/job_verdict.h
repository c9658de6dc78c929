#pragma once

#include "job_story.h"

namespace rattanrack::cli {

/// What a job's story adds up to. How many attempts its queue allows is in no line, so that it isn't judged.
struct JobVerdict {
    std::size_t starts { 0 };
    std::size_t failures { 0 }; ///< Failed runs, each counted once however many owners have heard of it.
    std::size_t ownerChanges { 0 };
    std::int64_t leftOut {
        0
    }; ///< Lines that the nodes left out; an end or acknowledgement that lacks may be among them.
    std::vector<std::string> misfits; ///< What should not be, in the order of time.
    std::vector<std::string> remarks; ///< What may be, and helps to understand.
};

/// Looks for two runs of a subtask that are open at once, a start after its end `done`, a start by a replaced owner of
/// a subtask whose earlier run a later owner has dealt with, a start of a job taken over while workers are unheard, and
/// ends that were listed and never acknowledged. An end counts as acknowledged with the next acknowledgement to its
/// worker by the same owner.
JobVerdict judge(const JobStory& story);

} // namespace rattanrack::cli
