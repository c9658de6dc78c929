#pragma once

#include "command_line.h"

#include "rattanrack/config/diff.h"
#include "rattanrack/config/load.h"

#include <nlohmann/json.hpp>

namespace rattanrack::cli {

/// Reads and checks the base and the overlays that the invocation names. Errors: NotFound, InvalidArgument.
Result<config::Checked<config::Federation>> loadFiles(const Invocation& invocation);

/// One line for each change; "no changes" when there is none.
std::string changesText(const std::vector<config::Change>& changes);
nlohmann::json changesJson(const std::vector<config::Change>& changes);

} // namespace rattanrack::cli
