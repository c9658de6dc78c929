#pragma once

#include "rattanrack/peer/messages.h"

#include "peer.capnp.h"

#include <optional>

/// Translation of what nodes that run jobs say to each other: news, and requests of callers on their way.
namespace rattanrack::peer {

void encodeNodeAnnouncement(const jobs::NodeAnnouncement& message, wire::NodeNews::Builder news);
void encodeJobCall(const JobCall& message, wire::JobCall::Builder call);
void encodeJobReply(const JobReply& message, wire::JobReply::Builder reply);

jobs::NodeAnnouncement decodeNodeAnnouncement(wire::NodeNews::Reader source);

/// Empty: a value is out of range.
std::optional<JobCall> decodeJobCall(wire::JobCall::Reader source);
std::optional<JobReply> decodeJobReply(wire::JobReply::Reader source);

/// Upper bound of the bytes that vary with the content.
std::size_t variableSize(const jobs::NodeAnnouncement& message);

} // namespace rattanrack::peer
