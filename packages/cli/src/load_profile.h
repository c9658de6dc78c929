#pragma once

#include "rattanrack/base/ids.h"
#include "rattanrack/base/time.h"
#include "rattanrack/base/units.h"
#include "rattanrack/config/diagnostic.h"
#include "rattanrack/config/node_settings.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrack::cli {

/// One sort of request in the mix of a load run.
struct RequestMix {
    WorkKind kind;
    PoolId pool; ///< Kinds of one pool burst together.
    TeamId team;
    std::uint32_t callers { 1 }; ///< Callers that send it, in turn.
    std::string urgency { "normal" };
    double weight { 1 }; ///< Part of all arrivals, relative to the other sorts.
    Duration deadline { std::chrono::seconds { 10 } };
    ResourceSize size;
    Duration runTime { std::chrono::milliseconds { 100 } }; ///< Mean declared run time.
    double trueRunTimeFactor { 1 }; ///< How far the true run time is from the declared one.
    bool isRepeatable { true };
};

/// Pools burst in turn: one at `factor` times its mean for `length`, the others at `quietFactor` times theirs.
struct Bursts {
    Duration length { std::chrono::seconds { 4 } };
    double factor { 1 };
    double quietFactor { 1 };
};

/// Callers that give up: some at random, and a part of all that arrived shortly before each wave.
struct Cancellations {
    double share { 0 };
    Duration waveInterval { std::chrono::hours { 1 } };
    double waveShare { 0 };
};

/// Callers that send a request once more, with the same key and through another node.
struct Repeats {
    double share { 0 };
    Duration delay { std::chrono::milliseconds { 200 } };
};

/// What a load run sends.
struct LoadProfile {
    Duration duration { std::chrono::seconds { 10 } };
    Duration drainTime { std::chrono::seconds { 30 } }; ///< How long after the last arrival answers are waited for.
    double ratePerSecond { 10 }; ///< Mean arrivals of the whole mix.
    std::uint32_t connections { 128 }; ///< Calls that may be in progress at once.
    std::vector<RequestMix> mix;
    Bursts bursts;
    Cancellations cancellations;
    Repeats repeats;
    std::vector<config::Address> workerLogs; ///< Answer GET /log with what the workers ran; see docs/CONFIGURATION.md.
};

/// Checks the profile in `text`; `name` is the file's name in diagnostics.
config::Checked<LoadProfile> parseLoadProfile(const std::string& name, std::string_view text);

} // namespace rattanrack::cli
