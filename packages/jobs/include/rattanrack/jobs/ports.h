#pragma once

#include "rattanrack/jobs/cell.h"
#include "rattanrack/jobs/configuration.h"
#include "rattanrack/jobs/machine.h"
#include "rattanrack/jobs/part_store.h"
#include "rattanrack/jobs/worker.h"

#include <memory>
#include <optional>
#include <vector>

/// What the product needs of the platform beside its store. Every call ends by a timeout of its own.
namespace rattanrack::jobs {

/// One worker, over one connection. For one thread. Starts and acknowledgements reach the life of the worker that they
/// are for or none.
class WorkerChannel {
public:
    virtual ~WorkerChannel() = default;
    virtual CommandResult start(const StartCommand&) = 0;
    virtual CommandResult stop(const StopCommand&) = 0;
    virtual CommandResult throttle(const ThrottleCommand&) = 0;
    virtual PollResult poll(const PollCommand&) = 0;
};

/// Safe from every thread.
class WorkerConnector {
public:
    virtual ~WorkerConnector() = default;

    /// Connects with the first call. Never null.
    virtual std::unique_ptr<WorkerChannel> connect(const WorkerId& worker, const std::string& address) = 0;
};

/// Which workers may run a step. For one thread.
class Advisor {
public:
    virtual ~Advisor() = default;
    virtual AdviceResponse advise(const AdviceRequest&) = 0;
};

/// The platform's machines. Safe from every thread.
class MachineService {
public:
    virtual ~MachineService() = default;

    /// All machines. Errors: Unavailable, MalformedMessage.
    virtual Result<std::vector<Machine>> list() = 0;
    virtual MachineCommandStatus maintain(const MaintenanceCommand&, const std::string& holder, Fence fence) = 0;
    virtual MachineCommandStatus move(const MoveCommand&, const std::string& holder, Fence fence) = 0;
};

/// What operators ask for, as far as it can be read; what can't be read is left out.
struct FleetDirectives {
    std::optional<Configuration> configuration;
    std::vector<MaintenanceWave> waves;
    RowVersion version { 0 }; ///< Of the store; changes after it are news.
};

/// Safe from every thread.
class FleetSource {
public:
    virtual ~FleetSource() = default;

    /// All orders in force. Errors: Unavailable.
    virtual Result<FleetDirectives> directives() = 0;

    /// Returns when something has changed after `version`, or after `wait`. Errors: Unavailable.
    virtual Result<bool> waitForChange(RowVersion version, Duration wait) = 0;

    /// Tells the operators how far a wave is. False: not stored.
    [[nodiscard]] virtual bool report(std::int64_t wave, bool isCompleted) = 0;

    /// Workers of all pools that have registered. Errors: Unavailable.
    virtual Result<std::vector<WorkerDescription>> workers() = 0;
};

} // namespace rattanrack::jobs
