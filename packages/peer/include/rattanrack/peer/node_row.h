#pragma once

#include "rattanrack/base/error.h"
#include "rattanrack/base/ids.h"

#include <cstdint>
#include <string>

namespace rattanrack::peer {

/// Prefix of the keys of all node rows.
constexpr const char* nodeRowPrefix = "node/";

/// A node's row in the table. The node alone writes it, until another node fences it: from then on each condition on
/// the version that the node knew fails.
struct NodeRow {
    NodeId id;
    std::string address; ///< "ip:port" for peer messages.
    DataCenterId dataCenter;
    std::uint64_t renewal { 0 }; ///< Grows with each renewal; tells a lost commit from an earlier one.
    bool isLeaving { false };
    bool isFenced { false };

    friend bool operator==(const NodeRow&, const NodeRow&) = default;
};

/// Key of a node's row.
std::string nodeRowKey(const NodeId&);

/// Text of a row.
std::string encodeNodeRow(const NodeRow&);

/// Reads a row's text; `key` names the node. Errors: MalformedMessage.
Result<NodeRow> decodeNodeRow(const std::string& key, const std::string& value);

} // namespace rattanrack::peer
