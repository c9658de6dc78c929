#pragma once

#include "fleet.h"

namespace review {

/// A job that lasts and needs a label waits for a worker that goes down and up by turns. Returns 1 if it is shown as
/// failed, 0 if it is at work in the end, 2 if the case can't run. `hasTrouble`: whether the worker goes down.
int runFlappingCase(Fleet& fleet, bool hasTrouble);

} // namespace review
