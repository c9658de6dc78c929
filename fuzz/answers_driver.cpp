#include "mutator.h"

#include <cstddef>
#include <iostream>

// NOLINTNEXTLINE(readability-identifier-naming): the fuzzing library calls it by this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

namespace {

constexpr const char* version = R"({"version":7})";
constexpr const char* rows = R"({"rows":[{"key":"vm/a","value":"x","version":3}]})";
constexpr const char* vms = R"({"vms":[{"id":"w1","address":"127.0.0.1:1","region":"r","dataCenter":"d",
    "rack":"k","processors":1,"memory":2,"accelerators":0,"slots":8,"connections":64,"state":"live"}]})";
constexpr const char* outcome = R"({"attempt":"a1","status":"completed","output":"o","detail":""})";
constexpr const char* attempt = R"({"attempt":"a1","state":"running","output":""})";
constexpr const char* report = R"({"busySlots":1,"draining":false,"bootId":1,"poolEpoch":1,
    "tasks":[{"attempt":"a","used":{"processors":1,"memory":2,"accelerators":0}}]})";
constexpr const char* transaction = R"({"conditions":[{"key":"a","version":1}],"writes":[{"key":"b","value":null}]})";
constexpr const char* order = R"({"request":"r","attempt":"a1","pool":"p","poolEpoch":1,"kind":"k",
    "size":{"processors":1,"memory":1,"accelerators":0},"runTimeMs":1,"payload":"p","leaseMs":5})";
constexpr const char* claims = R"({"writer":"n","batch":1,"claims":[["k",1,"a","o",0,""]]})";

} // namespace

/// Runs the fuzz target on a fixed sequence of texts, for compilers without a fuzzer of their own. An argument gives
/// the number of texts.
int main(int argc, char** argv)
{
    constexpr std::uint64_t seed = 20261204;
    constexpr long defaultTexts = 20000;
    const long texts = argc > 1 ? std::atol(argv[1]) : defaultTexts;
    rattanrack::fuzz::Mutator mutator { { version, rows, vms, outcome, attempt, report, transaction, order, claims },
        seed };
    for (long number = 0; number < texts; ++number) {
        const auto text = mutator.next();
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
    }
    std::cout << "texts=" << texts << " seed=" << seed << '\n';
    return 0;
}
