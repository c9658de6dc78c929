#pragma once

#include "rattanrack/platform/http_options.h"
#include "rattanrack/platform/table.h"

#include <memory>

namespace rattanrack::platform {

class HttpChannel;

/// HTTP client of the platform's table service. Keys and values must be UTF-8; a commit with others is Refused.
///
///     BOOST_LEAF_AUTO(table, HttpTable::create("127.0.0.1:7000"));
///     auto outcome = table->commit({ { { "vm/b7", 4 } }, { { "vm/b7", row } } });
class HttpTable final : public Table {
public:
    /// `address` is "ip:port". Does not connect yet. Errors: InvalidArgument.
    static Result<std::unique_ptr<HttpTable>> create(const std::string& address, const HttpOptions& = {});
    ~HttpTable() override;

    CommitOutcome commit(const Transaction&) override;
    Result<Rows> read(const std::vector<std::string>& keys) override;
    Result<Rows> scan(const std::string& prefix, RowVersion newerThan, std::size_t limit) override;

private:
    explicit HttpTable(std::unique_ptr<HttpChannel>);
    Result<Rows> readRows(const char* step, const char* path, const std::string& body);

    std::unique_ptr<HttpChannel> m_channel;
};

} // namespace rattanrack::platform
