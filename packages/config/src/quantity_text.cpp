#include "quantity_text.h"

#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <system_error>

namespace rattanrack::config {

namespace {

struct Unit {
    std::string_view name;
    std::uint64_t factor;
};

// Largest first, so that the first exact divisor gives the shortest text.
constexpr std::array<Unit, 5> durationUnits { { { "h", 3'600'000'000 }, { "min", 60'000'000 }, { "s", 1'000'000 },
    { "ms", 1'000 }, { "us", 1 } } };
constexpr std::array<Unit, 4> byteUnits { { { "GiB", 1U << 30U }, { "MiB", 1U << 20U }, { "KiB", 1U << 10U },
    { "B", 1 } } };

template <std::size_t Size>
std::optional<std::uint64_t> parseQuantity(std::string_view text, const std::array<Unit, Size>& units)
{
    std::uint64_t count = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (error != std::errc {})
        return std::nullopt;
    const std::string_view name = text.substr(static_cast<std::size_t>(end - text.data()));
    for (const Unit& unit : units) {
        if (unit.name != name)
            continue;
        const auto largest = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
        return count > largest / unit.factor ? std::nullopt : std::optional { count * unit.factor };
    }
    return std::nullopt;
}

template <std::size_t Size> std::string quantityText(std::uint64_t amount, const std::array<Unit, Size>& units)
{
    for (const Unit& unit : units) {
        if (amount != 0 && amount % unit.factor == 0)
            return std::to_string(amount / unit.factor) + std::string { unit.name };
    }
    return "0" + std::string { units.back().name };
}

} // namespace

std::optional<Duration> parseDuration(std::string_view text)
{
    const auto microseconds = parseQuantity(text, durationUnits);
    if (!microseconds)
        return std::nullopt;
    return Duration { static_cast<Duration::rep>(*microseconds) };
}

std::string durationText(Duration duration)
{
    return quantityText(static_cast<std::uint64_t>(duration.count()), durationUnits);
}

std::optional<std::uint64_t> parseBytes(std::string_view text) { return parseQuantity(text, byteUnits); }

std::string bytesText(std::uint64_t bytes) { return quantityText(bytes, byteUnits); }

std::optional<double> parseNumber(std::string_view text)
{
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc {} || end != text.data() + text.size() || !std::isfinite(number))
        return std::nullopt;
    return number;
}

std::string numberText(double number)
{
    std::array<char, 32> buffer {};
    const auto [end, error] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), number);
    return { buffer.data(), end };
}

std::optional<std::uint64_t> parseCount(std::string_view text)
{
    std::uint64_t count = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (text.empty() || error != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return count;
}

} // namespace rattanrack::config
