#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace rattanrack {

/// An identifier of one kind of thing. Identifiers of different kinds do not compare or convert.
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

    /// The identifier's text. Valid as long as this object.
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
