#include "cbor.h"
#include "rattanrack/jobs/cell_quotas.h"
#include "row_key.h"

namespace rattanrack::jobs {

namespace {

using Json = nlohmann::json;

} // namespace

std::string encode(const QuotaAllotments& allotments)
{
    Json cells = Json::array();
    for (const QuotaAllotment& each : allotments) {
        const ResourceSize& granted = each.granted;
        cells.push_back(Json::array({ each.cell.value(), each.term, granted.processors.count(), granted.memory.count(),
            granted.accelerators.count(), each.isShort }));
    }
    return toCbor({ { "cells", std::move(cells) } });
}

Result<QuotaAllotments> decodeQuotaAllotments(const std::string& bytes)
{
    return fromCbor("quota.decode", bytes, [](const Json& json) {
        QuotaAllotments allotments;
        for (const Json& cell : json.at("cells")) {
            allotments.push_back({ PoolId { cell.at(0).get<std::string>() }, cell.at(1).get<Fence>(),
                { Millicores { cell.at(2).get<std::int64_t>() }, Mebibytes { cell.at(3).get<std::int64_t>() },
                    Accelerators { cell.at(4).get<std::int64_t>() } },
                cell.at(5).get<bool>() });
        }
        return allotments;
    });
}

RowKey quotaRow(const CustomerId& customer) { return { quotaTable, rowKeyOf(customer.value()) }; }

} // namespace rattanrack::jobs
