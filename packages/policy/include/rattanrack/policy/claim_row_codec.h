#pragma once

#include "rattanrack/policy/claims.h"

#include <optional>
#include <string>
#include <vector>

/// Text of a claim row's value in the table.
namespace rattanrack::policy {

/// `writer` and `batch` make the text of each batch unique, so that a reader knows its own row again. Empty when a
/// string is not UTF-8.
std::optional<std::string> encodeClaimRow(const NodeId& writer, std::uint64_t batch, const std::vector<Claim>&);

/// Empty when malformed.
std::optional<std::vector<Claim>> decodeClaimRow(const std::string&);

} // namespace rattanrack::policy
