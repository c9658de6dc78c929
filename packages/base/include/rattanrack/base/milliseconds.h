#pragma once

#include "rattanrack/base/time.h"

namespace rattanrack {

/// Whole milliseconds, as logs, rows and other systems' messages have them.
constexpr std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace rattanrack
