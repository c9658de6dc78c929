#include "http_caller.h"

#include <httplib.h>

#include <utility>

namespace rattanrack::cli {

namespace {

constexpr int statusUnavailable = 503;

bool isNeverSent(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout
        || error == httplib::Error::BindIPAddress;
}

/// A node that says "unavailable" promises that it changed nothing.
bool isUnavailable(const HttpAnswer& answer)
{
    return answer.status == statusUnavailable && answer.body.is_object()
        && answer.body.value("outcome", nlohmann::json {}) == "unavailable";
}

} // namespace

HttpCaller::HttpCaller(std::vector<config::Address> nodes, Duration timeout)
    : m_nodes(std::move(nodes))
    , m_timeout(timeout)
{
}

HttpCaller::Exchange HttpCaller::exchange(
    const config::Address& node, const std::string& path, const nlohmann::json* body) const
{
    httplib::Client client { node.host, node.port };
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(m_timeout);
    client.set_read_timeout(m_timeout);
    client.set_write_timeout(m_timeout);
    const auto result = body ? client.Post(path, body->dump(), "application/json") : client.Get(path);
    Exchange exchange;
    exchange.answer.peer = node.text();
    if (!result) {
        exchange.delivery = isNeverSent(result.error()) ? Delivery::NotSent : Delivery::Lost;
        exchange.problem = httplib::to_string(result.error());
        return exchange;
    }
    exchange.delivery = Delivery::Answered;
    exchange.answer.status = result->status;
    auto parsed = nlohmann::json::parse(result->body, nullptr, false);
    if (!parsed.is_discarded())
        exchange.answer.body = std::move(parsed);
    return exchange;
}

Result<HttpAnswer> HttpCaller::get(const std::string& path)
{
    std::string problem;
    for (std::size_t tried = 0; tried < m_nodes.size(); ++tried) {
        Exchange done = exchange(current(), path, nullptr);
        if (done.delivery == Delivery::Answered && done.answer.status != statusUnavailable)
            return std::move(done.answer);
        problem = done.problem.empty() ? "status 503" : done.problem;
        moveToNext();
    }
    return fail(ErrorCode::Unavailable, "admin.get", current().text(), path + ": " + problem);
}

Result<HttpAnswer> HttpCaller::post(const std::string& path, const nlohmann::json& body)
{
    std::string problem;
    for (std::size_t tried = 0; tried < m_nodes.size(); ++tried) {
        Exchange done = exchange(current(), path, &body);
        const std::string peer = current().text();
        if (done.delivery == Delivery::Answered && !isUnavailable(done.answer))
            return std::move(done.answer);
        moveToNext();
        if (done.delivery == Delivery::Lost)
            return fail(ErrorCode::OutcomeUnknown, "admin.post", peer, path + ": " + done.problem);
        problem = done.problem.empty() ? "the node reports unavailable" : done.problem;
    }
    return fail(ErrorCode::Unavailable, "admin.post", current().text(), path + ": " + problem);
}

} // namespace rattanrack::cli
