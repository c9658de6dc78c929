#pragma once

#include <kj/async-io.h>

#include <atomic>
#include <cstdint>

namespace rattanrack::peer {

/// Bytes sent and received by all connections of a network. Written by the network's thread, read by others.
struct ByteCounters {
    std::atomic<std::uint64_t> sent { 0 };
    std::atomic<std::uint64_t> received { 0 };
};

/// Limits of one connection.
struct StreamLimits {
    std::uint64_t maxReceived { 0 }; ///< Reads fail once more bytes than this have been received.
};

/// A stream that counts the bytes sent and received, and fails once it has received more than its limit.
class CountingStream final : public kj::AsyncIoStream {
public:
    CountingStream(kj::Own<kj::AsyncIoStream> inner, ByteCounters& counters, StreamLimits limits);

    kj::Promise<std::size_t> tryRead(void* buffer, std::size_t minBytes, std::size_t maxBytes) override;
    kj::Promise<void> write(const void* buffer, std::size_t size) override;
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override;
    void shutdownWrite() override;
    void abortRead() override;

    std::uint64_t bytesSent() const { return m_sent; }

private:
    void countSent(std::uint64_t bytes);

    kj::Own<kj::AsyncIoStream> m_inner;
    ByteCounters& m_counters;
    StreamLimits m_limits;
    std::uint64_t m_sent { 0 };
    std::uint64_t m_received { 0 };
};

} // namespace rattanrack::peer
