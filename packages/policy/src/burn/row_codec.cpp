#include "rattanrack/policy/burn.h"

#include <nlohmann/json.hpp>

namespace rattanrack::policy {

namespace {

using nlohmann::json;

BurnRow decodeRow(const json& document)
{
    BurnRow row;
    row.key.node = NodeId { document.at("node").get<std::string>() };
    row.key.tier = document.at("tier") == "minute" ? BurnTier::Minute : BurnTier::Hour;
    row.key.start = WallTime { document.at("start").get<std::int64_t>() };
    for (const json& item : document.at("series")) {
        const auto urgency = item.at(2).get<std::size_t>();
        const BurnCounts counts { item.at(3).get<std::uint64_t>(), item.at(4).get<std::uint64_t>() };
        if (urgency >= urgencyCount || counts.good > counts.counted)
            throw std::out_of_range { "urgency or counts" };
        const BurnSeries series { PoolId { item.at(0).get<std::string>() }, WorkKind { item.at(1).get<std::string>() },
            static_cast<Urgency>(urgency) };
        row.counts[series] = counts;
    }
    return row;
}

} // namespace

std::string encode(const BurnRow& row)
{
    json series = json::array();
    for (const auto& [each, counts] : row.counts)
        series.push_back(json::array({ each.pool.value(), each.kind.value(), static_cast<std::size_t>(each.urgency),
            counts.counted, counts.good }));
    const char* const tier = row.key.tier == BurnTier::Minute ? "minute" : "hour";
    return json {
        { "node", row.key.node.value() }, { "tier", tier }, { "start", row.key.start.count() },
        { "series", std::move(series) }
    }.dump();
}

Result<BurnRow> decodeBurnRow(std::string_view text)
{
    try {
        return decodeRow(json::parse(text));
    } catch (const std::exception& error) {
        return fail(ErrorCode::MalformedMessage, "burn.decode_row", {}, error.what());
    }
}

} // namespace rattanrack::policy
