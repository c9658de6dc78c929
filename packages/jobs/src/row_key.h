#pragma once

#include <string>

namespace rattanrack::jobs {

/// Returns `text`, or its hash if it is too long for the key of a row.
std::string rowKeyOf(const std::string& text);

} // namespace rattanrack::jobs
