#pragma once

#include "rattanrack/base/error.h"
#include "rattanrack/peer/messages.h"

#include "peer.capnp.h"

#include <cstddef>

/// Translation between the package's messages and their Cap'n Proto form.
namespace rattanrack::peer {

/// Fills `target` with `message`.
void encode(const Message& message, wire::Message::Builder target);

/// Reads a message. Errors: MalformedMessage, also when its limits of size or nesting are passed.
Result<Message> decode(wire::Message::Reader source);

/// Upper bound of the bytes that `message` takes in a batch.
std::size_t encodedSizeBound(const Message& message);

} // namespace rattanrack::peer
