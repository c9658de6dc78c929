#include "counting_stream.h"

#include <kj/debug.h>

#include <utility>

namespace rattanrack::peer {

CountingStream::CountingStream(kj::Own<kj::AsyncIoStream> inner, ByteCounters& counters, StreamLimits limits)
    : m_inner(kj::mv(inner))
    , m_counters(counters)
    , m_limits(limits)
{
}

kj::Promise<std::size_t> CountingStream::tryRead(void* buffer, std::size_t minBytes, std::size_t maxBytes)
{
    return m_inner->tryRead(buffer, minBytes, maxBytes).then([this](std::size_t bytes) {
        m_received += bytes;
        m_counters.received.fetch_add(bytes, std::memory_order_relaxed);
        if (m_received > m_limits.maxReceived)
            kj::throwFatalException(KJ_EXCEPTION(FAILED, "connection received more bytes than its limit"));
        return bytes;
    });
}

kj::Promise<void> CountingStream::write(const void* buffer, std::size_t size)
{
    countSent(size);
    return m_inner->write(buffer, size);
}

kj::Promise<void> CountingStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    for (const auto& piece : pieces)
        countSent(piece.size());
    return m_inner->write(pieces);
}

kj::Promise<void> CountingStream::whenWriteDisconnected() { return m_inner->whenWriteDisconnected(); }

void CountingStream::shutdownWrite() { m_inner->shutdownWrite(); }

void CountingStream::abortRead() { m_inner->abortRead(); }

void CountingStream::countSent(std::uint64_t bytes)
{
    m_sent += bytes;
    m_counters.sent.fetch_add(bytes, std::memory_order_relaxed);
}

} // namespace rattanrack::peer
