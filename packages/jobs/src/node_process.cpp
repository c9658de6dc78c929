#include "rattanrack/jobs/node_process.h"

#include <charconv>
#include <optional>
#include <string_view>

namespace rattanrack::jobs {

namespace {

constexpr char separator = '-';

/// The parts of an id; the name is valid as long as the id.
struct ParsedId {
    std::string_view nodeName;
    std::int64_t startedUnixMs { 0 };
};

std::optional<ParsedId> parse(const NodeId& id)
{
    const std::string_view text = id.value();
    const auto end = text.rfind(separator);
    if (end == std::string_view::npos || end + 1 == text.size())
        return std::nullopt;
    const std::string_view digits = text.substr(end + 1);
    ParsedId parsed { text.substr(0, end) };
    const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), parsed.startedUnixMs);
    const bool isNumber = result.ec == std::errc {} && result.ptr == digits.data() + digits.size();
    return isNumber ? std::optional { parsed } : std::nullopt;
}

} // namespace

NodeId processId(const std::string& nodeName, std::int64_t startedUnixMs)
{
    return NodeId { nodeName + separator + std::to_string(startedUnixMs) };
}

bool areOfOneNode(const NodeId& left, const NodeId& right)
{
    const auto leftId = parse(left);
    const auto rightId = parse(right);
    return leftId && rightId && leftId->nodeName == rightId->nodeName;
}

bool isLaterProcess(const NodeId& later, const NodeId& earlier)
{
    return areOfOneNode(later, earlier) && parse(later)->startedUnixMs > parse(earlier)->startedUnixMs;
}

} // namespace rattanrack::jobs
