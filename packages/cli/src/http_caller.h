#pragma once

#include "rattanrack/base/error.h"
#include "rattanrack/base/time.h"
#include "rattanrack/config/node_settings.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace rattanrack::cli {

/// A whole answer of a node.
struct HttpAnswer {
    int status { 0 };
    nlohmann::json body; ///< Null when the node sent no JSON.
    std::string peer; ///< Who answered.
};

/// Sends requests to one node, and to the next one when that node cannot be reached. One thread at a time.
///
///     BOOST_LEAF_AUTO(answer, caller.get("/v1/admin/status"));
class HttpCaller {
public:
    /// `nodes` must not be empty. `timeout` bounds the wait for each node.
    HttpCaller(std::vector<config::Address> nodes, Duration timeout);

    /// Asks every node in turn until one gives a whole answer other than 503. Errors: Unavailable.
    Result<HttpAnswer> get(const std::string& path);

    /// Sends once, to the first node that accepts the connection and does not answer 503 "unavailable". Errors:
    /// Unavailable (never sent), OutcomeUnknown (sent, and no whole answer arrived).
    Result<HttpAnswer> post(const std::string& path, const nlohmann::json& body);

private:
    enum class Delivery { Answered, NotSent, Lost };
    struct Exchange {
        Delivery delivery { Delivery::NotSent };
        HttpAnswer answer;
        std::string problem;
    };

    Exchange exchange(const config::Address& node, const std::string& path, const nlohmann::json* body) const;
    const config::Address& current() const { return m_nodes[m_current]; }
    void moveToNext() { m_current = (m_current + 1) % m_nodes.size(); }

    std::vector<config::Address> m_nodes;
    std::size_t m_current { 0 };
    Duration m_timeout;
};

} // namespace rattanrack::cli
