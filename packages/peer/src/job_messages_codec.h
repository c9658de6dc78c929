#pragma once

#include "rattanrack/peer/messages.h"

#include "peer.capnp.h"

#include <optional>

/// Encodes and decodes the messages between nodes that run jobs: node announcements and forwarded requests of callers.
namespace rattanrack::peer {

void encodeNodeAnnouncement(const jobs::NodeAnnouncement& message, wire::NodeNews::Builder announcement);
void encodeJobCall(const JobCall& message, wire::JobCall::Builder call);
void encodeJobReply(const JobReply& message, wire::JobReply::Builder reply);

jobs::NodeAnnouncement decodeNodeAnnouncement(wire::NodeNews::Reader source);

/// Decode a message; nullopt when a value is out of range.
std::optional<JobCall> decodeJobCall(wire::JobCall::Reader source);
std::optional<JobReply> decodeJobReply(wire::JobReply::Reader source);

/// Upper bound of the encoded bytes that depend on the content.
std::size_t variableSize(const jobs::NodeAnnouncement& message);
std::size_t variableSize(const JobCall& message);
std::size_t variableSize(const JobReply& message);

} // namespace rattanrack::peer
