#pragma once

#include "rattanrack/policy/burn.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace rattanrack::cli {

/// The answer of GET /v1/admin/burn.
struct BurnMessage {
    policy::WallTime now {};
    std::vector<policy::BurnObjective> objectives;
    policy::BurnSummary summary;
};

/// Throws nlohmann::json::exception when a field is missing or has another type, std::out_of_range on other values.
void read(const nlohmann::json& json, BurnMessage& message);

} // namespace rattanrack::cli
