#include "http_channel.h"

#include <httplib.h>

#include <array>
#include <atomic>
#include <charconv>
#include <mutex>
#include <optional>
#include <vector>

namespace rattanrack::platform {

namespace {

using ClientPointer = std::unique_ptr<httplib::Client>;

struct Endpoint {
    std::string ip;
    int port { 0 };
};

std::optional<Endpoint> parseEndpoint(const std::string& address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    Endpoint endpoint { address.substr(0, colon), 0 };
    const char* end = address.data() + address.size();
    const auto [parseEnd, error] = std::from_chars(address.data() + colon + 1, end, endpoint.port);
    std::array<unsigned char, sizeof(in_addr)> parsedIp {};
    const bool isValid = error == std::errc {} && parseEnd == end && endpoint.port > 0 && endpoint.port < 65536
        && inet_pton(AF_INET, endpoint.ip.c_str(), parsedIp.data()) == 1;
    return isValid ? std::optional { endpoint } : std::nullopt;
}

std::chrono::microseconds clampTimeout(Duration timeout) { return std::max(timeout, Duration { 1 }); }

/// Whether an idle connection can be used again. A connection that is readable while it is idle was closed by the
/// server, or has unread bytes of an earlier exchange.
bool isReusable(const httplib::Client& client)
{
    char byte = 0;
    const auto received = recv(client.socket(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/// Enables TCP keep-alive, so that the loss of the server's host is detected within seconds, even while the response to
/// a long-running request is awaited.
void setSocketOptions(socket_t socket)
{
    constexpr int on = 1;
    constexpr int idleSeconds = 2;
    constexpr int intervalSeconds = 1;
    constexpr int probes = 3;
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &idleSeconds, sizeof(idleSeconds));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &intervalSeconds, sizeof(intervalSeconds));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

bool failedBeforeSending(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout
        || error == httplib::Error::BindIPAddress;
}

httplib::Request makeRequest(const HttpRequest& request, const std::string& exchangeId)
{
    httplib::Request httpRequest;
    httpRequest.method = request.method;
    httpRequest.path = request.path;
    httpRequest.body = request.body;
    httpRequest.set_header(exchangeHeader, exchangeId);
    if (!request.body.empty())
        httpRequest.set_header("Content-Type", "application/json");
    return httpRequest;
}

} // namespace

struct HttpChannel::State {
    std::string address;
    Endpoint endpoint;
    HttpOptions options;
    SystemClock clock;
    std::atomic<std::uint64_t> lastExchangeId { 0 };
    std::mutex mutex;
    std::vector<ClientPointer> idleClients;

    ClientPointer connect() const
    {
        auto client = std::make_unique<httplib::Client>(endpoint.ip, endpoint.port);
        client->set_tcp_nodelay(true);
        client->set_keep_alive(true);
        client->set_follow_location(false);
        client->set_socket_options(setSocketOptions);
        client->set_connection_timeout(clampTimeout(options.connectTimeout));
        return client;
    }

    ClientPointer acquire()
    {
        const std::lock_guard guard { mutex };
        while (!idleClients.empty()) {
            auto client = std::move(idleClients.back());
            idleClients.pop_back();
            if (isReusable(*client))
                return client;
        }
        return connect();
    }

    void release(ClientPointer client)
    {
        const std::lock_guard guard { mutex };
        if (client->is_socket_open() && idleClients.size() < options.maxIdleConnections)
            idleClients.push_back(std::move(client));
    }
};

HttpChannel::HttpChannel(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

HttpChannel::~HttpChannel() = default;

Result<std::unique_ptr<HttpChannel>> HttpChannel::create(const std::string& address, const HttpOptions& options)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        return fail(ErrorCode::InvalidArgument, "http.create", address, "not ip:port");
    auto state = std::make_unique<State>();
    state->address = address;
    state->endpoint = *endpoint;
    state->options = options;
    return std::unique_ptr<HttpChannel> { new HttpChannel { std::move(state) } };
}

HttpResponse HttpChannel::exchange(const HttpRequest& request)
{
    return exchange(request, m_state->options.responseTimeout);
}

HttpResponse HttpChannel::exchange(const HttpRequest& request, Duration responseTimeout)
{
    const std::string exchangeId = std::to_string(++m_state->lastExchangeId);
    const auto deadline = Deadline::after(m_state->clock.now(), responseTimeout);
    auto client = m_state->acquire();
    client->set_read_timeout(clampTimeout(responseTimeout));
    client->set_write_timeout(clampTimeout(responseTimeout));

    HttpResponse response;
    auto httpRequest = makeRequest(request, exchangeId);
    httpRequest.response_handler = [&](const httplib::Response& httpResponse) {
        response.status = httpResponse.status;
        if (httpResponse.get_header_value(exchangeHeader) == exchangeId)
            return true;
        response.detail = "response to another exchange";
        return false;
    };
    httpRequest.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
        if (deadline.hasPassed(m_state->clock.now()) || size > m_state->options.maxResponseBytes - response.body.size())
            return false;
        response.body.append(data, size);
        return true;
    };

    const auto result = client->send(httpRequest);
    if (result) {
        response.delivery = Delivery::ResponseReceived;
        m_state->release(std::move(client));
        return response;
    }
    response.delivery = failedBeforeSending(result.error()) ? Delivery::NotSent : Delivery::NoResponse;
    response.body.clear();
    if (response.detail.empty())
        response.detail = httplib::to_string(result.error());
    return response;
}

const std::string& HttpChannel::address() const { return m_state->address; }

const HttpOptions& HttpChannel::options() const { return m_state->options; }

Error HttpChannel::failure(const char* step, const HttpResponse& response) const
{
    constexpr int serviceUnavailable = 503;
    const bool hadNoEffect = response.delivery == Delivery::NotSent || response.hasStatus(serviceUnavailable);
    std::string detail = response.delivery == Delivery::ResponseReceived ? "status " + std::to_string(response.status)
                                                                         : response.detail;
    return { hadNoEffect ? ErrorCode::Unavailable : ErrorCode::OutcomeUnknown, step, address(), std::move(detail) };
}

} // namespace rattanrack::platform
