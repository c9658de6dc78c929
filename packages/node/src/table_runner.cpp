#include "rattanrack/node/table_runner.h"

namespace rattanrack::node {

namespace {

template <typename Read> peer::RowsResponse rowsResponse(peer::ExchangeId exchange, const Read& read)
{
    return handle(
        [&]() -> Result<peer::RowsResponse> {
            BOOST_LEAF_AUTO(rows, read());
            return peer::RowsResponse { exchange, std::move(rows) };
        },
        [&](const Error&) {
            return peer::RowsResponse { exchange, std::nullopt };
        });
}

peer::TableResponse unavailableResponse(const peer::TableRequest& request)
{
    if (const auto* commit = std::get_if<peer::CommitRows>(&request))
        return peer::CommitResponse { commit->exchange, { platform::CommitStatus::Unavailable, 0, "no thread" } };
    if (const auto* scan = std::get_if<peer::ScanRows>(&request))
        return peer::RowsResponse { scan->exchange, std::nullopt };
    return peer::RowsResponse { std::get<peer::ReadRows>(request).exchange, std::nullopt };
}

} // namespace

void TableRunner::run(peer::TableRequests requests, const OnResponse& onResponse)
{
    for (peer::TableRequest& request : requests) {
        auto shared = std::make_shared<peer::TableRequest>(std::move(request));
        const bool isAccepted = m_threads.submit([this, shared, onResponse] {
            auto reply = std::visit([this](const auto& each) { return execute(each); }, *shared);
            m_control.post([onResponse, reply = std::move(reply)] { onResponse(reply); });
        });
        if (!isAccepted)
            m_control.post([onResponse, shared] { onResponse(unavailableResponse(*shared)); });
    }
}

peer::TableResponse TableRunner::execute(const peer::ReadRows& read)
{
    return rowsResponse(read.exchange, [&] { return m_table.read(read.keys); });
}

peer::TableResponse TableRunner::execute(const peer::ScanRows& scan)
{
    return rowsResponse(scan.exchange, [&] { return m_table.scan(scan.prefix, scan.newerThan, scan.limit); });
}

peer::TableResponse TableRunner::execute(const peer::CommitRows& commit)
{
    return peer::CommitResponse { commit.exchange, m_table.commit(commit.transaction) };
}

} // namespace rattanrack::node
