#pragma once

#include "rattanrack/base/time.h"

#include <capnp/message.h>

#include <cstddef>
#include <cstdint>

/// Limits of the peer network: sizes of messages, queues and connections, and timeouts.
namespace rattanrack::peer {

constexpr std::size_t maxMessageBytes = 1U << 20U; ///< Size of one batch on the wire.
constexpr std::size_t maxBatchBytes = maxMessageBytes / 2; ///< A batch of several messages does not exceed this size.
constexpr std::size_t maxBatchMessages = 256;
constexpr std::size_t maxQueuedMessages = 1024; ///< For one peer.
constexpr std::size_t maxQueuedBytes = 2U << 20U; ///< For one peer.
/// Connections in each direction while the number of nodes is not known.
constexpr std::size_t minConnections = 256;
/// In each direction: a peer has two while it opens the next one, and as many again may be left by peers that are gone.
constexpr std::size_t connectionsPerNode = 3;
/// The share of the process's descriptors that connections of peers may use, both directions together.
constexpr double descriptorShare = 0.5;
constexpr std::uint64_t connectionRotationBytes = 1U << 20U; ///< A sender opens a new connection after this many bytes.
constexpr std::uint64_t maxConnectionBytes = 4U << 20U; ///< A receiver closes a connection after this many bytes.
constexpr int nestingLimit = 16;

constexpr Duration maxQueueTime = std::chrono::seconds { 3 }; ///< A message that has been queued for longer is dropped.
constexpr Duration connectTimeout = std::chrono::seconds { 2 };
constexpr Duration deliveryTimeout = std::chrono::seconds { 3 };
constexpr Duration minBackoff = std::chrono::milliseconds { 50 };
constexpr Duration maxBackoff = std::chrono::seconds { 2 };

inline capnp::ReaderOptions readerOptions()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = maxMessageBytes / sizeof(capnp::word);
    options.nestingLimit = nestingLimit;
    return options;
}

} // namespace rattanrack::peer
