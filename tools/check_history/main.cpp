#include "history_checker.h"

#include <docopt/docopt.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <iostream>

namespace {

using namespace rattanrack;
using nlohmann::json;

constexpr const char* usage = R"(check-history: replays the history of a stand-in platform's table and checks it.

Usage:
  check-history ADDRESS

ADDRESS is "ip:port" of the stand-in. The last line is `history: N commits, N violations`; exit status 1 when there are
violations, 2 when the history can't be read.
)";
constexpr int exitUnreadable = 2;

platform::Transaction transactionFrom(const json& record)
{
    platform::Transaction transaction;
    for (const json& write : record.at("writes")) {
        std::optional<std::string> value;
        if (write.contains("value") && write["value"].is_string())
            value = write["value"].get<std::string>();
        transaction.writes.push_back({ write.at("key").get<std::string>(), std::move(value) });
    }
    return transaction;
}

/// Reads all pages. False when the stand-in does not answer.
bool replay(const std::string& address, tools::HistoryChecker& checker)
{
    httplib::Client client("http://" + address);
    std::size_t first = 0;
    while (true) {
        const auto reply = client.Get("/history?first=" + std::to_string(first));
        if (!reply || reply->status != 200)
            return false;
        const json page = json::parse(reply->body, nullptr, false);
        if (!page.is_array())
            return false;
        if (page.empty())
            return true;
        for (const json& record : page) {
            if (record.at("status") == "done")
                checker.apply(transactionFrom(record), record.at("version").get<std::uint64_t>());
        }
        first += page.size();
    }
}

} // namespace

int main(int argumentCount, char** arguments)
{
    const auto options = docopt::docopt(usage, { arguments + 1, arguments + argumentCount });
    tools::HistoryChecker checker;
    if (!replay(options.at("ADDRESS").asString(), checker)) {
        std::cerr << "check-history: the history can't be read\n";
        return exitUnreadable;
    }
    for (const std::string& violation : checker.violations())
        std::cout << violation << '\n';
    std::cout << "history: " << checker.commits() << " commits, " << checker.violations().size() << " violations\n";
    return checker.violations().empty() && checker.commits() > 0 ? 0 : 1;
}
