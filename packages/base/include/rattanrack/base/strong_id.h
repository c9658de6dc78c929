#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace rattanrack {

/// A text identifier with its own type per `Tag`. Identifiers with different tags neither compare nor convert.
///
///     PoolId pool { "office" };
///     logEvent("pool.drained", { { "pool", pool.value() } });
template <typename Tag> class StrongId {
public:
    StrongId() = default;
    explicit StrongId(std::string value)
        : m_value(std::move(value))
    {
    }

    /// Returns the identifier's text. The reference is valid as long as this object.
    const std::string& value() const { return m_value; }
    bool isEmpty() const { return m_value.empty(); }

    friend auto operator<=>(const StrongId&, const StrongId&) = default;
    friend std::ostream& operator<<(std::ostream& out, const StrongId& id) { return out << id.m_value; }

private:
    std::string m_value;
};

} // namespace rattanrack

template <typename Tag> struct std::hash<rattanrack::StrongId<Tag>> {
    std::size_t operator()(const rattanrack::StrongId<Tag>& id) const noexcept
    {
        return std::hash<std::string> {}(id.value());
    }
};
