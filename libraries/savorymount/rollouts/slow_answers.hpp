#pragma once

#include <savorymount/base/time.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace savorymount::rollouts
{

/// How long an answer took.
struct answer_times
{
    /// Time to the first event or byte, without the wait that was expected when it was sent.
    base::duration first_event{};
    /// Longest pause between two events; zero if there was none.
    base::duration longest_pause{};

    bool operator==(answer_times const&) const = default;
};

/// Tells whether an answer took several times as long as the usual ones of the other versions. The
/// same limit holds for both versions, so that load which slows both down is not held against one.
class slow_answers
{
public:
    /// Answers with about the same work: the same route and prompt tokens to read within a factor
    /// of two.
    using work_class = std::pair<std::string, unsigned>;
    static work_class class_of(std::string const& route, double prompt_tokens);

    /// Notes an answer of another version than the target.
    void record_usual(work_class const& it, answer_times const& times);
    /// False as long as too few answers of the other versions are known.
    bool is_slow(work_class const& it, answer_times const& times) const;

private:
    struct samples
    {
        std::vector<base::duration> first_events;
        std::vector<base::duration> longest_pauses;
        std::size_t next = 0;
    };

    std::map<work_class, samples> usual_;
};

} // namespace savorymount::rollouts
