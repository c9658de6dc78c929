#pragma once

#include "rattanrack/platform/http_options.h"
#include "rattanrack/platform/object_store.h"

#include <memory>

namespace rattanrack::platform {

class HttpChannel;

/// HTTP client of the platform's object store. Values are raw bytes.
///
///     BOOST_LEAF_AUTO(store, HttpObjectStore::create("127.0.0.1:7000"));
///     BOOST_LEAF_CHECK(store->put("answer/a1", bytes));
class HttpObjectStore final : public ObjectStore {
public:
    /// `address` is "ip:port". Does not connect yet. Errors: InvalidArgument.
    static Result<std::unique_ptr<HttpObjectStore>> create(const std::string& address, const HttpOptions& = {});
    ~HttpObjectStore() override;

    Result<void> put(const std::string& name, const std::string& value) override;
    Result<std::string> read(const std::string& name) override;

private:
    explicit HttpObjectStore(std::unique_ptr<HttpChannel>);

    std::unique_ptr<HttpChannel> m_channel;
};

} // namespace rattanrack::platform
