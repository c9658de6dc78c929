#include "table_wire.h"

#include "json_fields.h"

namespace rattanrack::platform {

namespace {

using nlohmann::json;

json toJson(const Write& write)
{
    json object { { "key", write.key }, { "value", nullptr } };
    if (write.value)
        object["value"] = *write.value;
    return object;
}

Write toWrite(const json& object)
{
    Write write { text(object, "key"), std::nullopt };
    if (!object.at("value").is_null())
        write.value = text(object, "value");
    return write;
}

} // namespace

std::optional<std::string> encodeTransaction(const Transaction& transaction)
{
    json conditions = json::array();
    for (const auto& condition : transaction.conditions)
        conditions.push_back({ { "key", condition.key }, { "version", condition.version } });
    json writes = json::array();
    for (const auto& write : transaction.writes)
        writes.push_back(toJson(write));
    return encodeJson({ { "conditions", std::move(conditions) }, { "writes", std::move(writes) } });
}

std::optional<Transaction> decodeTransaction(const std::string& source)
{
    return decodeJson(source, [](const json& document) {
        Transaction transaction;
        for (const auto& condition : array(document, "conditions"))
            transaction.conditions.push_back({ text(condition, "key"), unsignedNumber(condition, "version") });
        for (const auto& write : array(document, "writes"))
            transaction.writes.push_back(toWrite(write));
        return transaction;
    });
}

std::string encodeVersion(RowVersion version) { return json { { "version", version } }.dump(); }

std::optional<RowVersion> decodeVersion(const std::string& source)
{
    return decodeJson(source, [](const json& document) { return unsignedNumber(document, "version"); });
}

std::optional<std::string> encodeKeys(const std::vector<std::string>& keys) { return encodeJson({ { "keys", keys } }); }

std::optional<std::vector<std::string>> decodeKeys(const std::string& source)
{
    return decodeJson(source, [](const json& document) {
        std::vector<std::string> keys;
        for (const auto& key : array(document, "keys"))
            keys.push_back(key.get_ref<const std::string&>());
        return keys;
    });
}

std::optional<std::string> encodeScan(const ScanQuery& query)
{
    return encodeJson({ { "prefix", query.prefix }, { "newerThan", query.newerThan }, { "limit", query.limit } });
}

std::optional<ScanQuery> decodeScan(const std::string& source)
{
    return decodeJson(source, [](const json& document) {
        return ScanQuery { text(document, "prefix"), unsignedNumber(document, "newerThan"),
            unsignedNumber(document, "limit") };
    });
}

std::optional<std::string> encodeRows(const Rows& rows)
{
    json list = json::array();
    for (const auto& row : rows)
        list.push_back({ { "key", row.key }, { "value", row.value }, { "version", row.version } });
    return encodeJson({ { "rows", std::move(list) } });
}

std::optional<Rows> decodeRows(const std::string& source)
{
    return decodeJson(source, [](const json& document) {
        Rows rows;
        for (const auto& row : array(document, "rows"))
            rows.push_back({ text(row, "key"), text(row, "value"), unsignedNumber(row, "version") });
        return rows;
    });
}

} // namespace rattanrack::platform
