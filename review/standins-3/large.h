#pragma once

#include "fleet.h"

namespace review {

/// One job has as many subtasks as usually ten have, beside jobs of the usual size. Returns 1 if accepted jobs are
/// never completed although their workers idle, 0 if all are, 2 if the case can't run. Without `hasTrouble` the same
/// subtasks come in ten jobs.
int runLargeJobCase(Fleet& fleet, bool hasTrouble);

} // namespace review
