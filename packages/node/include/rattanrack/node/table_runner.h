#pragma once

#include "rattanrack/node/control_loop.h"
#include "rattanrack/node/elastic_thread_pool.h"
#include "rattanrack/peer/table_exchange.h"

#include <functional>

namespace rattanrack::node {

/// Executes the table requests of membership, duties and configuration distribution on the platform threads, and
/// delivers the responses on the control thread.
class TableRunner {
public:
    using OnResponse = std::function<void(peer::TableResponse)>;

    TableRunner(ControlLoop& control, ElasticThreadPool& threads, platform::Table& table)
        : m_control(control)
        , m_threads(threads)
        , m_table(table)
    {
    }

    /// Delivers exactly one response to each request. If no thread is available, the response is the same as if the
    /// table were unavailable.
    void run(peer::TableRequests requests, const OnResponse& onResponse);

private:
    peer::TableResponse execute(const peer::ReadRows&);
    peer::TableResponse execute(const peer::ScanRows&);
    peer::TableResponse execute(const peer::CommitRows&);

    ControlLoop& m_control;
    ElasticThreadPool& m_threads;
    platform::Table& m_table;
};

} // namespace rattanrack::node
