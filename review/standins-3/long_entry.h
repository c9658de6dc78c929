#pragma once

#include "fleet.h"

namespace review {

/// Another writer puts one entry into the table of workers that lacks fields and has a long text in one of them.
/// Returns 1 if a job that was accepted before is not completed, 0 if it is, 2 if the case can't run. `hasTrouble`:
/// whether the entry is written.
int runLongEntryCase(Fleet& fleet, bool hasTrouble);

} // namespace review
