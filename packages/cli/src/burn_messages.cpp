#include "burn_messages.h"

#include <array>
#include <stdexcept>

namespace rattanrack::cli {

namespace {

constexpr std::array<std::string_view, policy::urgencyCount> urgencyNames { "urgent", "normal", "background" };

policy::Urgency readUrgency(const nlohmann::json& json)
{
    for (std::size_t index = 0; index < urgencyNames.size(); ++index) {
        if (json == urgencyNames[index])
            return static_cast<policy::Urgency>(index);
    }
    throw std::out_of_range { "urgency: expected urgent, normal or background" };
}

policy::BurnCounts readCounts(const nlohmann::json& json)
{
    const policy::BurnCounts counts { json.at("counted").get<std::uint64_t>(), json.at("good").get<std::uint64_t>() };
    if (counts.good > counts.counted)
        throw std::out_of_range { "good: expected at most counted" };
    return counts;
}

policy::BurnObjective readObjective(const nlohmann::json& json)
{
    policy::BurnObjective objective;
    objective.pool = PoolId { json.at("pool").get<std::string>() };
    objective.kind = WorkKind { json.at("kind").get<std::string>() };
    json.at("weight").get_to(objective.weight);
    json.at("target").get_to(objective.target);
    const auto& latency = json.at("latencyMs");
    for (std::size_t index = 0; index < urgencyNames.size(); ++index)
        objective.latency[index]
            = std::chrono::milliseconds { latency.at(std::string { urgencyNames[index] }).get<std::int64_t>() };
    return objective;
}

policy::WindowCounts readWindow(const nlohmann::json& json)
{
    const auto window = policy::burnWindow(json.at("window").get<std::string>());
    if (!window)
        throw std::out_of_range { "window: expected 5min, 1h, 6h or 3d" };
    return { { PoolId { json.at("pool").get<std::string>() }, WorkKind { json.at("kind").get<std::string>() },
                 readUrgency(json.at("urgency")) },
        *window, readCounts(json) };
}

policy::HourCounts readHour(const nlohmann::json& json)
{
    return { PoolId { json.at("pool").get<std::string>() }, WorkKind { json.at("kind").get<std::string>() },
        policy::WallTime { json.at("startMs").get<std::int64_t>() }, readCounts(json) };
}

} // namespace

void read(const nlohmann::json& json, BurnMessage& message)
{
    message.now = policy::WallTime { json.at("nowMs").get<std::int64_t>() };
    for (const auto& each : json.at("objectives"))
        message.objectives.push_back(readObjective(each));
    for (const auto& each : json.at("windows"))
        message.summary.windows.push_back(readWindow(each));
    for (const auto& each : json.at("history"))
        message.summary.history.push_back(readHour(each));
}

} // namespace rattanrack::cli
