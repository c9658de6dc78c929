#pragma once

#include "rattanrack/base/metrics.h"
#include "rattanrack/node/readiness.h"

namespace httplib {
class Server;
}

namespace rattanrack::node {

/// Adds GET /healthz, /readyz and /metrics. `readiness` and `metrics` must outlive the server.
void addHealthRoutes(httplib::Server& server, const Readiness& readiness, const Metrics& metrics);

} // namespace rattanrack::node
