#pragma once

#include <capnp/blob.h>

#include <string>

/// Conversions between strings and the text and data fields of messages.
namespace rattanrack::peer {

inline std::string text(capnp::Text::Reader reader) { return { reader.cStr(), reader.size() }; }

inline std::string bytes(capnp::Data::Reader reader)
{
    return { reinterpret_cast<const char*>(reader.begin()), reader.size() };
}

inline capnp::Data::Reader dataOf(const std::string& value)
{
    return { reinterpret_cast<const kj::byte*>(value.data()), value.size() };
}

} // namespace rattanrack::peer
