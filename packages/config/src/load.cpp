#include "rattanrack/config/load.h"

#include "federation_reader.h"
#include "rattanrack/config/yaml_tree.h"
#include "read_file.h"

#include <algorithm>
#include <tuple>

namespace rattanrack::config {

namespace {

/// Diagnostics of one file in the order of its lines; files stay in the order in which they were read.
void sortByPlace(Diagnostics& diagnostics)
{
    const auto isBefore = [](const Diagnostic& left, const Diagnostic& right) {
        return left.file == right.file && std::tie(left.line, left.column) < std::tie(right.line, right.column);
    };
    auto begin = diagnostics.begin();
    while (begin != diagnostics.end()) {
        const auto end
            = std::find_if(begin, diagnostics.end(), [&](const Diagnostic& each) { return each.file != begin->file; });
        std::stable_sort(begin, end, isBefore);
        begin = end;
    }
}

} // namespace

Checked<Federation> load(const SourceText& base, const std::vector<SourceText>& overlays)
{
    Diagnostics diagnostics;
    FederationReader reader { diagnostics };
    if (const auto root = parseYaml(base.name, base.text, diagnostics))
        reader.readBase(base.name, *root);
    for (const SourceText& overlay : overlays) {
        if (const auto root = parseYaml(overlay.name, overlay.text, diagnostics))
            reader.readOverlay(overlay.name, *root);
    }
    sortByPlace(diagnostics);
    if (!diagnostics.empty())
        return Checked<Federation>::invalid(std::move(diagnostics));
    return Checked<Federation>::valid(reader.takeFederation());
}

Checked<Federation> parse(std::string_view document) { return load({ "document", std::string { document } }, {}); }

Result<SourceText> readSource(const std::string& path)
{
    BOOST_LEAF_AUTO(text, readFile(path, maxDocumentBytes));
    return SourceText { path, std::move(text) };
}

} // namespace rattanrack::config
