#include "read_file.h"

#include <fstream>

namespace rattanrack::config {

Result<std::string> readFile(const std::string& path, std::size_t maxBytes)
{
    std::ifstream file { path, std::ios::binary };
    if (!file)
        return fail(ErrorCode::NotFound, "config.read_file", {}, path);
    // One byte more than is allowed tells a full file from one that is too long.
    std::string text(maxBytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (file.bad())
        return fail(ErrorCode::NotFound, "config.read_file", {}, path);
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > maxBytes)
        return fail(ErrorCode::InvalidArgument, "config.read_file", {},
            path + " is larger than " + std::to_string(maxBytes) + " bytes");
    return text;
}

} // namespace rattanrack::config
