#include "rattanrack/jobs/job_codec.h"

#include "cbor.h"

namespace rattanrack::jobs {

namespace {

using Json = nlohmann::json;

/// Of a stored task; rows of earlier versions have no more fields, or lack the last one.
constexpr std::size_t fieldsWithoutLostStarts = 5;
constexpr std::size_t fieldsWithoutPresumedEnd = 6;

Json toJson(const Step& step)
{
    return Json::array({ step.count, step.size.processors.count(), step.size.memory.count(),
        step.size.accelerators.count(), step.declaredRunTime.count(), step.dependsOn, step.hasCheckpoints, step.isGang,
        step.prefersOneRack, step.requiredLabel, step.dataRack, step.maxPerWorker, step.allowsSpeculativeRuns,
        step.isLongRunning, step.image, step.latencyTarget.count(), step.isBestEffort, step.maxUnavailable });
}

Json toJson(const LostStart& lost)
{
    return Json::array({ lost.worker.value(), lost.incarnationUnixMs, lost.run, lost.isCrash, lost.wasReceived,
        lost.isOnSettledWorker, lost.exposure.count() });
}

LostStart lostStartFrom(const Json& json)
{
    LostStart lost { WorkerId { json.at(0).get<std::string>() }, json.at(1).get<std::int64_t>(),
        json.at(2).get<RunNumber>() };
    lost.isCrash = json.at(3).get<bool>();
    lost.wasReceived = json.at(4).get<bool>();
    lost.isOnSettledWorker = json.at(5).get<bool>();
    lost.exposure = Duration { json.at(6).get<std::int64_t>() };
    return lost;
}

/// Builds the array in place, since an initializer list copies each value, which costs more than the rest of a commit.
Json toJson(const StoredTask& task)
{
    Json::array_t row;
    row.reserve(fieldsWithoutPresumedEnd + 1);
    row.emplace_back(task.occurrence);
    row.emplace_back(task.step);
    row.emplace_back(task.index);
    row.emplace_back(task.isDone);
    row.emplace_back(Json::array_t(task.failedRuns.begin(), task.failedRuns.end()));
    if (!task.lostStarts.empty() || task.presumedEnded > 0) {
        Json lostStarts = Json::array();
        for (const LostStart& lost : task.lostStarts)
            lostStarts.push_back(toJson(lost));
        row.push_back(std::move(lostStarts));
    }
    if (task.presumedEnded > 0)
        row.emplace_back(task.presumedEnded);
    return row;
}

Step stepFrom(const Json& json)
{
    std::size_t at = 0;
    const auto next = [&]() -> const Json& { return json.at(at++); };
    Step step;
    step.count = next().get<int>();
    step.size.processors = Millicores { next().get<std::int64_t>() };
    step.size.memory = Mebibytes { next().get<std::int64_t>() };
    step.size.accelerators = Accelerators { next().get<std::int64_t>() };
    step.declaredRunTime = Duration { next().get<std::int64_t>() };
    step.dependsOn = next().get<std::vector<int>>();
    step.hasCheckpoints = next().get<bool>();
    step.isGang = next().get<bool>();
    step.prefersOneRack = next().get<bool>();
    step.requiredLabel = next().get<std::string>();
    step.dataRack = next().get<std::string>();
    step.maxPerWorker = next().get<int>();
    step.allowsSpeculativeRuns = next().get<bool>();
    step.isLongRunning = next().get<bool>();
    step.image = next().get<std::string>();
    step.latencyTarget = Duration { next().get<std::int64_t>() };
    step.isBestEffort = next().get<bool>();
    step.maxUnavailable = next().get<int>();
    return step;
}

Job jobFrom(const Json& json)
{
    Job job;
    job.id = JobId { json.at("id").get<std::string>() };
    job.queue = QueueId { json.at("queue").get<std::string>() };
    job.acceptedAtUnixMs = json.at("at").get<std::int64_t>();
    job.spec.text = json.at("text").get<std::string>();
    job.maxAttempts = json.value("attempts", 0); // Missing in rows of earlier versions.
    job.queueAddress = QueueAddress { json.value("address", std::string {}) }; // Missing in rows of earlier versions.
    job.requiresTickets = json.value("tickets", false);
    job.customer = CustomerId { json.value("customer", std::string {}) };
    for (const Json& step : json.at("steps"))
        job.spec.steps.push_back(stepFrom(step));
    const Json& schedule = json.at("schedule");
    job.spec.schedule
        = { schedule.at(0).get<int>(), schedule.at(1).get<std::int64_t>(), schedule.at(2).get<std::int64_t>() };
    return job;
}

StoredProgress progressFrom(const Json& json)
{
    StoredProgress progress { json.at("ended").get<std::int64_t>(), json.at("cancelled").get<bool>(),
        json.at("failed").get<bool>(), json.at("completed").get<bool>(), {} };
    for (const Json& task : json.at("tasks")) {
        StoredTask stored { task.at(0).get<int>(), task.at(1).get<int>(), task.at(2).get<int>(), task.at(3).get<bool>(),
            task.at(4).get<std::vector<RunNumber>>() };
        if (task.size() > fieldsWithoutLostStarts) {
            for (const Json& lost : task.at(fieldsWithoutLostStarts))
                stored.lostStarts.push_back(lostStartFrom(lost));
        }
        if (task.size() > fieldsWithoutPresumedEnd)
            stored.presumedEnded = task.at(fieldsWithoutPresumedEnd).get<RunNumber>();
        progress.tasks.push_back(std::move(stored));
    }
    return progress;
}

} // namespace

std::string encode(const Job& job)
{
    Json steps = Json::array();
    for (const Step& step : job.spec.steps)
        steps.push_back(toJson(step));
    const Schedule& schedule = job.spec.schedule;
    Json row { { "id", job.id.value() }, { "queue", job.queue.value() }, { "at", job.acceptedAtUnixMs },
        { "attempts", job.maxAttempts }, { "address", job.queueAddress.value() }, { "tickets", job.requiresTickets },
        { "text", job.spec.text }, { "steps", std::move(steps) },
        { "schedule", Json::array({ schedule.repeatCount, schedule.firstAtUnixMs, schedule.intervalMs }) } };
    if (!job.customer.isEmpty())
        row["customer"] = job.customer.value();
    return toCbor(row);
}

Result<Job> decodeJob(const std::string& bytes)
{
    BOOST_LEAF_AUTO(job, fromCbor("job.decode", bytes, jobFrom));
    const std::string_view defect = validationError(job.spec);
    if (!defect.empty())
        return fail(ErrorCode::MalformedMessage, "job.decode", "", std::string(defect));
    return job;
}

std::string encode(const StoredProgress& progress)
{
    Json::array_t tasks;
    tasks.reserve(progress.tasks.size());
    for (const StoredTask& task : progress.tasks)
        tasks.push_back(toJson(task));
    return toCbor({ { "ended", progress.endedAtUnixMs }, { "cancelled", progress.isCancelled },
        { "failed", progress.isFailed }, { "completed", progress.isCompleted }, { "tasks", std::move(tasks) } });
}

Result<StoredProgress> decodeProgress(const std::string& bytes)
{
    return fromCbor("progress.decode", bytes, progressFrom);
}

} // namespace rattanrack::jobs
