#include "load_ledger.h"

#include <map>
#include <set>

namespace rattanrack::cli {

namespace {

constexpr std::size_t maxExamples = 10;

class Checker {
public:
    Checker(const LoadProfile& profile, const LoadPlan& plan, const std::vector<LoggedRun>& runs, LogCoverage coverage)
        : m_profile(profile)
        , m_plan(plan)
        , m_coverage(coverage)
    {
        for (const LoggedRun& run : runs) {
            m_attemptsOfPayload[run.payload].insert(run.attempt);
            m_requestsThatRan.insert(run.request);
        }
    }

    void count(const std::vector<CallRecord>& records)
    {
        for (const CallRecord& record : records) {
            if (record.answer != CallAnswer::NotRun)
                m_otherwiseAnswered.insert(m_plan.calls[record.call].request);
        }
        for (const CallRecord& record : records)
            countCall(record);
        m_ledger.requests = records.size();
        countDoubled();
    }

    Ledger take() { return std::move(m_ledger); }

private:
    const PlannedRequest& requestOf(const CallRecord& record) const
    {
        return m_plan.requests[m_plan.calls[record.call].request];
    }

    std::size_t runsOf(const std::string& payload) const
    {
        const auto found = m_attemptsOfPayload.find(payload);
        return found == m_attemptsOfPayload.end() ? 0 : found->second.size();
    }

    void countCall(const CallRecord& record)
    {
        switch (record.answer) {
        case CallAnswer::Done:
            ++m_ledger.answered;
            return countDone(record);
        case CallAnswer::Failed:
            ++m_ledger.answered;
            return;
        case CallAnswer::NotRun:
            ++m_ledger.notRun;
            return countNotRun(record);
        case CallAnswer::OutcomeUnknown:
            ++m_ledger.outcomeUnknown;
            return;
        case CallAnswer::Lost:
            return report(m_ledger.lost, "lost", record);
        }
    }

    void countDone(const CallRecord& record)
    {
        const PlannedRequest& request = requestOf(record);
        if (record.output != "echo:" + request.payload)
            report(m_ledger.mixedUp, "mixed up", record);
        if (m_coverage == LogCoverage::Whole && runsOf(request.payload) == 0)
            report(m_ledger.untrueDone, "untrue done", record);
    }

    /// A repeat of the same key may run after a refusal, so that a run under another request id disproves "not run"
    /// only when no call of the key was told anything else.
    void countNotRun(const CallRecord& record)
    {
        const bool ranItself = m_requestsThatRan.contains(record.request);
        const bool isOnlyAnswer = !m_otherwiseAnswered.contains(m_plan.calls[record.call].request);
        if (ranItself || (isOnlyAnswer && runsOf(requestOf(record).payload) > 0))
            report(m_ledger.untrueNotRun, "untrue not run", record);
    }

    void countDoubled()
    {
        for (const PlannedRequest& request : m_plan.requests) {
            if (m_profile.mix[request.mix].isRepeatable || runsOf(request.payload) <= 1)
                continue;
            ++m_ledger.doubled;
            addExample("doubled: " + request.payload);
        }
    }

    void report(std::uint64_t& counter, const std::string& what, const CallRecord& record)
    {
        ++counter;
        addExample(what + ": " + requestOf(record).payload + " request=" + record.request.value()
            + (record.reason.empty() ? "" : " " + record.reason) + ranAs(requestOf(record).payload));
    }

    std::string ranAs(const std::string& payload) const
    {
        std::string text;
        const auto found = m_attemptsOfPayload.find(payload);
        if (found == m_attemptsOfPayload.end())
            return text;
        for (const AttemptId& attempt : found->second)
            text += (text.empty() ? " ran as " : ",") + attempt.value();
        return text;
    }

    void addExample(std::string text)
    {
        if (m_ledger.examples.size() < maxExamples)
            m_ledger.examples.push_back(std::move(text));
    }

    const LoadProfile& m_profile;
    const LoadPlan& m_plan;
    LogCoverage m_coverage;
    std::map<std::string, std::set<AttemptId>> m_attemptsOfPayload;
    std::set<RequestId> m_requestsThatRan;
    std::set<std::size_t> m_otherwiseAnswered; ///< Requests with a call that was told something other than "not run".
    Ledger m_ledger;
};

} // namespace

Ledger checkLedger(const LoadProfile& profile, const LoadPlan& plan, const std::vector<CallRecord>& records,
    const std::vector<LoggedRun>& runs, LogCoverage coverage)
{
    Checker checker { profile, plan, runs, coverage };
    checker.count(records);
    return checker.take();
}

} // namespace rattanrack::cli
