#pragma once

#include "rattanrack/base/error.h"

#include <string>

namespace rattanrack::cli {

/// Replaces the file's content. Errors: InvalidArgument (cannot be written).
Result<void> writeFile(const std::string& path, const std::string& text);

} // namespace rattanrack::cli
