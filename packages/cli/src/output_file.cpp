#include "output_file.h"

#include <fstream>

namespace rattanrack::cli {

Result<void> writeFile(const std::string& path, const std::string& text)
{
    std::ofstream file { path, std::ios::binary | std::ios::trunc };
    file << text;
    file.close();
    if (!file)
        return fail(ErrorCode::InvalidArgument, "output.write_file", {}, path);
    return {};
}

} // namespace rattanrack::cli
