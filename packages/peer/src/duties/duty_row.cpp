#include "duty_row.h"

#include <nlohmann/json.hpp>

namespace rattanrack::peer {

std::string dutyRowKey(const DutyName& name) { return dutyRowPrefix + name.value(); }

DutyName dutyNameOf(const std::string& key) { return DutyName { key.substr(std::string(dutyRowPrefix).size()) }; }

std::string encodeDutyRow(const DutyRow& row)
{
    return nlohmann::json { { "holder", row.holder.value() }, { "attempt", row.attempt } }.dump();
}

Result<DutyRow> decodeDutyRow(const platform::Row& stored)
{
    const auto json = nlohmann::json::parse(stored.value, nullptr, false);
    try {
        return DutyRow { NodeId { json.at("holder").get<std::string>() }, json.at("attempt").get<std::string>(),
            stored.version };
    } catch (const nlohmann::json::exception& exception) {
        return fail(ErrorCode::MalformedMessage, "duty_row.decode", stored.key, exception.what());
    }
}

} // namespace rattanrack::peer
