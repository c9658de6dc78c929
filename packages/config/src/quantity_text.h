#pragma once

#include "rattanrack/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rattanrack::config {

/// Reads "150ms", "2s", "5min", "1h" or "10us": a whole number and a unit without a space. Nothing on anything else or
/// on overflow.
std::optional<Duration> parseDuration(std::string_view text);

/// The shortest exact text that `parseDuration` reads back.
std::string durationText(Duration duration);

/// Reads "512B", "64KiB", "16MiB" or "4GiB". Nothing on anything else or on overflow.
std::optional<std::uint64_t> parseBytes(std::string_view text);

/// The shortest exact text that `parseBytes` reads back.
std::string bytesText(std::uint64_t bytes);

/// Reads a finite decimal number.
std::optional<double> parseNumber(std::string_view text);

/// The shortest text that reads back as the same number.
std::string numberText(double number);

/// Reads a whole number without sign.
std::optional<std::uint64_t> parseCount(std::string_view text);

} // namespace rattanrack::config
