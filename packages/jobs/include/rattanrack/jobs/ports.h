#pragma once

#include "rattanrack/jobs/cell.h"
#include "rattanrack/jobs/configuration.h"
#include "rattanrack/jobs/machine.h"
#include "rattanrack/jobs/part_store.h"
#include "rattanrack/jobs/worker.h"

#include <memory>
#include <optional>
#include <vector>

/// Ports to the platform's services other than its store. Every call has its own timeout.
namespace rattanrack::jobs {

/// One connection to one worker, for use by one thread. A start, a lease or an acknowledgement reaches the incarnation
/// of the worker that it is meant for, or none, unless the result says that it is not bound to the incarnation.
class WorkerChannel {
public:
    virtual ~WorkerChannel() = default;
    virtual CommandResult start(const StartCommand&) = 0;
    virtual CommandResult stop(const StopCommand&) = 0;
    virtual CommandResult throttle(const ThrottleCommand&) = 0;
    virtual PollResult poll(const PollCommand&) = 0;
};

/// Thread-safe.
class WorkerConnector {
public:
    virtual ~WorkerConnector() = default;

    /// Returns a channel, never null, that connects on its first call.
    virtual std::unique_ptr<WorkerChannel> connect(const WorkerId& worker, const std::string& address) = 0;
};

/// Client of the advice service, which selects the workers that may run a step. For use by one thread.
class Advisor {
public:
    virtual ~Advisor() = default;
    virtual AdviceResponse advise(const AdviceRequest&) = 0;
};

/// The platform's machines. Thread-safe.
class MachineService {
public:
    virtual ~MachineService() = default;

    /// Lists all machines. Errors: Unavailable, MalformedMessage.
    virtual Result<std::vector<Machine>> list() = 0;
    virtual MachineCommandStatus maintain(const MaintenanceCommand&, const std::string& holder, Fence fence) = 0;
    virtual MachineCommandStatus move(const MoveCommand&, const std::string& holder, Fence fence) = 0;
};

/// What operators have requested. Rows that can't be read are left out.
struct FleetDirectives {
    std::optional<Configuration> configuration;
    std::vector<MaintenanceWave> waves;
    RowVersion version { 0 }; ///< Of the store; later changes are not included.
};

/// Thread-safe.
class FleetSource {
public:
    virtual ~FleetSource() = default;

    /// Returns all directives in force. Errors: Unavailable.
    virtual Result<FleetDirectives> directives() = 0;

    /// Returns when something has changed after `version`, or after `wait`. Errors: Unavailable.
    virtual Result<bool> waitForChange(RowVersion version, Duration wait) = 0;

    /// Reports the progress of a wave to the operators. False: not stored.
    [[nodiscard]] virtual bool report(std::int64_t wave, bool isCompleted) = 0;

    /// Lists the registered workers of all pools. Errors: Unavailable.
    virtual Result<std::vector<WorkerDescription>> workers() = 0;
};

} // namespace rattanrack::jobs
