#include "vm_wire.h"

#include "json_fields.h"

namespace rattanrack::platform {

namespace {

using nlohmann::json;

VmState toState(const std::string& name)
{
    if (name == "live")
        return VmState::Live;
    if (name == "leaving")
        return VmState::Leaving;
    throw FieldError {};
}

int toConnections(std::int64_t value)
{
    if (value > INT32_MAX)
        throw FieldError {};
    return static_cast<int>(value);
}

json toJson(const VmDescription& vm)
{
    return { { "id", vm.id.value() }, { "address", vm.address }, { "region", vm.region.value() },
        { "dataCenter", vm.dataCenter.value() }, { "rack", vm.rack.value() },
        { "processors", vm.capacity.processors.count() }, { "memory", vm.capacity.memory.count() },
        { "accelerators", vm.capacity.accelerators.count() }, { "slots", vm.slots.count() },
        { "connections", vm.connections }, { "state", vm.state == VmState::Live ? "live" : "leaving" } };
}

VmDescription toVm(const json& object)
{
    VmDescription vm;
    vm.id = VmId { text(object, "id") };
    vm.address = text(object, "address");
    vm.region = RegionId { text(object, "region") };
    vm.dataCenter = DataCenterId { text(object, "dataCenter") };
    vm.rack = RackId { text(object, "rack") };
    vm.capacity = { Millicores { count(object, "processors") }, Mebibytes { count(object, "memory") },
        Accelerators { count(object, "accelerators") } };
    vm.slots = Slots { count(object, "slots") };
    vm.connections = toConnections(count(object, "connections"));
    vm.state = toState(text(object, "state"));
    return vm;
}

} // namespace

std::optional<std::string> encodeVms(const std::vector<VmDescription>& vms)
{
    json list = json::array();
    for (const auto& vm : vms)
        list.push_back(toJson(vm));
    return encodeJson({ { "vms", std::move(list) } });
}

std::optional<std::vector<VmDescription>> decodeVms(const std::string& source)
{
    return decodeJson(source, [](const json& document) {
        std::vector<VmDescription> vms;
        for (const auto& vm : array(document, "vms"))
            vms.push_back(toVm(vm));
        return vms;
    });
}

} // namespace rattanrack::platform
