#pragma once

namespace rattanrack::policy {

/// Allows retries as a part of first attempts, so that retries cannot multiply an overload.
class RetryBudget {
public:
    /// `share` is the number of retries for each first attempt, 0 to 1.
    void setShare(double share) { m_share = share; }

    void recordFirstAttempt();

    /// Takes one retry out of the budget; false when none is left.
    bool takeRetry();

private:
    double m_share { 0.1 };
    double m_tokens { 1 };
};

} // namespace rattanrack::policy
