#pragma once

#include "rattanrack/platform/table.h"

#include <optional>
#include <string>

/// JSON encoding of the messages between a table client and its server. Decoders return nullopt for malformed text,
/// encoders return nullopt for strings that are not UTF-8.
namespace rattanrack::platform {

struct ScanQuery {
    std::string prefix;
    RowVersion newerThan { 0 };
    std::uint64_t limit { 0 };
};

std::optional<std::string> encodeTransaction(const Transaction&);
std::optional<Transaction> decodeTransaction(const std::string&);

std::string encodeVersion(RowVersion);
std::optional<RowVersion> decodeVersion(const std::string&);

std::optional<std::string> encodeKeys(const std::vector<std::string>&);
std::optional<std::vector<std::string>> decodeKeys(const std::string&);

std::optional<std::string> encodeScan(const ScanQuery&);
std::optional<ScanQuery> decodeScan(const std::string&);

std::optional<std::string> encodeRows(const Rows&);
std::optional<Rows> decodeRows(const std::string&);

} // namespace rattanrack::platform
