#pragma once

#include <csignal>

namespace rattanrack::standin {

/// Blocks SIGTERM and SIGINT in this thread and all that it starts. Call before the first thread starts.
inline sigset_t blockEndSignals()
{
    sigset_t signals {};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

/// Returns when one of `signals` arrives.
inline void waitForSignal(const sigset_t& signals)
{
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace rattanrack::standin
