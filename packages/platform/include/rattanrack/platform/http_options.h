#pragma once

#include "rattanrack/base/time.h"

#include <cstddef>

namespace rattanrack::platform {

/// Bounds of the HTTP adapters. They apply to each call and to each adapter by itself.
struct HttpOptions {
    Duration connectTimeout { std::chrono::milliseconds { 500 } };
    Duration responseTimeout { std::chrono::seconds { 2 } }; ///< From sending to the end of the answer.
    std::size_t maxIdleConnections { 16 }; ///< Connections kept open between calls.
    std::size_t maxResponseBytes { 64U << 20U }; ///< A longer answer counts as none.
};

} // namespace rattanrack::platform
