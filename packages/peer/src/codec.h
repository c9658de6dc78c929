#pragma once

#include "rattanrack/base/error.h"
#include "rattanrack/peer/messages.h"

#include "peer.capnp.h"

#include <cstddef>

/// Encodes and decodes the package's messages in Cap'n Proto.
namespace rattanrack::peer {

/// Encodes `message` into `target`.
void encode(const Message& message, wire::Message::Builder target);

/// Decodes a message. Errors: MalformedMessage, also when the limit of size or nesting is exceeded.
Result<Message> decode(wire::Message::Reader source);

/// Upper bound of the bytes that `message` takes in a batch.
std::size_t encodedSizeBound(const Message& message);

} // namespace rattanrack::peer
