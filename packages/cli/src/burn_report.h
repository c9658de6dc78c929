#pragma once

#include "burn_messages.h"
#include "measure_file.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace rattanrack::cli {

/// What the burn report shows.
struct BurnReport {
    BurnMessage message;
    policy::FederationBurn burn;
    std::vector<Measure> measures; ///< Empty without a file of measures.
};

std::string reportText(const BurnReport& report);
nlohmann::json reportJson(const BurnReport& report);

/// A page with tables and plots that needs no other file.
std::string reportPage(const BurnReport& report);

/// "none", "slow" or "fast".
std::string_view alertName(policy::BurnAlert alert);

/// Head and rows of the tables that the text and the page share.
std::vector<std::vector<std::string>> burnRows(const BurnReport& report);
std::vector<std::vector<std::string>> measureRows(const BurnReport& report);

} // namespace rattanrack::cli
