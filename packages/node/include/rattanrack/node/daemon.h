#pragma once

#include "rattanrack/base/error.h"
#include "rattanrack/config/node_settings.h"

#include <memory>

namespace rattanrack::node {

/// One rattanrackd process: all components between callers and targets that run on one entry VM.
///
///     BOOST_LEAF_AUTO(daemon, Daemon::create(settings));
///     waitForSignal();
///     daemon->shutDown();
class Daemon {
public:
    /// Starts all components. Errors: Unavailable (an address is in use), InvalidArgument (an address is malformed).
    static Result<std::unique_ptr<Daemon>> create(const config::NodeSettings& settings);

    /// Stops at once and aborts calls in progress. Call `shutDown` first for a graceful stop.
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /// Stops gracefully: reports not ready, waits until the load balancer has detected that, lets every accepted
    /// request end, hands duties over, and stops. Returns when done.
    void shutDown();

private:
    struct State;
    explicit Daemon(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

} // namespace rattanrack::node
