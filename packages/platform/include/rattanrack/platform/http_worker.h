#pragma once

#include "rattanrack/platform/http_options.h"
#include "rattanrack/platform/worker.h"

#include <memory>

namespace rattanrack::platform {

class HttpChannel;

/// HTTP client of one worker. Attempt ids consist of letters, digits and "._:-". Responses that are truncated,
/// malformed or about another attempt count as no response.
///
///     BOOST_LEAF_AUTO(worker, HttpWorker::create("127.0.0.1:7101"));
///     TaskOutcome outcome = worker->run(order);
class HttpWorker final : public Worker {
public:
    /// `address` is "ip:port". Does not connect yet. Errors: InvalidArgument.
    static Result<std::unique_ptr<HttpWorker>> create(const std::string& address, const HttpOptions& = {});
    ~HttpWorker() override;

    /// Blocks until the task's response arrives, at most until `responseTimeout` after the lease given in the order. A
    /// task that runs longer because its lease was renewed ends as Unknown; `attempt` returns its state.
    TaskOutcome run(const TaskOrder&) override;
    Result<void> renewLease(const AttemptId&, Deadline lease) override;
    Result<void> stop(const AttemptId&, StopMode) override;
    Result<AttemptReport> attempt(const AttemptId&) override;
    Result<AttemptReport> revoke(const AttemptId&) override;
    Result<void> setDraining(bool isDraining, std::uint64_t poolEpoch, std::uint64_t bootId) override;
    Result<void> reboot(std::uint64_t poolEpoch, std::uint64_t bootId) override;
    Result<WorkerReport> report() override;

private:
    explicit HttpWorker(std::unique_ptr<HttpChannel>);
    Result<void> post(const char* step, const std::string& path, const std::string& body);
    Result<AttemptReport> queryAttempt(const char* step, const char* method, const std::string& path, const AttemptId&);

    std::unique_ptr<HttpChannel> m_channel;
};

} // namespace rattanrack::platform
