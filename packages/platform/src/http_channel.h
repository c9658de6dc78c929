#pragma once

#include "rattanrack/base/error.h"
#include "rattanrack/platform/http_options.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace rattanrack::platform {

/// Header that carries the caller's number of an exchange; the server repeats it in its answer.
inline constexpr const char* exchangeHeader = "Exchange-Id";

/// How far an exchange got.
enum class Delivery {
    ResponseReceived, ///< A whole answer to this very exchange arrived.
    NotSent, ///< No connection could be made; not a byte left.
    NoResponse, ///< Bytes may have left, and no whole answer arrived.
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

    bool hasStatus(int wanted) const { return delivery == Delivery::ResponseReceived && status == wanted; }
};

/// Exchanges with one server over kept-alive connections, one thread a connection at a time. Each call is sent at most
/// once. Safe from several threads.
class HttpChannel {
public:
    /// Errors: InvalidArgument (not "ip:port").
    static Result<std::unique_ptr<HttpChannel>> create(const std::string& address, const HttpOptions&);
    ~HttpChannel();
    HttpChannel(const HttpChannel&) = delete;
    HttpChannel& operator=(const HttpChannel&) = delete;

    HttpResponse exchange(const HttpRequest&);

    /// As above with another time for the answer.
    HttpResponse exchange(const HttpRequest&, Duration answerTimeout);

    const std::string& address() const;
    const HttpOptions& options() const;

    /// The error for a call that did not get `200`: Unavailable when nothing took effect (not sent, or status 503),
    /// else OutcomeUnknown.
    Error failure(const char* step, const HttpResponse&) const;

private:
    struct State;
    explicit HttpChannel(std::unique_ptr<State>);
    std::unique_ptr<State> m_state;
};

} // namespace rattanrack::platform
