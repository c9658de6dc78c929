#pragma once

#include "rattanrack/base/error.h"
#include "rattanrack/platform/http_options.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace rattanrack::platform {

/// Header with the client's number of an exchange; the server repeats it in its response.
inline constexpr const char* exchangeHeader = "Exchange-Id";

/// Whether a request was sent and a response received.
enum class Delivery {
    ResponseReceived, ///< A complete response to this exchange arrived.
    NotSent, ///< No connection could be made; nothing was sent.
    NoResponse, ///< Bytes may have been sent, and no complete response arrived.
};

struct HttpRequest {
    std::string_view method;
    std::string path;
    std::string body;
};

struct [[nodiscard]] HttpResponse {
    Delivery delivery { Delivery::NoResponse };
    int status { 0 };
    std::string body;
    std::string detail;

    bool hasStatus(int expectedStatus) const
    {
        return delivery == Delivery::ResponseReceived && status == expectedStatus;
    }
};

/// HTTP exchanges with one server over keep-alive connections, each used by one thread at a time. Each request is sent
/// at most once. Thread-safe.
class HttpChannel {
public:
    /// Errors: InvalidArgument (not "ip:port").
    static Result<std::unique_ptr<HttpChannel>> create(const std::string& address, const HttpOptions&);
    ~HttpChannel();
    HttpChannel(const HttpChannel&) = delete;
    HttpChannel& operator=(const HttpChannel&) = delete;

    HttpResponse exchange(const HttpRequest&);

    /// As above with another time limit for the response.
    HttpResponse exchange(const HttpRequest&, Duration responseTimeout);

    const std::string& address() const;
    const HttpOptions& options() const;

    /// Returns the error of a request that did not get status 200: Unavailable when it had no effect (not sent, or
    /// status 503), else OutcomeUnknown.
    Error failure(const char* step, const HttpResponse&) const;

private:
    struct State;
    explicit HttpChannel(std::unique_ptr<State>);
    std::unique_ptr<State> m_state;
};

} // namespace rattanrack::platform
