#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/retries/upstream_loss.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace savorymount::retries
{

struct crash_attribution_options
{
    /// How long a loss counts, and how long its cause is refused.
    base::duration memory = std::chrono::minutes(10);
    /// A response that was completed so long before a loss still shows that a part is sound.
    base::duration completion_window = std::chrono::seconds(2);
    /// An upstream that responds to a new request within this time after a loss did not crash.
    /// Restarts take longer.
    base::duration restart_time = std::chrono::seconds(1);
    /// Losses within this time of each other may have one cause outside of the requests.
    base::duration incident_time = std::chrono::milliseconds(250);
    /// Fewer would often be met by a rare sound part that shared the lost upstreams.
    std::size_t min_upstreams = 4;
    std::size_t min_requests = 3;
    std::size_t min_incidents = 2;
    /// A request with a possible cause that was lost on so many upstreams is not retried.
    std::size_t min_upstreams_to_stop_retries = 2;
    std::size_t max_losses = 256;
    std::size_t max_completions = 16'384;
};

/// Prompt parts that crash upstreams whenever a prompt has all of them.
struct crash_cause
{
    /// Digests, sorted.
    std::vector<std::uint64_t> parts;
    std::size_t upstreams = 0;
    /// Time of the latest loss that it explains.
    base::time_point last_loss_at{};

    bool operator==(crash_cause const&) const = default;
};

/// Finds the prompt parts that crash upstreams from the losses and completed responses of all
/// instances. A part is the cause if upstreams were lost while they ran different requests with it
/// and no response to such a request was completed. The other requests on a lost upstream share the
/// loss, and the cause's requests share their other parts with sound ones; completed responses
/// clear these parts.
class crash_attribution
{
public:
    crash_attribution() = default;
    explicit crash_attribution(crash_attribution_options const& options) : options_(options) {}

    /// Records a loss. The same loss may be recorded repeatedly; parts that are missing in a
    /// repetition were cleared elsewhere. `is_local` is false for reports of other instances.
    void record_loss(base::time_point now, base::time_point lost_at, upstream_loss loss,
                     bool is_local = true);
    /// Records that a response to a prompt with these parts was completed. `is_local` is false for
    /// reports of other instances.
    void record_completion(base::time_point now, base::time_point completed_at,
                           std::vector<std::uint64_t> const& parts, bool is_local = true);
    /// Records that the upstream responded to a request that was sent at `sent_at`.
    void record_response(base::time_point now, base::time_point sent_at,
                         std::string const& upstream);

    /// The cause that a prompt contains and the time until it is accepted again; empty if it is
    /// accepted. `parts` may be unsorted.
    std::optional<std::pair<crash_cause, base::duration>>
    find_cause(base::time_point now, std::vector<std::uint64_t> const& parts);
    /// Whether a prompt that has lost an upstream should not be sent to another one.
    bool may_crash_again(base::time_point now, std::vector<std::uint64_t> const& parts);

    /// Causes that are refused now.
    std::vector<crash_cause> const& causes(base::time_point now);
    /// Calls back when a cause is refused from now on, or no longer.
    void on_cause_changed(std::function<void(crash_cause const&, bool refused)> callback)
    {
        cause_changed_ = std::move(callback);
    }

    /// Losses to report to other instances, with their ages: recent ones and those of causes.
    std::vector<std::pair<base::duration, upstream_loss>> reportable_losses(base::time_point now,
                                                                            std::size_t max_count);
    /// Parts of losses that completed a response here recently, with the ages of the responses.
    std::vector<std::pair<base::duration, std::uint64_t>>
    reportable_completions(base::time_point now, std::size_t max_count);

    std::size_t loss_count() const { return losses_.size(); }
    std::size_t completion_count() const { return completed_at_.size(); }

private:
    struct loss_record
    {
        upstream_loss loss;
        base::time_point lost_at{};
        base::time_point recorded_at{};
        bool is_local = true;
        /// Parts that no completed response has cleared.
        std::vector<std::uint64_t> suspected;
        /// The upstream did not crash.
        bool withdrawn = false;
        bool explained_by_cause = false;
    };

    /// The losses that a part could explain.
    struct candidate
    {
        std::vector<std::uint64_t> parts;
        std::set<std::string> upstreams;
        std::set<std::uint64_t> requests;
        std::size_t losses = 0;
        std::size_t incidents = 0;
        base::time_point last_loss_at{};
    };

    void clear_part(base::time_point now, std::uint64_t part, base::time_point completed_at,
                    bool is_local);
    void narrow(loss_record& known, upstream_loss const& repeated);
    void remember_completion(std::uint64_t part, base::time_point completed_at);
    void remove_expired(base::time_point now);
    void make_room();
    void find_causes();
    candidate make_candidate(std::vector<loss_record const*> const& losses,
                             std::set<std::string> const& explained) const;
    void mark_explained(candidate const& cause);
    bool is_cause(candidate const& it) const;
    void update(base::time_point now);
    /// Appends losses with which another instance finds the same cause.
    void append_evidence(crash_cause const& cause, std::vector<loss_record const*>& out) const;
    void announce_changes(std::vector<crash_cause> const& previous);

    crash_attribution_options options_;
    std::deque<loss_record> losses_;
    /// At least the parts that are suspected in `losses_`.
    std::unordered_set<std::uint64_t> suspected_parts_;
    base::time_point last_recorded_at_{};
    /// Latest completed response of a part within the completion window.
    std::unordered_map<std::uint64_t, base::time_point> completed_at_;
    std::deque<std::pair<base::time_point, std::uint64_t>> completion_order_;
    /// Completions of this instance that cleared a part, for the reports to the others.
    std::deque<std::pair<base::time_point, std::uint64_t>> local_clearances_;
    std::vector<crash_cause> causes_;
    /// Parts of requests that are not retried.
    std::vector<std::vector<std::uint64_t>> suspects_;
    std::function<void(crash_cause const&, bool refused)> cause_changed_;
    bool outdated_ = false;
    /// Number of reports; another cause comes first in each.
    std::size_t reports_ = 0;
};

} // namespace savorymount::retries
