#include "rattanrack/node/quota_client.h"

#include "rattanrack/base/log.h"

#include <algorithm>
#include <utility>

namespace rattanrack::node {

namespace {

using namespace std::chrono_literals;

constexpr Duration reportPeriod = 1s;

const char* nameOf(jobs::TransactionStatus status)
{
    constexpr const char* names[] = { "done", "conflict", "refused", "unavailable", "unknown" };
    return names[static_cast<std::size_t>(status)];
}

} // namespace

QuotaClient::QuotaClient(Parts parts, const PoolId& cell, jobs::Fence term)
    : m_parts(std::move(parts))
    , m_cell(cell)
    , m_term(term)
    , m_quotas(cell, term)
    , m_isAlive(std::make_shared<bool>(true))
{
}

QuotaClient::~QuotaClient() { *m_isAlive = false; }

void QuotaClient::update(jobs::Cell& cell)
{
    const std::vector<jobs::CustomerUse> uses = cell.customerUse();
    if (uses.empty() && !m_quotas.hasEntries())
        return;
    const TimePoint now = m_parts.clock.now();
    const ResourceSize uncontacted = cell.uncontactedCapacity();
    if (m_quotas.isReadDue(now))
        read();
    if (const auto transaction = m_quotas.nextTransaction(uses, uncontacted, now))
        send(*transaction);
    for (const jobs::CustomerUse& use : uses)
        cell.setCustomerLimit(use.customer, m_quotas.limitOf(use, uncontacted));
    report(uses, now);
}

void QuotaClient::read()
{
    m_quotas.onReadSent(m_parts.clock.now());
    const bool isSubmitted = m_parts.threads.submit(
        [this, alive = m_isAlive, &store = m_parts.store, &control = m_parts.control, cell = m_cell] {
            auto page = valueOrNothing([&] { return jobs::readAll(store, jobs::quotaTable, jobs::quotaPart); },
                [&](const Error& error) {
                    logEvent(
                        "quotas.unread", { { "cell", cell.value() }, { "error", describe(error) } }, LogLevel::Warning);
                });
            control.post([this, alive, page = std::move(page)] {
                if (!*alive)
                    return;
                if (page)
                    m_quotas.onRead(*page, m_parts.clock.now());
                else
                    m_quotas.onReadFailed(m_parts.clock.now());
                m_parts.onChange();
            });
        });
    if (!isSubmitted)
        m_quotas.onReadFailed(m_parts.clock.now());
}

void QuotaClient::send(const jobs::PartTransaction& transaction)
{
    const auto deliver = [this](const jobs::TransactionOutcome& outcome, std::size_t rows) {
        m_quotas.onOutcome(outcome, m_parts.clock.now());
        m_parts.metrics.increment("rattanrack_quota_transactions_total", { { "result", nameOf(outcome.status) } });
        const bool isRepeated = outcome.status != jobs::TransactionStatus::Done && outcome.status == m_latestStatus;
        m_latestStatus = outcome.status;
        if (!isRepeated)
            logEvent("quota.written",
                { { "cell", m_cell.value() }, { "term", m_term }, { "customers", rows },
                    { "result", nameOf(outcome.status) }, { "replaced", m_quotas.isReplaced() } });
        m_parts.onChange();
    };
    const bool isSubmitted = m_parts.threads.submit(
        [alive = m_isAlive, deliver, transaction, &store = m_parts.store, &control = m_parts.control] {
            auto outcome = store.commit(transaction);
            control.post([alive, deliver, rows = transaction.writes.size(), outcome = std::move(outcome)] {
                if (*alive)
                    deliver(outcome, rows);
            });
        });
    if (!isSubmitted)
        deliver({ jobs::TransactionStatus::Unavailable }, transaction.writes.size());
}

void QuotaClient::report(const std::vector<jobs::CustomerUse>& uses, TimePoint now)
{
    if (now < m_nextReportAt)
        return;
    m_nextReportAt = now + reportPeriod;
    for (const jobs::CustomerUse& use : uses) {
        const MetricLabels labels { { "cell", m_cell.value() }, { "customer", use.customer.value() } };
        const auto set = [&](const char* name, Millicores value) {
            m_parts.metrics.setGauge(name, labels, static_cast<double>(value.count()));
        };
        set("rattanrack_customer_used_millicores", use.used.processors);
        set("rattanrack_customer_waiting_for_quota_millicores", use.waiting.processors);
        set("rattanrack_customer_granted_millicores", m_quotas.granted(use.customer).processors);
    }
}

} // namespace rattanrack::node
