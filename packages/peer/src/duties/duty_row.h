#pragma once

#include "rattanrack/base/error.h"
#include "rattanrack/peer/duties.h"

namespace rattanrack::peer {

/// Key of a duty's row.
std::string dutyRowKey(const DutyName& name);

/// Name of the duty whose row has this key.
DutyName dutyNameOf(const std::string& key);

/// Encodes a row as JSON, without the version, which the table assigns.
std::string encodeDutyRow(const DutyRow& row);

/// Decodes a row. Errors: MalformedMessage.
Result<DutyRow> decodeDutyRow(const platform::Row& stored);

} // namespace rattanrack::peer
