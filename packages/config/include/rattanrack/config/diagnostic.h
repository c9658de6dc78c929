#pragma once

#include "rattanrack/base/error.h"

#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace rattanrack::config {

/// One mistake in a YAML file.
struct Diagnostic {
    std::string file; ///< Name under which the text was handed in.
    std::size_t line { 0 }; ///< From 1; 0 when the mistake is not at one place.
    std::size_t column { 0 }; ///< From 1, in bytes.
    std::string keyPath; ///< Such as "pools[0].kinds[1].weight"; empty for the whole document.
    std::string message; ///< What was found and what was expected.

    friend bool operator==(const Diagnostic&, const Diagnostic&) = default;
};
using Diagnostics = std::vector<Diagnostic>;

/// "file:line:column: key.path: message".
std::string describe(const Diagnostic&);

/// One line for each diagnostic.
std::string describe(const Diagnostics&);

/// A value that passed every check, or all the mistakes that were found at once.
///
///     if (!loaded.isValid())
///         std::cerr << describe(loaded.diagnostics());
template <typename T> class [[nodiscard]] Checked {
public:
    static Checked valid(T value)
    {
        Checked checked;
        checked.m_value = std::move(value);
        return checked;
    }
    static Checked invalid(Diagnostics&& diagnostics)
    {
        Checked checked;
        checked.m_diagnostics = std::move(diagnostics);
        return checked;
    }

    bool isValid() const { return m_value.has_value(); }

    /// Only for a valid object; lives as long as it.
    const T& value() const { return *m_value; }

    /// Empty for a valid object.
    const Diagnostics& diagnostics() const { return m_diagnostics; }

    /// The same as a Result, whose error InvalidConfiguration has all mistakes in its detail.
    Result<T> result(std::string step) const
    {
        if (isValid())
            return *m_value;
        return fail(ErrorCode::InvalidConfiguration, std::move(step), {}, describe(m_diagnostics));
    }

private:
    Checked() = default;

    std::optional<T> m_value;
    Diagnostics m_diagnostics;
};

} // namespace rattanrack::config
