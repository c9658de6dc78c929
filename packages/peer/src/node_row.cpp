#include "rattanrack/peer/node_row.h"

#include <nlohmann/json.hpp>

namespace rattanrack::peer {

std::string nodeRowKey(const NodeId& id) { return nodeRowPrefix + id.value(); }

std::string encodeNodeRow(const NodeRow& row)
{
    nlohmann::json json { { "address", row.address }, { "dataCenter", row.dataCenter.value() },
        { "renewal", row.renewal } };
    if (row.isLeaving)
        json["leaving"] = true;
    if (row.isFenced)
        json["fenced"] = true;
    return json.dump();
}

Result<NodeRow> decodeNodeRow(const std::string& key, const std::string& value)
{
    const std::string prefix { nodeRowPrefix };
    const auto json = nlohmann::json::parse(value, nullptr, false);
    if (!key.starts_with(prefix) || !json.is_object())
        return fail(ErrorCode::MalformedMessage, "node_row.decode", key);
    try {
        NodeRow row;
        row.id = NodeId { key.substr(prefix.size()) };
        row.address = json.at("address").get<std::string>();
        row.dataCenter = DataCenterId { json.at("dataCenter").get<std::string>() };
        row.renewal = json.at("renewal").get<std::uint64_t>();
        row.isLeaving = json.value("leaving", false);
        row.isFenced = json.value("fenced", false);
        return row;
    } catch (const nlohmann::json::exception& exception) {
        return fail(ErrorCode::MalformedMessage, "node_row.decode", key, exception.what());
    }
}

} // namespace rattanrack::peer
