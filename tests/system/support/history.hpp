#pragma once

#include <savorymount/base/time.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <tests/system/support/test_client.hpp>
#include <vector>

namespace savorymount::tests
{

/// One call of a caller: when it began and ended, what it cost, and its answer.
struct recorded_call
{
    std::string workspace;
    std::string idempotency_key;
    std::uint64_t tokens = 0;
    std::chrono::steady_clock::time_point began;
    std::chrono::steady_clock::time_point ended;
    std::shared_ptr<caller_answer> answer;
};

/// The calls of a run, and the checks that read nothing but them and the services' own counts.
class history
{
public:
    /// Records a call that has just been sent.
    void add(std::string workspace, std::shared_ptr<caller_answer> answer, std::uint64_t tokens,
             std::string idempotency_key = {});

    /// Notes the end of every call that has its answer now.
    void note_ends();

    std::vector<recorded_call> const& calls() const { return calls_; }

    /// Broken promises: a request that ran twice, a success that did not run, a refusal that says
    /// `not_run` although it ran, two runs for one idempotency key, an error without a statement.
    std::vector<std::string>
    check_executions(std::map<std::string, std::uint64_t> const& executions) const;

    /// Intervals in which one workspace's successful calls cost more than burst + rate x length.
    std::vector<std::string> check_rate(std::string const& workspace, double rate,
                                        double burst) const;

private:
    std::vector<recorded_call> calls_;
};

} // namespace savorymount::tests
