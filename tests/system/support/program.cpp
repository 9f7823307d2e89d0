#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <sys/wait.h>
#include <tests/system/support/program.hpp>
#include <unistd.h>

namespace savorymount::tests
{
namespace
{

constexpr int exec_failed_code = 127;
constexpr int signal_base = 128;

} // namespace

program::program(std::string const& name, std::vector<std::string> const& arguments)
{
    std::string const path = std::string(SAVORYMOUNT_PROGRAM_FOLDER) + "/" + name;
    std::vector<char*> argv;
    argv.push_back(const_cast<char*>(path.c_str()));
    for (auto const& it : arguments)
        argv.push_back(const_cast<char*>(it.c_str()));
    argv.push_back(nullptr);
    int ends[2] = {-1, -1};
    if (pipe2(ends, O_CLOEXEC) != 0)
        std::abort();
    process_ = fork();
    if (process_ == 0)
    {
        dup2(ends[1], STDOUT_FILENO);
        execv(path.c_str(), argv.data());
        _exit(exec_failed_code);
    }
    close(ends[1]);
    output_ = ends[0];
}

program::~program()
{
    if (!ended_)
    {
        send_signal(SIGKILL);
        wait();
    }
    close(output_);
}

std::string program::read_line()
{
    std::size_t end = 0;
    while ((end = buffered_.find('\n')) == std::string::npos)
    {
        char buf[4096];
        ssize_t const n = read(output_, buf, sizeof(buf));
        if (n <= 0)
            return "";
        buffered_.append(buf, static_cast<std::size_t>(n));
    }
    std::string out = buffered_.substr(0, end);
    buffered_.erase(0, end + 1);
    return out;
}

std::uint16_t program::read_port()
{
    std::string const line = read_line();
    auto const place = line.find("port=");
    if (place == std::string::npos)
        return 0;
    return static_cast<std::uint16_t>(std::strtoul(line.c_str() + place + 5, nullptr, 10));
}

void program::send_signal(int number) const
{
    if (!ended_)
        kill(process_, number);
}

int program::wait()
{
    if (ended_)
        return status_;
    int raw = 0;
    waitpid(process_, &raw, 0);
    ended_ = true;
    status_ = WIFSIGNALED(raw) ? signal_base + WTERMSIG(raw) : WEXITSTATUS(raw);
    return status_;
}

} // namespace savorymount::tests
