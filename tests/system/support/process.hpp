#pragma once

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace savorymount::tests
{

/// One started program; its output goes to a file. Killed when the object is destroyed.
class process
{
public:
    process(std::string const& program, std::vector<std::string> const& arguments);
    ~process();
    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;
    process(process const&) = delete;
    process& operator=(process const&) = delete;

    /// Waits until the output has `key=value` with this key behind `marker`, and returns the value.
    std::string wait_for_field(std::string const& marker, std::string const& key) const;

    std::string output() const;
    /// False, and nothing is sent, once the end was waited for.
    bool send_signal(int number) const;

    /// Waits for the end and returns the exit code, or minus the signal's number.
    int wait();

    bool running();

    /// Highest resident memory since the start, in bytes; 0 if it is not known.
    std::size_t peak_resident_bytes() const;

    /// Descriptors that it has open; 0 if that is not known.
    std::size_t open_descriptors() const;

private:
    pid_t pid_ = -1;
    std::string output_path_;
};

} // namespace savorymount::tests
