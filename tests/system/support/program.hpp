#pragma once

#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

namespace savorymount::tests
{

/// A program of this build that runs as a child process. Killed when destroyed.
class program
{
public:
    /// Starts the program `name`; its standard error goes to that of the test.
    program(std::string const& name, std::vector<std::string> const& arguments);
    ~program();
    program(program const&) = delete;
    program& operator=(program const&) = delete;

    /// The next line of standard output, or an empty string once it has ended.
    std::string read_line();

    /// The number after `port=` in the next line; 0 if there is none.
    std::uint16_t read_port();

    void send_signal(int number) const;

    /// Waits for the end of the process; the exit code, or 128 plus the number of the signal.
    int wait();

    pid_t id() const { return process_; }

private:
    pid_t process_;
    int output_;
    bool ended_ = false;
    int status_ = 0;
    std::string buffered_;
};

} // namespace savorymount::tests
