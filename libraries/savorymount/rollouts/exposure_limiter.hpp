#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace savorymount::rollouts
{

/// Bounds the requests of one instance that go to a version which is not judged yet, to a share of
/// its own requests on each route. The sum over all instances keeps the share, whatever they hear
/// of each other.
///
/// A counter decides and no coin, so that the bound needs no margin for chance. Requests that can't
/// be held back, such as the rest of a stream, count and delay the next ones.
class exposure_limiter
{
public:
    /// `share` of all requests may go to the target, and `credit` requests more.
    exposure_limiter(double share, double credit) : share_(share), credit_(credit) {}

    /// Whether the next request of the route may go to the target.
    bool permits(std::string const& route) const;
    /// A request was sent.
    void record(std::string const& route, bool to_target);

    double share() const { return share_; }
    std::uint64_t target_requests() const { return total_.to_target; }
    std::uint64_t requests() const { return total_.requests; }

private:
    struct counts
    {
        std::uint64_t requests = 0;
        std::uint64_t to_target = 0;
    };

    bool is_within(counts const& it, double credit) const;

    double share_;
    double credit_;
    counts total_;
    std::map<std::string, counts> by_route_;
};

} // namespace savorymount::rollouts
