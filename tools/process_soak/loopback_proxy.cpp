#include "loopback_proxy.h"

#include "loopback.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <vector>

namespace rattanrack::tools {

namespace {

using namespace std::chrono_literals;

constexpr Duration delay = 400ms;
constexpr int pollMs = 5;
constexpr int idlePollMs = 20; ///< While nothing is held back.
constexpr int backlog = 128;

} // namespace

LoopbackProxy::LoopbackProxy(const std::string& target)
    : m_targetPort(portOf(target))
    , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address = loopbackAddress(0);
    socklen_t size = sizeof(address);
    if (bind(m_listener, reinterpret_cast<const sockaddr*>(&address), size) != 0 || listen(m_listener, backlog) != 0)
        throw std::system_error(errno, std::generic_category(), "proxy");
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    m_thread = std::thread([this] { run(); });
}

LoopbackProxy::~LoopbackProxy()
{
    m_isEnding = true;
    m_thread.join();
    for (Pair& pair : m_pairs)
        close(pair);
    ::close(m_listener);
}

void LoopbackProxy::run()
{
    while (!m_isEnding) {
        std::vector<pollfd> watched { { m_listener, POLLIN, 0 } };
        const short events = m_mode == LinkMode::Silent ? 0 : POLLIN;
        for (const Pair& pair : m_pairs) {
            watched.push_back({ pair.client, events, 0 });
            watched.push_back({ pair.server, events, 0 });
        }
        const bool isIdle = m_mode == LinkMode::Pass
            && std::all_of(m_pairs.begin(), m_pairs.end(), [](const Pair& pair) { return pair.chunks.empty(); });
        poll(watched.data(), watched.size(), isIdle ? idlePollMs : pollMs);
        std::size_t place = 1;
        for (Pair& pair : m_pairs) {
            if (watched[place++].revents & POLLIN)
                read(pair, false);
            if (watched[place++].revents & POLLIN)
                read(pair, true);
            if (m_mode != LinkMode::Silent)
                deliver(pair);
            if (m_mode == LinkMode::Reset || pair.isOver)
                close(pair);
        }
        m_pairs.remove_if([](const Pair& pair) { return pair.client < 0; });
        if (watched[0].revents & POLLIN)
            accept();
    }
}

void LoopbackProxy::accept()
{
    Pair pair;
    pair.client = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    pair.server = connectTo(m_targetPort);
    if (pair.client < 0 || pair.server < 0)
        return close(pair);
    m_pairs.push_back(std::move(pair));
}

void LoopbackProxy::read(Pair& pair, bool isAnswer)
{
    std::array<char, 65536> buffer;
    const ssize_t count = recv(isAnswer ? pair.server : pair.client, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    pair.hasLostAnswers = pair.hasLostAnswers || (isAnswer && m_mode == LinkMode::CutAnswers);
    if (isAnswer && pair.hasLostAnswers && count > 0)
        return;
    const TimePoint dueAt = m_clock.now() + (m_mode == LinkMode::Delay ? delay : Duration::zero());
    pair.chunks.push_back(
        { dueAt, isAnswer, std::string(buffer.data(), count > 0 ? static_cast<std::size_t>(count) : 0) });
}

void LoopbackProxy::deliver(Pair& pair)
{
    while (!pair.chunks.empty() && !pair.isOver && m_clock.now() >= pair.chunks.front().dueAt) {
        const Chunk& chunk = pair.chunks.front();
        pair.isOver = chunk.bytes.empty() || !sendAll(chunk.isAnswer ? pair.client : pair.server, chunk.bytes);
        pair.chunks.pop_front();
    }
}

void LoopbackProxy::close(Pair& pair)
{
    const linger atOnce { 1, 0 };
    for (int* end : { &pair.client, &pair.server }) {
        if (*end < 0)
            continue;
        if (m_mode == LinkMode::Reset)
            setsockopt(*end, SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
        ::close(*end);
        *end = -1;
    }
}

} // namespace rattanrack::tools
