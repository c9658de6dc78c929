#include "rattanrack/config/diagnostic.h"

namespace rattanrack::config {

std::string describe(const Diagnostic& diagnostic)
{
    std::string text = diagnostic.file;
    if (diagnostic.line > 0)
        text += ":" + std::to_string(diagnostic.line) + ":" + std::to_string(diagnostic.column);
    text += ": ";
    if (!diagnostic.keyPath.empty())
        text += diagnostic.keyPath + ": ";
    return text + diagnostic.message;
}

std::string describe(const Diagnostics& diagnostics)
{
    std::string text;
    for (const Diagnostic& diagnostic : diagnostics)
        text += describe(diagnostic) + "\n";
    return text;
}

} // namespace rattanrack::config
