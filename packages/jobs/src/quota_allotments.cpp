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

std::string encode(const QuotaAllotments& allotments)
{
    Json cells = Json::array();
    for (const QuotaAllotment& each : allotments) {
        cells.push_back(Json::array({ each.cell.value(), each.term, toJson(each.granted), toJson(each.unit) }));
    }
    return toCbor({ { "cells", std::move(cells) } });
}

Result<QuotaAllotments> decodeQuotaAllotments(const std::string& bytes)
{
    return fromCbor("quota.decode", bytes, [](const Json& json) {
        QuotaAllotments allotments;
        for (const Json& cell : json.at("cells")) {
            allotments.push_back({ PoolId { cell.at(0).get<std::string>() }, cell.at(1).get<Fence>(),
                sizeFrom(cell.at(2)), sizeFrom(cell.at(3)) });
        }
        return allotments;
    });
}

RowKey quotaRow(const CustomerId& customer) { return { quotaTable, rowKeyOf(customer.value()) }; }

} // namespace rattanrack::jobs
