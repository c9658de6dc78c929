#pragma once

#include "judge.h"

namespace rattanrack::tools {

/// After this many crashes of workers under a subtask, its further starts are counted.
constexpr int crashesBeforeLimit = 3;

/// Further starts that break the rule.
constexpr int startsBeyondLimit = 3;

/// Crashes under one subtask from which on its job may be shown as failed.
constexpr int crashesToGiveUp = 2;

/// Whether a worker was lost under `run`, which belongs to a job whose subtasks crash their workers.
bool isCrash(const History& history, const RunRecord& run);

/// Whether a subtask of the job has crashed as many workers as it takes to give it up.
bool mayBeGivenUp(const History& history, const jobs::JobId& job);

/// Rule "BUDGET (crash)": a subtask is started three times more after three workers have crashed under it. The record
/// doesn't name the daemon that sent a start, so that starts of all daemons count.
void judgeCrashes(const History& history, std::vector<Violation>& found);

} // namespace rattanrack::tools
