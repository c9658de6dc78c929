#include "fleet_file.h"

#include <yaml-cpp/yaml.h>

namespace rattanrack::standin {

namespace {

constexpr std::int64_t defaultMillicores = 16000;
constexpr std::int64_t defaultMebibytes = 65536;
constexpr std::int64_t defaultSlots = 8;
constexpr int defaultConnections = 64;

std::string textOf(const YAML::Node& node, const char* field) { return node[field].as<std::string>(); }

platform::VmDescription toVm(const YAML::Node& node)
{
    platform::VmDescription vm;
    vm.id = VmId { textOf(node, "id") };
    vm.address = textOf(node, "address");
    vm.region = RegionId { textOf(node, "region") };
    vm.dataCenter = DataCenterId { textOf(node, "dataCenter") };
    vm.rack = RackId { textOf(node, "rack") };
    vm.capacity = { Millicores { node["processors"].as<std::int64_t>(defaultMillicores) },
        Mebibytes { node["memory"].as<std::int64_t>(defaultMebibytes) },
        Accelerators { node["accelerators"].as<std::int64_t>(0) } };
    vm.slots = Slots { node["slots"].as<std::int64_t>(defaultSlots) };
    vm.connections = node["connections"].as<int>(defaultConnections);
    return vm;
}

} // namespace

Result<std::vector<platform::VmDescription>> readFleetFile(const std::string& path)
{
    try {
        std::vector<platform::VmDescription> vms;
        for (const auto& node : YAML::LoadFile(path)["vms"])
            vms.push_back(toVm(node));
        return vms;
    } catch (const YAML::Exception& error) {
        return fail(ErrorCode::InvalidConfiguration, "fleet.read", path, error.what());
    }
}

} // namespace rattanrack::standin
