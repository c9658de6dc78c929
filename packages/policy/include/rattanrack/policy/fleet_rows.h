#pragma once

#include "rattanrack/base/error.h"
#include "rattanrack/policy/fleet_change.h"

#include <string>
#include <string_view>

/// JSON text of the fleet's records and their keys in the table. It stands beside the records, so that whoever embeds
/// this package stores them the same way. The version of a record is the row's and not in the text.
namespace rattanrack::policy {

inline constexpr std::string_view vmKeyPrefix = "vm/";
inline constexpr std::string_view poolKeyPrefix = "pool/";
inline constexpr std::string_view rollOutKeyPrefix = "rollout/";
inline constexpr std::string_view borrowingKey = "budget/borrowing";

std::string vmKey(const VmId&);
std::string poolKey(const PoolId&);
std::string rollOutKey(const RollOutId&);

std::string encode(const VmRecord&);
std::string encode(const PoolRecord&);
std::string encode(const RollOutRecord&);
std::string encode(const BorrowingRecord&);

/// Decoding. Errors: MalformedMessage, with the key as peer.
Result<VmRecord> decodeVm(std::string_view key, std::string_view text, RecordVersion);
Result<PoolRecord> decodePool(std::string_view key, std::string_view text, RecordVersion);
Result<RollOutRecord> decodeRollOut(std::string_view key, std::string_view text, RecordVersion);
Result<BorrowingRecord> decodeBorrowing(std::string_view key, std::string_view text, RecordVersion);

} // namespace rattanrack::policy
