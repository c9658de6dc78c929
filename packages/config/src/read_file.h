#pragma once

#include "rattanrack/base/error.h"

#include <cstddef>
#include <string>

namespace rattanrack::config {

/// The whole file. Errors: NotFound (cannot be read), InvalidArgument (more than `maxBytes`).
Result<std::string> readFile(const std::string& path, std::size_t maxBytes);

} // namespace rattanrack::config
