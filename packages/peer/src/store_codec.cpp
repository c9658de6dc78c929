#include "store_codec.h"

#include "wire_text.h"

namespace rattanrack::peer {

namespace {

constexpr std::size_t rowSizeBound = 96; ///< Encoded size of a row without its strings.

template <typename Items, typename Target, typename Encode>
void encodeList(const Items& items, Target target, const Encode& encode)
{
    for (unsigned i = 0; i < target.size(); ++i)
        encode(items[i], target[i]);
}

jobs::RowKey keyOf(const auto& source) { return { text(source.getTable()), text(source.getKey()) }; }

void encodeKey(const jobs::RowKey& key, auto target)
{
    target.setTable(key.table);
    target.setKey(key.key);
}

void encodeRows(const std::vector<jobs::PartRow>& rows, capnp::List<wire::PartRow>::Builder target)
{
    encodeList(rows, target, [](const jobs::PartRow& row, wire::PartRow::Builder to) {
        encodeKey(row.row, to);
        to.setValue(dataOf(row.value));
        to.setVersion(row.version);
        to.setIsRemoved(row.isRemoved);
        to.setPart(row.part);
    });
}

std::vector<jobs::PartRow> decodeRows(capnp::List<wire::PartRow>::Reader source)
{
    std::vector<jobs::PartRow> rows;
    for (const auto row : source)
        rows.push_back(
            { keyOf(row), bytes(row.getValue()), row.getVersion(), row.getIsRemoved(), text(row.getPart()) });
    return rows;
}

struct RequestEncoder {
    wire::StoreCall::Builder target;

    void operator()(const jobs::PartTransaction& transaction)
    {
        auto to = target.initTransaction();
        to.setPart(transaction.part);
        encodeList(transaction.conditions, to.initConditions(static_cast<unsigned>(transaction.conditions.size())),
            [](const jobs::RowCondition& condition, wire::RowCondition::Builder each) {
                encodeKey(condition.row, each);
                each.setVersion(condition.version);
            });
        encodeList(transaction.writes, to.initWrites(static_cast<unsigned>(transaction.writes.size())),
            [](const jobs::RowWrite& write, wire::RowWrite::Builder each) {
                encodeKey(write.row, each);
                each.setIsRemoval(!write.value);
                if (write.value)
                    each.setValue(dataOf(*write.value));
            });
    }

    void operator()(const jobs::RowRange& range)
    {
        auto to = target.initRange();
        to.setTable(range.table);
        to.setPart(range.part);
        to.setFrom(range.from);
    }

    void operator()(const jobs::ChangesQuery& query)
    {
        auto to = target.initChanges();
        to.setTable(query.table);
        to.setVersion(query.version);
        to.setWaitMicroseconds(query.wait.count());
    }
};

struct ResultEncoder {
    wire::StoreReply::Builder target;

    void operator()(std::monostate) { target.setNone(); }

    void operator()(const jobs::TransactionOutcome& outcome)
    {
        auto to = target.initTransaction();
        to.setStatus(static_cast<wire::TransactionStatus>(outcome.status));
        to.setVersion(outcome.version);
        encodeRows(outcome.current, to.initCurrent(static_cast<unsigned>(outcome.current.size())));
        to.setDetail(outcome.detail);
    }

    void operator()(const jobs::ReadOutcome& outcome)
    {
        auto to = target.initRead();
        to.setStatus(static_cast<wire::ReadStatus>(outcome.status));
        encodeRows(outcome.page.rows, to.initRows(static_cast<unsigned>(outcome.page.rows.size())));
        to.setHasMore(outcome.page.hasMore);
        to.setVersion(outcome.page.version);
        to.setDetail(outcome.detail);
    }
};

jobs::PartTransaction decodeTransaction(wire::PartTransaction::Reader source)
{
    jobs::PartTransaction transaction { text(source.getPart()), {}, {} };
    for (const auto condition : source.getConditions())
        transaction.conditions.push_back({ keyOf(condition), condition.getVersion() });
    for (const auto write : source.getWrites()) {
        jobs::RowWrite row { keyOf(write), std::nullopt };
        if (!write.getIsRemoval())
            row.value = bytes(write.getValue());
        transaction.writes.push_back(std::move(row));
    }
    return transaction;
}

std::optional<StoreResult> decodeOutcome(wire::TransactionOutcome::Reader source)
{
    if (source.getStatus() > wire::TransactionStatus::UNKNOWN)
        return std::nullopt;
    return jobs::TransactionOutcome { static_cast<jobs::TransactionStatus>(source.getStatus()), source.getVersion(),
        decodeRows(source.getCurrent()), text(source.getDetail()) };
}

std::optional<StoreResult> decodeOutcome(wire::ReadOutcome::Reader source)
{
    if (source.getStatus() > wire::ReadStatus::UNAVAILABLE)
        return std::nullopt;
    return jobs::ReadOutcome { static_cast<jobs::ReadStatus>(source.getStatus()),
        { decodeRows(source.getRows()), source.getHasMore(), source.getVersion() }, text(source.getDetail()) };
}

std::optional<StoreResult> decodeResult(wire::StoreReply::Reader source)
{
    switch (source.which()) {
    case wire::StoreReply::NONE:
        return StoreResult {};
    case wire::StoreReply::TRANSACTION:
        return decodeOutcome(source.getTransaction());
    case wire::StoreReply::READ:
        return decodeOutcome(source.getRead());
    }
    return std::nullopt;
}

std::size_t sizeOf(const std::vector<jobs::PartRow>& rows)
{
    std::size_t total = 0;
    for (const jobs::PartRow& row : rows)
        total += rowSizeBound + row.row.table.size() + row.row.key.size() + row.value.size() + row.part.size();
    return total;
}

} // namespace

void encodeStoreCall(const StoreCall& call, wire::StoreCall::Builder target)
{
    target.setExchange(call.exchange);
    target.setReplyTo(call.replyTo);
    std::visit(RequestEncoder { target }, call.request);
}

void encodeStoreReply(const StoreReply& reply, wire::StoreReply::Builder target)
{
    target.setExchange(reply.exchange);
    std::visit(ResultEncoder { target }, reply.result);
}

std::optional<StoreCall> decodeStoreCall(wire::StoreCall::Reader source)
{
    StoreCall call { source.getExchange(), text(source.getReplyTo()), {} };
    switch (source.which()) {
    case wire::StoreCall::TRANSACTION:
        call.request = decodeTransaction(source.getTransaction());
        return call;
    case wire::StoreCall::RANGE: {
        const auto range = source.getRange();
        call.request = jobs::RowRange { text(range.getTable()), text(range.getPart()), text(range.getFrom()) };
        return call;
    }
    case wire::StoreCall::CHANGES: {
        const auto query = source.getChanges();
        call.request = jobs::ChangesQuery { text(query.getTable()), query.getVersion(),
            Duration { query.getWaitMicroseconds() } };
        return call;
    }
    }
    return std::nullopt;
}

std::optional<StoreReply> decodeStoreReply(wire::StoreReply::Reader source)
{
    auto result = decodeResult(source);
    if (!result)
        return std::nullopt;
    return StoreReply { source.getExchange(), *std::move(result) };
}

std::size_t variableSize(const StoreCall& call)
{
    std::size_t total = 0;
    if (const auto* transaction = std::get_if<jobs::PartTransaction>(&call.request)) {
        total = transaction->conditions.size() * rowSizeBound;
        for (const jobs::RowWrite& write : transaction->writes)
            total += rowSizeBound + write.row.table.size() + write.row.key.size()
                + (write.value ? write.value->size() : 0);
    }
    return total;
}

std::size_t variableSize(const StoreReply& reply)
{
    if (const auto* outcome = std::get_if<jobs::TransactionOutcome>(&reply.result))
        return sizeOf(outcome->current) + outcome->detail.size();
    if (const auto* outcome = std::get_if<jobs::ReadOutcome>(&reply.result))
        return sizeOf(outcome->page.rows) + outcome->detail.size();
    return 0;
}

} // namespace rattanrack::peer
