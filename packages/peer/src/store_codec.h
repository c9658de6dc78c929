#pragma once

#include "rattanrack/peer/messages.h"

#include "peer.capnp.h"

#include <optional>

/// Translation of calls to the store that go through a peer.
namespace rattanrack::peer {

void encodeStoreCall(const StoreCall& call, wire::StoreCall::Builder target);
void encodeStoreReply(const StoreReply& reply, wire::StoreReply::Builder target);

/// Empty: a value is out of range.
std::optional<StoreCall> decodeStoreCall(wire::StoreCall::Reader source);
std::optional<StoreReply> decodeStoreReply(wire::StoreReply::Reader source);

/// Upper bounds of the bytes that vary with the content.
std::size_t variableSize(const StoreCall& call);
std::size_t variableSize(const StoreReply& reply);

} // namespace rattanrack::peer
