#pragma once

#include "rattanrack/platform/http_options.h"
#include "rattanrack/platform/vm_list.h"

#include <memory>

namespace rattanrack::platform {

class HttpChannel;

/// HTTP client of the platform's list of VMs.
///
///     BOOST_LEAF_AUTO(list, HttpVmList::create("127.0.0.1:7000"));
///     BOOST_LEAF_AUTO(vms, list->list());
class HttpVmList final : public VmList {
public:
    /// `address` is "ip:port". Does not connect yet. Errors: InvalidArgument.
    static Result<std::unique_ptr<HttpVmList>> create(const std::string& address, const HttpOptions& = {});
    ~HttpVmList() override;

    Result<std::vector<VmDescription>> list() override;

private:
    explicit HttpVmList(std::unique_ptr<HttpChannel>);

    std::unique_ptr<HttpChannel> m_channel;
};

} // namespace rattanrack::platform
