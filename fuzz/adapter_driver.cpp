#include "caller_request.h"
#include "fleet_rows.h"
#include "http_worker_connector.h"
#include "mutator.h"
#include "rattanrack/jobs/job_codec.h"
#include "rattanrack/jobs/owned_part.h"
#include "task_name.h"
#include "worker_row.h"

#include <cstdlib>
#include <iostream>

using namespace rattanrack;

namespace {

constexpr const char* job = R"({"spec":"s","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimated_ms":900,
    "affinity":"r1"},{"count":2,"after":[0],"gang":true,"may_miss":1}],"repeat_count":2,"first_ms":5,"interval_ms":9})";
constexpr const char* configuration = R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/",
    "backend":"b","attempts":3,"stretch":1.6,"allow_anonymous":true}],"backends":[{"name":"b","standby":false}],
    "limits":{"max_body_bytes":9},"tenants":[{"name":"t","api_keys":["k1","k2"],"weight":2.5,"cap":{"cpu":9,"gpu":1}}]})";
constexpr const char* worker = R"({"backend":"b","address":"1.2.3.4:5","state":"ready","capacity":{"cpu":1,"mem_mb":2,
    "gpu":0},"labels":["a","r1"],"machine":"m","born":5})";
constexpr const char* wave = R"({"wave":1,"machines":["m"],"duration_s":20,"cap":1})";
constexpr const char* look = R"({"clock_ms":5,"born":6,"running":[["a.0.0.1",2,"",41,7.5]],
    "finished":[[58,"a.0.0.2",1,"done",""]]})";

std::string storedJob()
{
    jobs::Job stored { jobs::JobId { "5c0e7a21d94b36f8" }, jobs::QueueId { "q" }, 1, { "text", { {}, {} }, {} } };
    stored.spec.steps[1].dependsOn = { 0 };
    return encode(stored);
}

/// Whatever a decoder accepts must be a job that the model of its progress can hold.
void check(const std::string& text)
{
    const auto spec = adapter::decodeJobSpec(text);
    if (const auto* accepted = std::get_if<jobs::JobSpec>(&spec)) {
        const jobs::Job made { jobs::JobId { "a" }, jobs::QueueId { "q" }, 1, *accepted };
        if (jobs::JobProgress { made }.hasEnded() || !valueOrNothing([&] { return jobs::decodeJob(encode(made)); }))
            std::abort();
    }
    (void)valueOrNothing([&] { return adapter::decodeConfiguration(text); });
    (void)adapter::decodeWave(text);
    (void)adapter::decodeWorkerRow("w", text);
    (void)adapter::decodePollReport(text);
    (void)adapter::parseTaskName(text);
    if (const auto stored = valueOrNothing([&] { return jobs::decodeJob(text); }))
        (void)jobs::JobProgress { *stored }.toStored();
    (void)valueOrNothing([&] { return jobs::decodeProgress(text); });
    (void)valueOrNothing([&] { return jobs::decodeOwnerRow(text); });
}

} // namespace

/// Runs the decoders of what callers, operators, workers and other nodes write on a fixed sequence of malformed texts.
/// An argument gives the number of texts.
int main(int argc, char** argv)
{
    constexpr std::uint64_t seed = 20261204;
    constexpr long defaultTexts = 20000;
    const long texts = argc > 1 ? std::atol(argv[1]) : defaultTexts;
    const std::string progress = encode(jobs::StoredProgress { 1, false, false, false, { { 0, 0, 0, true, { 1 } } } });
    const std::string owner = encode(jobs::OwnerRow { NodeId { "n" }, 3, 4, {} });
    fuzz::Mutator mutator { { job, configuration, worker, wave, look, "a.0.1.2", storedJob(), progress, owner }, seed };
    for (long number = 0; number < texts; ++number)
        check(mutator.next());
    std::cout << "texts=" << texts << " seed=" << seed << '\n';
    return 0;
}
