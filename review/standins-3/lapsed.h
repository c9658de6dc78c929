#pragma once

#include "fleet.h"

namespace review {

/// The store is down for some seconds, in which the entries of the workers run out, while subtasks are at work. Some
/// entries of the table of workers are from another writer and lack fields. Returns 1 if a subtask runs on two workers
/// at the same time, 0 if none does, 2 if the case can't run. `hasTrouble`: whether the store goes down.
int runLapsedCase(Fleet& fleet, bool hasTrouble);

} // namespace review
