#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <tests/system/support/output_line.hpp>
#include <tests/system/support/process.hpp>
#include <thread>
#include <unistd.h>
#include <utility>

extern char** environ;

namespace savorymount::tests
{
namespace
{

using namespace std::chrono_literals;

// Only ends a test that hangs; far above what a loaded machine needs.
constexpr auto start_limit = 120s;

std::optional<std::string> find_field(std::string const& text, std::string const& marker,
                                      std::string const& key)
{
    auto const start = text.find(marker);
    if (start == std::string::npos)
        return std::nullopt;
    auto const end = text.find('\n', start);
    if (end == std::string::npos)
        return std::nullopt;
    return value_in_line(text.substr(start, end - start), key);
}

} // namespace

process::process(std::string const& program, std::vector<std::string> const& arguments)
{
    char path[] = "/tmp/savorymount-test-XXXXXX";
    int const output = mkstemp(path);
    output_path_ = path;
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, output, STDERR_FILENO);
    std::string const file = std::string(SAVORYMOUNT_PROGRAM_FOLDER) + "/" + program;
    std::vector<char*> argv{const_cast<char*>(file.c_str())};
    for (auto const& it : arguments)
        argv.push_back(const_cast<char*>(it.c_str()));
    argv.push_back(nullptr);
    int const ec = posix_spawn(&pid_, file.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(output);
    if (ec != 0)
        throw std::runtime_error("cannot start " + file);
}

process::~process()
{
    if (pid_ > 0)
    {
        kill(pid_, SIGKILL);
        kill(pid_, SIGCONT);
        wait();
    }
    if (!output_path_.empty() && std::getenv("SAVORYMOUNT_KEEP_LOGS") == nullptr)
        unlink(output_path_.c_str());
}

process::process(process&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)), output_path_(std::exchange(other.output_path_, {}))
{
}

process& process::operator=(process&& other) noexcept
{
    std::swap(pid_, other.pid_);
    std::swap(output_path_, other.output_path_);
    return *this;
}

std::string process::wait_for_field(std::string const& marker, std::string const& key) const
{
    auto const limit = std::chrono::steady_clock::now() + start_limit;
    while (std::chrono::steady_clock::now() < limit)
    {
        if (auto value = find_field(output(), marker, key))
            return *value;
        std::this_thread::sleep_for(5ms);
    }
    throw std::runtime_error("no " + key + " behind " + marker + " in: " + output());
}

std::string process::output() const
{
    std::ifstream file(output_path_);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

bool process::send_signal(int number) const
{
    // kill(-1) would reach every process of this user.
    return pid_ > 0 && kill(pid_, number) == 0;
}

int process::wait()
{
    if (pid_ <= 0)
        return 0;
    int status = 0;
    waitpid(std::exchange(pid_, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

bool process::running()
{
    if (pid_ <= 0)
        return false;
    siginfo_t info{};
    waitid(P_PID, static_cast<id_t>(pid_), &info, WEXITED | WNOHANG | WNOWAIT);
    return info.si_pid == 0;
}

std::size_t process::open_descriptors() const
{
    std::error_code ec;
    std::filesystem::directory_iterator const entries("/proc/" + std::to_string(pid_) + "/fd", ec);
    return ec ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

std::size_t process::peak_resident_bytes() const
{
    std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(in, line);)
    {
        if (line.starts_with("VmHWM:"))
            return std::stoul(line.substr(line.find_first_of("0123456789"))) * 1024;
    }
    return 0;
}

} // namespace savorymount::tests
