#include "rattanrack/policy/fleet_rows.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <stdexcept>

namespace rattanrack::policy {

namespace {

using Json = nlohmann::json;

template <typename Enum> Enum enumFrom(const Json& json, const char* field, Enum last)
{
    const auto text = json.at(field).get<std::string>();
    for (int value = 0; value <= static_cast<int>(last); ++value) {
        if (name(static_cast<Enum>(value)) == text)
            return static_cast<Enum>(value);
    }
    throw std::invalid_argument { std::string { field } + " is " + text };
}

template <typename Id> Id idFrom(const Json& json, const char* field)
{
    return Id { json.at(field).get<std::string>() };
}

/// A required id of a record: never empty, and the one that the key names.
template <typename Id> Id ownIdFrom(const Json& json, std::string_view key, std::string_view prefix)
{
    Id id = idFrom<Id>(json, "id");
    if (id.isEmpty() || key != std::string { prefix } + id.value())
        throw std::invalid_argument { "id does not match the key" };
    return id;
}

template <typename Number> Number numberFrom(const Json& json, const char* field)
{
    const Json& value = json.at(field);
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > std::numeric_limits<Number>::max())
        throw std::invalid_argument { std::string { field } + " is out of range" };
    return value.get<Number>();
}

template <typename Id> std::vector<Id> idsFrom(const Json& json, const char* field)
{
    std::vector<Id> ids;
    for (const auto& text : json.at(field))
        ids.push_back(Id { text.get<std::string>() });
    return ids;
}

template <typename Id> Json toJson(const std::vector<Id>& ids)
{
    Json json = Json::array();
    for (const auto& id : ids)
        json.push_back(id.value());
    return json;
}

VmRecord vmFrom(const Json& json, std::string_view key)
{
    VmRecord vm;
    vm.id = ownIdFrom<VmId>(json, key, vmKeyPrefix);
    vm.pool = idFrom<PoolId>(json, "pool");
    vm.homePool = idFrom<PoolId>(json, "homePool");
    vm.targetPool = idFrom<PoolId>(json, "targetPool");
    vm.rack = idFrom<RackId>(json, "rack");
    vm.dataCenter = idFrom<DataCenterId>(json, "dataCenter");
    vm.epoch = numberFrom<std::uint64_t>(json, "epoch");
    vm.phase = enumFrom(json, "phase", VmPhase::Leaving);
    vm.purpose = enumFrom(json, "purpose", DrainPurpose::Move);
    vm.holdsPermit = json.at("holdsPermit").get<bool>();
    vm.operation = idFrom<RollOutId>(json, "operation");
    vm.completed = idsFrom<RollOutId>(json, "completed");
    vm.bootId = numberFrom<std::uint64_t>(json, "bootId");
    vm.revision = numberFrom<std::uint64_t>(json, "revision");
    vm.attempt = idFrom<AttemptId>(json, "attempt");
    if (vm.pool.isEmpty())
        throw std::invalid_argument { "pool is empty" };
    return vm;
}

/// Ids that are not valid UTF-8 are stored with replacement characters in place of an exception.
std::string textOf(const Json& json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

PoolSettings settingsFrom(const Json& json)
{
    PoolSettings settings;
    settings.desired = numberFrom<std::uint32_t>(json, "desired");
    settings.floor = numberFrom<std::uint32_t>(json, "floor");
    settings.maxPlannedDown = numberFrom<std::uint32_t>(json, "maxPlannedDown");
    settings.mayBorrow = numberFrom<std::uint32_t>(json, "mayBorrow");
    settings.mayLend = numberFrom<std::uint32_t>(json, "mayLend");
    settings.survives = enumFrom(json, "survives", FailureDomain::DataCenter);
    settings.configVersion = numberFrom<std::uint64_t>(json, "configVersion");
    return settings;
}

Json toJson(const PoolSettings& settings)
{
    return { { "desired", settings.desired }, { "floor", settings.floor },
        { "maxPlannedDown", settings.maxPlannedDown }, { "mayBorrow", settings.mayBorrow },
        { "mayLend", settings.mayLend }, { "survives", name(settings.survives) },
        { "configVersion", settings.configVersion } };
}

PoolCounts countsFrom(const Json& json)
{
    PoolCounts counts;
    counts.members = numberFrom<std::uint32_t>(json, "members");
    counts.permits = numberFrom<std::uint32_t>(json, "permits");
    counts.failed = numberFrom<std::uint32_t>(json, "failed");
    counts.joining = numberFrom<std::uint32_t>(json, "joining");
    counts.borrowed = numberFrom<std::uint32_t>(json, "borrowed");
    counts.lent = numberFrom<std::uint32_t>(json, "lent");
    counts.revisions = numberFrom<std::uint64_t>(json, "revisions");
    if (std::uint64_t { counts.permits } + counts.failed + counts.joining > counts.members)
        throw std::invalid_argument { "counts exceed members" };
    return counts;
}

Json toJson(const PoolCounts& counts)
{
    return { { "members", counts.members }, { "permits", counts.permits }, { "failed", counts.failed },
        { "joining", counts.joining }, { "borrowed", counts.borrowed }, { "lent", counts.lent },
        { "revisions", counts.revisions } };
}

PoolRecord poolFrom(const Json& json, std::string_view key)
{
    PoolRecord pool;
    pool.id = ownIdFrom<PoolId>(json, key, poolKeyPrefix);
    pool.settings = settingsFrom(json.at("settings"));
    pool.counts = countsFrom(json.at("counts"));
    pool.attempt = idFrom<AttemptId>(json, "attempt");
    return pool;
}

RollOutRecord rollOutFrom(const Json& json, std::string_view key)
{
    RollOutRecord rollOut;
    rollOut.id = ownIdFrom<RollOutId>(json, key, rollOutKeyPrefix);
    rollOut.kind = enumFrom(json, "kind", RollOutKind::Move);
    rollOut.state = enumFrom(json, "state", RollOutState::Finished);
    rollOut.targets = idsFrom<VmId>(json, "targets");
    rollOut.targetPool = idFrom<PoolId>(json, "targetPool");
    rollOut.maxAtOnce = numberFrom<std::uint32_t>(json, "maxAtOnce");
    rollOut.maxFailures = numberFrom<std::uint32_t>(json, "maxFailures");
    rollOut.done = numberFrom<std::uint32_t>(json, "done");
    rollOut.startedBy = idFrom<OperatorId>(json, "startedBy");
    rollOut.attempt = idFrom<AttemptId>(json, "attempt");
    return rollOut;
}

BorrowingRecord borrowingFrom(const Json& json, std::string_view)
{
    BorrowingRecord borrowing;
    borrowing.total = numberFrom<std::uint32_t>(json, "total");
    borrowing.inUse = numberFrom<std::uint32_t>(json, "inUse");
    borrowing.configVersion = numberFrom<std::uint64_t>(json, "configVersion");
    borrowing.attempt = idFrom<AttemptId>(json, "attempt");
    return borrowing;
}

/// The library reports malformed text by exceptions; they end here.
template <typename Record>
Result<Record> decode(
    Record (*read)(const Json&, std::string_view), std::string_view key, std::string_view text, RecordVersion version)
{
    std::string detail;
    try {
        Record record = read(Json::parse(text), key);
        record.version = version;
        return record;
    } catch (const std::exception& error) {
        detail = error.what();
    }
    return fail(ErrorCode::MalformedMessage, "fleet.decode", std::string { key }, detail);
}

} // namespace

std::string vmKey(const VmId& id) { return std::string { vmKeyPrefix } + id.value(); }
std::string poolKey(const PoolId& id) { return std::string { poolKeyPrefix } + id.value(); }
std::string rollOutKey(const RollOutId& id) { return std::string { rollOutKeyPrefix } + id.value(); }

std::string encode(const VmRecord& vm)
{
    const Json json { { "id", vm.id.value() }, { "pool", vm.pool.value() }, { "homePool", vm.homePool.value() },
        { "targetPool", vm.targetPool.value() }, { "rack", vm.rack.value() }, { "dataCenter", vm.dataCenter.value() },
        { "epoch", vm.epoch }, { "phase", name(vm.phase) }, { "purpose", name(vm.purpose) },
        { "holdsPermit", vm.holdsPermit }, { "operation", vm.operation.value() }, { "completed", toJson(vm.completed) },
        { "bootId", vm.bootId }, { "revision", vm.revision }, { "attempt", vm.attempt.value() } };
    return textOf(json);
}

std::string encode(const PoolRecord& pool)
{
    const Json json { { "id", pool.id.value() }, { "settings", toJson(pool.settings) },
        { "counts", toJson(pool.counts) }, { "attempt", pool.attempt.value() } };
    return textOf(json);
}

std::string encode(const RollOutRecord& rollOut)
{
    const Json json { { "id", rollOut.id.value() }, { "kind", name(rollOut.kind) }, { "state", name(rollOut.state) },
        { "targets", toJson(rollOut.targets) }, { "targetPool", rollOut.targetPool.value() },
        { "maxAtOnce", rollOut.maxAtOnce }, { "maxFailures", rollOut.maxFailures }, { "done", rollOut.done },
        { "startedBy", rollOut.startedBy.value() }, { "attempt", rollOut.attempt.value() } };
    return textOf(json);
}

std::string encode(const BorrowingRecord& borrowing)
{
    const Json json { { "total", borrowing.total }, { "inUse", borrowing.inUse },
        { "configVersion", borrowing.configVersion }, { "attempt", borrowing.attempt.value() } };
    return textOf(json);
}

Result<VmRecord> decodeVm(std::string_view key, std::string_view text, RecordVersion version)
{
    return decode<VmRecord>(&vmFrom, key, text, version);
}

Result<PoolRecord> decodePool(std::string_view key, std::string_view text, RecordVersion version)
{
    return decode<PoolRecord>(&poolFrom, key, text, version);
}

Result<RollOutRecord> decodeRollOut(std::string_view key, std::string_view text, RecordVersion version)
{
    return decode<RollOutRecord>(&rollOutFrom, key, text, version);
}

Result<BorrowingRecord> decodeBorrowing(std::string_view key, std::string_view text, RecordVersion version)
{
    return decode<BorrowingRecord>(&borrowingFrom, key, text, version);
}

} // namespace rattanrack::policy
