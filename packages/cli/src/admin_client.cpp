#include "admin_client.h"

#include <random>

namespace rattanrack::cli {

namespace {

constexpr int statusOk = 200;
constexpr int statusConflict = 409;
constexpr int statusUnavailable = 503;

/// A 4xx is the node's decision; anything else that is not 200 leaves the outcome open.
Error errorOf(const HttpAnswer& answer, const std::string& step)
{
    constexpr int firstServerError = 500;
    const auto reason = answer.body.is_object() ? answer.body.value("reason", std::string {}) : std::string {};
    const auto detail = "status " + std::to_string(answer.status) + (reason.empty() ? "" : ": " + reason);
    const auto code = answer.status < firstServerError ? ErrorCode::Refused : ErrorCode::OutcomeUnknown;
    return { code, step, answer.peer, detail };
}

/// For answers that a command takes apart itself.
void read(const nlohmann::json& json, nlohmann::json& message) { message = json; }

template <typename Message> Result<Message> decode(const HttpAnswer& answer, const std::string& step)
{
    if (answer.status != statusOk)
        return fail(errorOf(answer, step));
    try {
        Message message;
        read(answer.body, message);
        return message;
    } catch (const nlohmann::json::exception& error) {
        return fail(ErrorCode::MalformedMessage, step, answer.peer, error.what());
    }
}

} // namespace

Result<FederationStatus> AdminClient::status()
{
    BOOST_LEAF_AUTO(answer, m_caller.get("/v1/admin/status"));
    return decode<FederationStatus>(answer, "admin.status");
}

Result<nlohmann::json> AdminClient::read(const std::string& path)
{
    BOOST_LEAF_AUTO(answer, m_caller.get(path));
    return decode<nlohmann::json>(answer, "admin.read");
}

Result<ConfigInForce> AdminClient::config()
{
    BOOST_LEAF_AUTO(answer, m_caller.get("/v1/admin/config"));
    return decode<ConfigInForce>(answer, "admin.config");
}

Result<AttemptStatus> AdminClient::configAttempt(const AttemptId& attempt)
{
    BOOST_LEAF_AUTO(answer, m_caller.get("/v1/admin/config/attempts/" + attempt.value()));
    return decode<AttemptStatus>(answer, "admin.config_attempt");
}

Result<ConfigVerdict> AdminClient::propose(const ConfigProposal& proposal)
{
    const nlohmann::json body { { "document", proposal.document }, { "expectedVersion", proposal.expectedVersion },
        { "operator", proposal.operatorId.value() }, { "attempt", proposal.attempt.value() } };
    BOOST_LEAF_AUTO(answer, m_caller.post("/v1/admin/config", body));
    if (answer.status == statusConflict) {
        answer.status = statusOk;
        BOOST_LEAF_AUTO(inForce, decode<ConfigInForce>(answer, "admin.propose"));
        return ConfigVerdict { ConfigConflict { std::move(inForce) } };
    }
    BOOST_LEAF_AUTO(accepted, decode<nlohmann::json>(answer, "admin.propose"));
    if (!accepted.is_object() || !accepted.contains("version") || !accepted["version"].is_number_unsigned())
        return fail(ErrorCode::MalformedMessage, "admin.propose", answer.peer, "version is missing");
    return ConfigVerdict { ConfigAccepted { accepted["version"].get<std::uint64_t>() } };
}

Result<nlohmann::json> AdminClient::change(const std::string& path, const nlohmann::json& body)
{
    BOOST_LEAF_AUTO(answer, postRepeatedly(path, body));
    // A refusal for single VMs is an answer that the command shows.
    if (answer.status == statusConflict && answer.body.is_object() && answer.body.contains("changes"))
        answer.status = statusOk;
    return decode<nlohmann::json>(answer, "admin.change");
}

Result<HttpAnswer> AdminClient::postRepeatedly(const std::string& path, const nlohmann::json& body)
{
    constexpr int maxTries = 4;
    std::optional<Error> lost;
    for (int tried = 0; tried < maxTries; ++tried) {
        std::optional<Error> failure;
        auto answer = handle(
            [&]() -> Result<std::optional<HttpAnswer>> {
                BOOST_LEAF_AUTO(whole, m_caller.post(path, body));
                return std::optional { std::move(whole) };
            },
            [&](const Error& error) {
                failure = error;
                return std::optional<HttpAnswer> {};
            });
        if (answer && answer->status != statusUnavailable)
            return std::move(*answer);
        if (answer)
            failure = errorOf(*answer, "admin.post");
        if (failure->code == ErrorCode::OutcomeUnknown)
            lost = failure;
        else if (!lost)
            return fail(*failure);
    }
    return fail(*lost);
}

AttemptId newAttemptId()
{
    constexpr int words = 4;
    constexpr std::string_view digits = "0123456789abcdef";
    std::random_device source;
    std::string text;
    for (int word = 0; word < words; ++word) {
        const std::uint32_t value = source();
        for (unsigned shift = 0; shift < 32; shift += 4)
            text += digits[(value >> shift) & 0xfU];
    }
    return AttemptId { text };
}

} // namespace rattanrack::cli
