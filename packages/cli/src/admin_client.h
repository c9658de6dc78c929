#pragma once

#include "admin_messages.h"
#include "http_caller.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace rattanrack::cli {

/// A change of configuration that somebody else won.
struct ConfigConflict {
    ConfigInForce inForce;
};

/// A change of configuration that is durable.
struct ConfigAccepted {
    std::uint64_t version { 0 };
};

using ConfigVerdict = std::variant<ConfigAccepted, ConfigConflict>;

/// What is proposed: takes effect only while `expectedVersion` is in force. The attempt tells one try from another.
struct ConfigProposal {
    std::string document;
    std::uint64_t expectedVersion { 0 };
    OperatorId operatorId;
    AttemptId attempt;
};

/// Typed calls of the operators' interface. Errors of all calls: Unavailable, OutcomeUnknown, Refused (status 4xx, with
/// the node's reason), MalformedMessage.
class AdminClient {
public:
    explicit AdminClient(HttpCaller& caller)
        : m_caller(caller)
    {
    }

    Result<FederationStatus> status();
    Result<nlohmann::json> read(const std::string& path);
    Result<ConfigInForce> config();
    Result<AttemptStatus> configAttempt(const AttemptId& attempt);
    Result<ConfigVerdict> propose(const ConfigProposal& proposal);

    /// A change that the federation carries out once for each attempt id, so that it is sent again when an answer was
    /// lost.
    Result<nlohmann::json> change(const std::string& path, const nlohmann::json& body);

private:
    Result<HttpAnswer> postRepeatedly(const std::string& path, const nlohmann::json& body);

    HttpCaller& m_caller;
};

/// An attempt id that no other run of the program has.
AttemptId newAttemptId();

} // namespace rattanrack::cli
