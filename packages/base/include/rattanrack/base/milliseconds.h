#pragma once

#include "rattanrack/base/time.h"

namespace rattanrack {

/// Converts to whole milliseconds, rounding towards zero. Logs, rows and messages of other systems use this unit.
constexpr std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace rattanrack
