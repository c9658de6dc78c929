#pragma once

#include "rattanrack/base/ids.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// Messages of the operators' interface. `read` throws nlohmann::json::exception when a field is missing or has another
/// type.
namespace rattanrack::cli {

struct NodeStatus {
    NodeId id;
    std::string address;
    DataCenterId dataCenter;
    std::uint64_t configVersion { 0 };
    bool isLeaving { false };
};

struct PoolStatus {
    PoolId id;
    std::uint32_t workers { 0 };
    std::uint32_t available { 0 };
    std::uint32_t floor { 0 };
    std::uint32_t permitsInUse { 0 };
    std::uint64_t queued { 0 };
    std::uint64_t running { 0 };
};

struct VmStatus {
    VmId id;
    PoolId pool;
    std::uint64_t epoch { 0 };
    std::string state;
    RackId rack;
    DataCenterId dataCenter;
};

struct RollOutStatus {
    RollOutId id;
    std::string kind;
    std::string state;
    std::uint64_t done { 0 };
    std::uint64_t total { 0 };
};

struct FederationStatus {
    NodeId node;
    std::uint64_t configVersion { 0 };
    std::vector<NodeStatus> nodes;
    std::vector<PoolStatus> pools;
    std::vector<VmStatus> vms;
    std::vector<RollOutStatus> rollOuts;
};

struct ConfigInForce {
    std::uint64_t version { 0 };
    std::string document;
};

struct AttemptStatus {
    bool isFound { false };
    std::uint64_t version { 0 };
};

/// What came of an operation for one VM.
struct VmChange {
    VmId vm;
    std::string result; ///< "done" or "accepted"; else nothing was done, or, for "unknown", perhaps.
    std::string reason;
};

void read(const nlohmann::json& json, NodeStatus& node);
void read(const nlohmann::json& json, PoolStatus& pool);
void read(const nlohmann::json& json, VmStatus& vm);
void read(const nlohmann::json& json, RollOutStatus& rollOut);
void read(const nlohmann::json& json, FederationStatus& status);
void read(const nlohmann::json& json, ConfigInForce& config);
void read(const nlohmann::json& json, AttemptStatus& attempt);
void read(const nlohmann::json& json, VmChange& change);

/// Reads each item of a list.
template <typename Message> void read(const nlohmann::json& json, std::vector<Message>& list)
{
    for (const auto& item : json) {
        Message message;
        read(item, message);
        list.push_back(std::move(message));
    }
}

} // namespace rattanrack::cli
