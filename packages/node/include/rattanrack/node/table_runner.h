#pragma once

#include "rattanrack/node/control_loop.h"
#include "rattanrack/node/elastic_thread_pool.h"
#include "rattanrack/peer/table_exchange.h"

#include <functional>

namespace rattanrack::node {

/// Carries out the table requests of the coordination cores on the platform's threads, and hands the answers back on
/// the control thread.
class TableRunner {
public:
    using OnAnswer = std::function<void(peer::TableResponse)>;

    TableRunner(ControlLoop& control, ElasticThreadPool& threads, platform::Table& table)
        : m_control(control)
        , m_threads(threads)
        , m_table(table)
    {
    }

    /// Answers each request exactly once; one that finds no thread is answered as if the table were unavailable.
    void run(peer::TableRequests requests, const OnAnswer& onAnswer);

private:
    peer::TableResponse answer(const peer::ReadRows&);
    peer::TableResponse answer(const peer::ScanRows&);
    peer::TableResponse answer(const peer::CommitRows&);

    ControlLoop& m_control;
    ElasticThreadPool& m_threads;
    platform::Table& m_table;
};

} // namespace rattanrack::node
