#include "rattanrack/node/table_runner.h"

namespace rattanrack::node {

namespace {

template <typename Read> peer::RowsResponse rowsAnswer(peer::ExchangeId exchange, const Read& read)
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

peer::TableResponse unavailableAnswer(const peer::TableRequest& request)
{
    if (const auto* commit = std::get_if<peer::CommitRows>(&request))
        return peer::CommitResponse { commit->exchange, { platform::CommitStatus::Unavailable, 0, "no thread" } };
    if (const auto* scan = std::get_if<peer::ScanRows>(&request))
        return peer::RowsResponse { scan->exchange, std::nullopt };
    return peer::RowsResponse { std::get<peer::ReadRows>(request).exchange, std::nullopt };
}

} // namespace

void TableRunner::run(peer::TableRequests requests, const OnAnswer& onAnswer)
{
    for (peer::TableRequest& request : requests) {
        auto shared = std::make_shared<peer::TableRequest>(std::move(request));
        const bool isAccepted = m_threads.submit([this, shared, onAnswer] {
            auto reply = std::visit([this](const auto& each) { return answer(each); }, *shared);
            m_control.post([onAnswer, reply = std::move(reply)] { onAnswer(reply); });
        });
        if (!isAccepted)
            m_control.post([onAnswer, shared] { onAnswer(unavailableAnswer(*shared)); });
    }
}

peer::TableResponse TableRunner::answer(const peer::ReadRows& read)
{
    return rowsAnswer(read.exchange, [&] { return m_table.read(read.keys); });
}

peer::TableResponse TableRunner::answer(const peer::ScanRows& scan)
{
    return rowsAnswer(scan.exchange, [&] { return m_table.scan(scan.prefix, scan.newerThan, scan.limit); });
}

peer::TableResponse TableRunner::answer(const peer::CommitRows& commit)
{
    return peer::CommitResponse { commit.exchange, m_table.commit(commit.transaction) };
}

} // namespace rattanrack::node
