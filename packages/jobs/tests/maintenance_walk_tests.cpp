#include "rattanrack/jobs/maintenance_scheduler.h"
#include "walk_seeds.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;
using namespace std::chrono_literals;

namespace {

constexpr Duration tickLength = 100ms;
constexpr Duration maintenanceTime = 2s;
constexpr Duration longestLag = 2500ms; ///< Of the list behind the machines.
constexpr Duration longestAnswer = 4s; ///< Of a slow list.
constexpr Duration timeToStay = 8s; ///< A machine that exists this long after its wave was completed stays.

/// Machines that come, go and are replaced while waves name them, a list of machines that is late, old or out of reach,
/// and owners that are replaced. A wave must not be shown as completed while a machine of it that stays has not begun.
class MaintenanceWalk {
public:
    explicit MaintenanceWalk(std::uint64_t seed)
        : m_random(seed)
    {
        for (int number = 0; number < 12; ++number)
            addMachine();
        beginOwner();
    }

    void run(Duration time, bool hasFaults)
    {
        for (const TimePoint until = m_now + time; m_now < until; m_now += tickLength)
            tick(hasFaults);
    }

    const std::vector<std::string>& violations() const { return m_violations; }

    /// Machines that exist and whose maintenance has not begun although a wave names them, and waves that are active.
    int unfinished() const
    {
        int count = 0;
        for (const auto& [number, wave] : m_waves) {
            const auto stored = m_stored.find(number);
            count += stored == m_stored.end() || !stored->second.isCompleted ? 1 : 0;
            for (const MachineId& machine : wave.machines)
                count += m_machines.contains(machine) && !m_begun.contains({ number, machine }) ? 1 : 0;
        }
        return count;
    }

private:
    struct PendingList {
        std::vector<Machine> machines;
        TimePoint requestedAt {};
        TimePoint arrivesAt {};
    };
    struct Completion {
        std::int64_t wave { 0 };
        TimePoint at {};
        std::vector<MachineId> notBegun;
    };

    bool happens(double perSecond)
    {
        const double probability = perSecond * std::chrono::duration<double>(tickLength).count();
        return std::uniform_real_distribution<> {}(m_random) < probability;
    }
    Duration randomUpTo(Duration longest)
    {
        return Duration { std::uniform_int_distribution<std::int64_t> { 0, longest.count() }(m_random) };
    }
    std::int64_t unixMs() const { return m_now.time_since_epoch().count() / 1000; }

    void addMachine()
    {
        const std::string name = "m" + std::to_string(++m_lastMachine);
        m_machines[MachineId { name }] = { MachineId { name }, PoolId { "standby" }, MachineState::Up, "a", "r",
            { Millicores { 16000 }, {}, {} }, WorkerId { name + "-1" } };
    }

    void removeMachine()
    {
        if (m_machines.empty())
            return;
        const auto index = std::uniform_int_distribution<std::size_t> { 0, m_machines.size() - 1 }(m_random);
        m_machines.erase(std::next(m_machines.begin(), static_cast<std::ptrdiff_t>(index)));
    }

    /// Names some machines, the newest ones above all.
    void orderWave()
    {
        MaintenanceWave wave { ++m_lastWave, {}, 30s, 2 };
        std::vector<MachineId> all;
        for (const auto& [id, machine] : m_machines)
            all.push_back(id);
        std::sort(all.begin(), all.end(), [](const MachineId& left, const MachineId& right) {
            return std::pair { left.value().size(), left } > std::pair { right.value().size(), right };
        });
        const auto most = std::min<std::size_t>(all.size(), 3);
        const bool areAll = std::uniform_real_distribution<> {}(m_random) < 0.1;
        wave.machines.assign(all.begin(), areAll ? all.end() : all.begin() + static_cast<std::ptrdiff_t>(most));
        m_waves.emplace(wave.number, wave);
        sendWaves();
    }

    void sendWaves()
    {
        std::vector<MaintenanceWave> waves;
        for (const auto& [number, wave] : m_waves)
            waves.push_back(wave);
        m_scheduler->setWaves(waves, unixMs(), m_now);
    }

    void beginOwner()
    {
        std::vector<WaveProgress> stored;
        for (const auto& [number, progress] : m_stored)
            stored.push_back(progress);
        m_scheduler = std::make_unique<MaintenanceScheduler>(std::move(stored), m_now + 500ms);
        m_lists.clear();
        sendWaves();
    }

    void injectFaults()
    {
        if (happens(0.3))
            addMachine();
        if (happens(0.15))
            removeMachine();
        if (happens(0.1)) {
            removeMachine();
            addMachine();
        }
        if (happens(0.25))
            orderWave();
        if (happens(0.08))
            m_listAwayUntil = m_now + randomUpTo(8s);
        if (happens(0.08))
            m_listSlowUntil = m_now + randomUpTo(8s);
        if (happens(0.06))
            beginOwner();
    }

    void tick(bool hasFaults)
    {
        if (hasFaults)
            injectFaults();
        for (auto& [id, machine] : m_machines) {
            const auto down = m_downUntil.find(id);
            if (machine.state == MachineState::Maintenance && m_now >= down->second) {
                machine.state = MachineState::Up;
                machine.worker = WorkerId { id.value() + "-" + std::to_string(++m_lastWorker) };
            }
        }
        m_history.push_back({ m_now, m_machines });
        while (m_history.front().first < m_now - longestLag)
            m_history.pop_front();
        readList(hasFaults);
        advance();
        checkCompletions();
    }

    void readList(bool hasFaults)
    {
        if (!m_lists.empty() && m_now >= m_lists.front().arrivesAt) {
            m_scheduler->setMachines(m_lists.front().machines, m_lists.front().requestedAt, m_now);
            m_lists.pop_front();
        }
        if (!m_lists.empty() || m_now < m_listAwayUntil)
            return;
        const Duration lag = hasFaults ? randomUpTo(longestLag) : Duration {};
        const auto shown = std::find_if(
            m_history.begin(), m_history.end(), [&](const auto& each) { return each.first >= m_now - lag; });
        PendingList list { {}, m_now, m_now + (m_now < m_listSlowUntil ? randomUpTo(longestAnswer) : 300ms) };
        for (const auto& [id, machine] : shown->second)
            list.machines.push_back(machine);
        m_lists.push_back(std::move(list));
    }

    void advance()
    {
        MaintenanceOutput output = m_scheduler->advance(m_now, unixMs());
        for (const WaveProgress& progress : output.changedProgress) {
            const bool wasCompleted = std::exchange(m_stored[progress.number], progress).isCompleted;
            if (progress.isCompleted && !wasCompleted)
                recordCompletion(progress.number);
        }
        for (const MaintenanceCommand& command : output.commands)
            m_scheduler->onResult(command, execute(command), m_now);
    }

    MachineCommandStatus execute(const MaintenanceCommand& command)
    {
        const auto found = m_machines.find(command.machine);
        if (found == m_machines.end())
            return MachineCommandStatus::Impossible;
        if (m_begun.contains({ command.wave, command.machine }))
            return MachineCommandStatus::Done;
        if (found->second.state != MachineState::Up)
            return MachineCommandStatus::Busy;
        m_begun.insert({ command.wave, command.machine });
        found->second.state = MachineState::Maintenance;
        found->second.worker = WorkerId {};
        m_downUntil[command.machine] = m_now + maintenanceTime;
        return MachineCommandStatus::Done;
    }

    void recordCompletion(std::int64_t number)
    {
        Completion completion { number, m_now, {} };
        for (const MachineId& machine : m_waves.at(number).machines) {
            if (m_machines.contains(machine) && !m_begun.contains({ number, machine }))
                completion.notBegun.push_back(machine);
        }
        if (!completion.notBegun.empty())
            m_completions.push_back(std::move(completion));
    }

    void checkCompletions()
    {
        while (!m_completions.empty() && m_now - m_completions.front().at >= timeToStay) {
            for (const MachineId& machine : m_completions.front().notBegun) {
                if (m_machines.contains(machine))
                    m_violations.push_back("wave " + std::to_string(m_completions.front().wave)
                        + " was completed before " + machine.value() + " had begun");
            }
            m_completions.pop_front();
        }
    }

    std::mt19937_64 m_random;
    TimePoint m_now { 1000s };
    std::map<MachineId, Machine> m_machines;
    std::map<MachineId, TimePoint> m_downUntil;
    std::deque<std::pair<TimePoint, std::map<MachineId, Machine>>> m_history;
    std::map<std::int64_t, MaintenanceWave> m_waves;
    std::map<std::int64_t, WaveProgress> m_stored;
    std::set<std::pair<std::int64_t, MachineId>> m_begun;
    std::unique_ptr<MaintenanceScheduler> m_scheduler;
    std::deque<PendingList> m_lists;
    std::deque<Completion> m_completions;
    TimePoint m_listAwayUntil {};
    TimePoint m_listSlowUntil {};
    int m_lastMachine { 0 };
    int m_lastWorker { 1 };
    std::int64_t m_lastWave { 0 };
    std::vector<std::string> m_violations;
};

} // namespace

TEST(MaintenanceWalk, NoWaveIsCompletedBeforeItsMachinesHaveBegun)
{
    for (const int seed : WalkSeeds { 40 }.chosen()) {
        MaintenanceWalk walk { static_cast<std::uint64_t>(seed) };
        walk.run(60s, true);
        walk.run(180s, false);
        EXPECT_EQ(walk.unfinished(), 0) << "seed " << seed;
        for (const std::string& violation : walk.violations())
            ADD_FAILURE() << "seed " << seed << ": " << violation;
    }
}
