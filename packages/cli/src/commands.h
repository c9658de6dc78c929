#pragma once

#include "admin_client.h"
#include "command_line.h"
#include "exit_code.h"

#include "rattanrack/base/time.h"

#include <functional>
#include <ostream>

namespace rattanrack::cli {

/// Waits between two questions. A test replaces it by a clock that jumps.
class Pause {
public:
    virtual ~Pause() = default;
    virtual TimePoint now() const = 0;
    virtual void sleepFor(Duration duration) = 0;
};

/// The machine's clock and scheduler.
class SystemPause final : public Pause {
public:
    TimePoint now() const override { return m_clock.now(); }
    void sleepFor(Duration duration) override;

private:
    SystemClock m_clock;
};

/// What every command works with.
struct Context {
    const Invocation& invocation;
    AdminClient& client;
    Pause& pause;
    std::ostream& progress; ///< Lines for people while a command waits.
};

Result<Outcome> validate(Context& context);
Result<Outcome> merge(Context& context);
Result<Outcome> compare(Context& context);
Result<Outcome> apply(Context& context);
Result<Outcome> showStatus(Context& context);
Result<Outcome> operate(Context& context);
Result<Outcome> startRollOut(Context& context);
Result<Outcome> steerRollOut(Context& context);
Result<Outcome> explain(Context& context);
Result<Outcome> explainJob(Context& context);
Result<Outcome> reportBurn(Context& context);
Result<Outcome> load(Context& context);

/// Runs the command of `context`. Errors become outcomes.
Outcome runCommand(Context& context);

/// Runs the program: parses `arguments` (without the program's name), runs the command and prints what came of it.
int runProgram(const std::vector<std::string>& arguments, std::ostream& output, std::ostream& progress);

} // namespace rattanrack::cli
