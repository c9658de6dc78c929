#pragma once

#include <sys/types.h>

#include <optional>
#include <string>

namespace rattanrack::tools {

/// A daemon as a process of its own. What it writes goes to DIR/NAME.log, without what an earlier one wrote.
class Daemon {
public:
    /// `settings` is the text of its settings file, DIR/NAME.yaml.
    Daemon(std::string program, const std::string& directory, std::string name, const std::string& settings);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    const std::string& name() const { return m_name; }
    const std::string& logPath() const { return m_logPath; }
    pid_t process() const { return m_process; }

    /// False when the program can't be started.
    bool start();
    void signal(int number) const;

    /// Its wait status, once, when it has ended since the last call.
    std::optional<int> takeEnd();

private:
    std::string m_program;
    std::string m_name;
    std::string m_settingsPath;
    std::string m_logPath;
    pid_t m_process { 0 }; ///< 0: not running.
};

} // namespace rattanrack::tools
