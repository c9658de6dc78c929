#pragma once

#include "rattanrack/base/error.h"
#include "rattanrack/base/ids.h"

#include <cstdint>
#include <string>

namespace rattanrack::peer {

/// Prefix of the keys of all node rows.
constexpr const char* nodeRowPrefix = "node/";

/// A node's row in the table. Only the node itself writes the row, until another node fences it. From then on every
/// transaction that depends on the version known to the node fails.
struct NodeRow {
    NodeId id;
    std::string address; ///< "ip:port" for peer messages.
    DataCenterId dataCenter;
    /// Incremented with each renewal; shows whether a commit without a response took effect.
    std::uint64_t renewal { 0 };
    bool isLeaving { false };
    bool isFenced { false };

    friend bool operator==(const NodeRow&, const NodeRow&) = default;
};

/// Key of a node's row.
std::string nodeRowKey(const NodeId&);

/// Encodes a row as JSON.
std::string encodeNodeRow(const NodeRow&);

/// Decodes a row; `key` contains the node's id. Errors: MalformedMessage.
Result<NodeRow> decodeNodeRow(const std::string& key, const std::string& value);

} // namespace rattanrack::peer
