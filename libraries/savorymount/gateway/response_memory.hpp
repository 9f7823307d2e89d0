#pragma once

#include <savorymount/base/byte_account.hpp>

#include <cstddef>
#include <string>

namespace savorymount::gateway
{

/// Limits on the responses that the gateway holds in memory, in bytes.
struct response_limits
{
    /// Body of one response that is not a stream.
    std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
    /// One event of a stream, including the part of it that has arrived so far.
    std::size_t max_event_bytes = std::size_t{256} * 1024;
    /// Bodies and incomplete events of all requests of the process.
    std::size_t max_total_bytes = std::size_t{24} * 1024 * 1024;

    bool operator==(response_limits const&) const = default;
};

/// Counts the memory that the responses of all requests occupy. An upstream that sends without end
/// must not exhaust the memory of the process, also when it does so on many connections.
class response_memory
{
public:
    explicit response_memory(response_limits limits)
        : limits_(limits), account_(limits.max_total_bytes)
    {
    }

    response_limits const& limits() const { return limits_; }
    std::size_t used_bytes() const { return account_.used_bytes(); }

    /// The part of the memory that one response occupies. It is returned on destruction.
    class share : public base::byte_account::share
    {
    public:
        explicit share(response_memory& owner) : base::byte_account::share(owner.account_) {}
    };

private:
    response_limits limits_;
    base::byte_account account_;
};

/// Error texts that name the limit and the setting that raises it.
std::string body_too_large(response_limits const& limits);
std::string event_too_large(response_limits const& limits);
std::string responses_too_large(response_limits const& limits);

} // namespace savorymount::gateway
