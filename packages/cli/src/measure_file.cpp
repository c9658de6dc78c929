#include "measure_file.h"

#include <charconv>
#include <map>
#include <sstream>

namespace rattanrack::cli {

namespace {

using Fields = std::map<std::string, std::string, std::less<>>;

Fields fieldsOf(const std::string& line)
{
    Fields fields;
    std::istringstream words { line };
    for (std::string word; words >> word;) {
        const auto equals = word.find('=');
        if (equals != std::string::npos)
            fields[word.substr(0, equals)] = word.substr(equals + 1);
    }
    return fields;
}

std::string textOf(const Fields& fields, std::string_view key)
{
    const auto found = fields.find(key);
    return found == fields.end() ? "" : found->second;
}

std::optional<double> numberOf(const Fields& fields, std::string_view key)
{
    const std::string text = textOf(fields, key);
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

} // namespace

Result<std::vector<Measure>> parseMeasures(std::string_view text)
{
    std::vector<Measure> measures;
    std::istringstream lines { std::string { text } };
    for (std::string line; std::getline(lines, line);) {
        if (!line.starts_with("measure="))
            continue;
        const Fields fields = fieldsOf(line);
        const auto value = numberOf(fields, "value");
        if (!value)
            return fail(ErrorCode::InvalidArgument, "report.measures", {}, "no value in: " + line);
        measures.push_back(
            { textOf(fields, "measure"), textOf(fields, "user"), textOf(fields, "policy"), textOf(fields, "unit"),
                *value, numberOf(fields, "baseline"), numberOf(fields, "bound"), textOf(fields, "verdict") });
    }
    if (measures.empty())
        return fail(ErrorCode::InvalidArgument, "report.measures", {}, "no line begins with measure=");
    return measures;
}

} // namespace rattanrack::cli
