#include "daemon.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <utility>

namespace rattanrack::tools {

namespace {

constexpr mode_t logMode = 0644;

} // namespace

Daemon::Daemon(std::string program, const std::string& directory, std::string name, const std::string& settings)
    : m_program(std::move(program))
    , m_name(std::move(name))
    , m_settingsPath(directory + "/" + m_name + ".yaml")
    , m_logPath(directory + "/" + m_name + ".log")
{
    std::ofstream(m_settingsPath) << settings;
    std::filesystem::remove(m_logPath);
}

Daemon::~Daemon()
{
    if (m_process == 0)
        return;
    signal(SIGKILL);
    waitpid(m_process, nullptr, 0);
}

bool Daemon::start()
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(
        &actions, STDOUT_FILENO, m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, logMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::string command = "jobs";
    std::string settings = "--settings=" + m_settingsPath;
    const std::array<char*, 4> arguments { m_program.data(), command.data(), settings.data(), nullptr };
    const int failure = posix_spawn(&m_process, m_program.c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0)
        m_process = 0;
    return failure == 0;
}

void Daemon::signal(int number) const
{
    if (m_process > 0)
        kill(m_process, number);
}

std::optional<int> Daemon::takeEnd()
{
    int status = 0;
    if (m_process == 0 || waitpid(m_process, &status, WNOHANG) != m_process)
        return std::nullopt;
    m_process = 0;
    return status;
}

} // namespace rattanrack::tools
