#pragma once

#include "rattanrack/peer/messages.h"

#include "peer.capnp.h"

#include <optional>

/// Encodes and decodes requests to the store that a peer relays.
namespace rattanrack::peer {

void encodeStoreCall(const StoreCall& call, wire::StoreCall::Builder target);
void encodeStoreReply(const StoreReply& reply, wire::StoreReply::Builder target);

/// Decode a message; nullopt when a value is out of range.
std::optional<StoreCall> decodeStoreCall(wire::StoreCall::Reader source);
std::optional<StoreReply> decodeStoreReply(wire::StoreReply::Reader source);

/// Upper bounds of the encoded bytes that depend on the content.
std::size_t variableSize(const StoreCall& call);
std::size_t variableSize(const StoreReply& reply);

} // namespace rattanrack::peer
