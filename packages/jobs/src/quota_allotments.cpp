#include "cbor.h"
#include "rattanrack/jobs/cell_quotas.h"
#include "row_key.h"

namespace rattanrack::jobs {

namespace {

using Json = nlohmann::json;

Json toJson(const ResourceSize& size)
{
    return Json::array({ size.processors.count(), size.memory.count(), size.accelerators.count() });
}

ResourceSize sizeFrom(const Json& json)
{
    return { Millicores { json.at(0).get<std::int64_t>() }, Mebibytes { json.at(1).get<std::int64_t>() },
        Accelerators { json.at(2).get<std::int64_t>() } };
}

} // namespace

std::string encode(const QuotaRow& row)
{
    Json cells = Json::array();
    for (const QuotaAllotment& each : row.allotments)
        cells.push_back(Json::array({ each.cell.value(), each.term, toJson(each.granted), toJson(each.unit) }));
    return toCbor({ { "version", row.version }, { "quota", toJson(row.quota) }, { "cells", std::move(cells) } });
}

Result<QuotaRow> decodeQuotaRow(const std::string& bytes)
{
    return fromCbor("quota.decode", bytes, [](const Json& json) {
        QuotaRow row { json.at("version").get<std::uint64_t>(), sizeFrom(json.at("quota")), {} };
        for (const Json& cell : json.at("cells")) {
            row.allotments.push_back({ PoolId { cell.at(0).get<std::string>() }, cell.at(1).get<Fence>(),
                sizeFrom(cell.at(2)), sizeFrom(cell.at(3)) });
        }
        return row;
    });
}

RowKey quotaRowKey(const CustomerId& customer) { return { quotaTable, rowKeyOf(customer.value()) }; }

} // namespace rattanrack::jobs
