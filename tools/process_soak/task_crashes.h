#pragma once

#include "../../platform/standin/standin_worker.h"
#include "recorder.h"

#include <memory>
#include <vector>

namespace rattanrack::tools {

/// Records the crashes of stand-in workers by their tasks as troubles. They do not delay the end of a play, so that
/// crashes without end are judged too.
class TaskCrashes {
public:
    /// Both must outlive this object; `workers` must not change any more.
    TaskCrashes(Recorder& recorder, const std::vector<std::unique_ptr<adapter::standin::StandinWorker>>& workers);

    /// Records what has happened since the last call.
    void update();

private:
    /// Crashes of one worker.
    struct Watched {
        int crashes { 0 }; ///< Recorded ones.
        std::optional<std::size_t> trouble; ///< Number of the one that goes on.
        TimePoint endsAt {};
    };

    Recorder& m_recorder;
    const std::vector<std::unique_ptr<adapter::standin::StandinWorker>>& m_workers;
    std::vector<Watched> m_watched; ///< One for each worker.
};

} // namespace rattanrack::tools
