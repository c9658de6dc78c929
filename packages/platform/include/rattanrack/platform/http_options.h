#pragma once

#include "rattanrack/base/time.h"

#include <cstddef>

namespace rattanrack::platform {

/// Limits of the HTTP clients. They apply to each request and to each client separately.
struct HttpOptions {
    Duration connectTimeout { std::chrono::milliseconds { 500 } };
    Duration responseTimeout { std::chrono::seconds { 2 } }; ///< From sending to the end of the response.
    std::size_t maxIdleConnections { 16 }; ///< Connections kept open between requests.
    std::size_t maxResponseBytes { 64U << 20U }; ///< A longer response counts as none.
};

} // namespace rattanrack::platform
