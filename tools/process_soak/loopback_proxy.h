#pragma once

#include "rattanrack/base/time.h"

#include <atomic>
#include <list>
#include <string>
#include <thread>

namespace rattanrack::tools {

enum class LinkMode { Pass, Delay, Silent, Reset, CutAnswers };

/// A TCP proxy on loopback, on a thread of its own, that can trouble what passes through it.
class LoopbackProxy {
public:
    /// Leads to `target` ("127.0.0.1:port").
    explicit LoopbackProxy(const std::string& target);
    ~LoopbackProxy();
    LoopbackProxy(const LoopbackProxy&) = delete;
    LoopbackProxy& operator=(const LoopbackProxy&) = delete;

    const std::string& address() const { return m_address; }

    void setMode(LinkMode mode) { m_mode = mode; }

private:
    /// Bytes on their way; empty ones end the connection.
    struct Chunk {
        TimePoint dueAt {};
        bool isAnswer { false };
        std::string bytes;
    };
    struct Pair {
        int client { -1 };
        int server { -1 };
        bool hasLostAnswers { false }; ///< Delivers none of the later ones either.
        bool isOver { false };
        std::list<Chunk> chunks;
    };

    void run();
    void accept();
    void read(Pair& pair, bool isAnswer);
    void deliver(Pair& pair);
    void close(Pair& pair);

    SystemClock m_clock;
    std::string m_address;
    int m_targetPort { 0 };
    int m_listener { -1 };
    std::atomic<LinkMode> m_mode { LinkMode::Pass };
    std::atomic<bool> m_isEnding { false };
    std::list<Pair> m_pairs;
    std::thread m_thread;
};

} // namespace rattanrack::tools
