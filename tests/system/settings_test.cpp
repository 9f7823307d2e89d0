#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <optional>
#include <tests/system/support/platform_deployment.hpp>

namespace savorymount::tests
{
namespace
{

using std::chrono::duration;
using std::chrono::steady_clock;

using settings = std::map<std::string, std::string>;

std::size_t count_of(std::string const& text, std::string const& part)
{
    std::size_t out = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++out;
    return out;
}

std::string line_of(std::string const& setting, std::string const& before, std::string const& after)
{
    return "name=setting_changed setting=" + setting + " before=" + before + " after=" + after +
           " in_force=true";
}

/// One gateway whose settings file changes while it runs.
class settings_test : public testing::Test
{
protected:
    void start(settings const& first, std::size_t engines = 2)
    {
        system.emplace(1, std::vector<std::string>{}, first, engines);
    }

    /// Replaces the file and waits for the line of the change.
    void change(settings const& next, std::string const& line)
    {
        system->write_settings(next);
        system->wait_for_line(0, line);
    }

    process& gateway() { return system->gateway(0); }

    /// Seconds from now until the process has ended.
    double seconds_to_the_end()
    {
        auto const begin = steady_clock::now();
        gateway().wait();
        return duration<double>(steady_clock::now() - begin).count();
    }

    /// Whether a stream that its engine breaks off is tried on the other engine.
    bool retries()
    {
        for (;;)
        {
            for (char const* it : {"engine-0", "engine-1"})
                system->control({{"break_off", it}});
            auto const id = "broken-" + std::to_string(++requests_);
            auto headers = system->headers(id, "key-a");
            // Parts that several broken streams share would be refused.
            for (auto& it : headers)
                if (it.name == "X-Prompt-Prefix")
                    it.value = "part-" + id + ":200";
            auto const answer =
                system->client.start(system->http(0), "POST", "/p/chat", headers, "text of " + id);
            system->client.wait({answer});
            auto const state = system->state();
            auto const runs = state["engine-0"]["executions"].count(id) +
                              state["engine-1"]["executions"].count(id);
            if (runs > 0)
                return runs > 1;
            usleep(200'000);
        }
    }

    void wait_for_retries()
    {
        system->wait_until(
            [this]
            {
                usleep(200'000);
                return retries();
            });
    }

    /// Of `count` bookings that are sent one after the other, those that were accepted.
    int accepted_bookings(int count, std::string const& key = "key-a")
    {
        int out = 0;
        for (int i = 0; i < count; ++i)
            out += system->book(0, "booking-" + std::to_string(++requests_), key).status == 200;
        return out;
    }

    double metric(std::string const& name)
    {
        auto const text = system->client.request(system->metrics(0), "GET", "/metrics").body;
        auto const at = text.find("\n" + name + " ");
        return at == std::string::npos ? 0 : std::stod(text.substr(at + name.size() + 2));
    }

    double seconds_of_rollout(int version)
    {
        auto const begin = steady_clock::now();
        system->control({{"weights", version}});
        system->wait_until(
            [&]
            {
                auto const state = system->state();
                return std::count_if(state.begin(), state.end(),
                                     [&](auto const& it)
                                     { return it["version"] == version; }) == engines_in_rollout;
            });
        return duration<double>(steady_clock::now() - begin).count();
    }

    static constexpr int engines_in_rollout = 12;

    std::optional<platform_deployment> system;

private:
    int requests_ = 0;
};

// Guards against a SIGHUP that is ignored, so that a stop ends by the former time.
TEST_F(settings_test, grace_s_takes_effect_at_sighup)
{
    start({{"SAVORYMOUNT_GRACE_S", "4"}});
    system->write_settings({{"SAVORYMOUNT_GRACE_S", "7"}});
    gateway().send_signal(SIGHUP);
    system->wait_for_line(0, line_of("grace-s", "4", "7"));
    system->platform().send_signal(SIGSTOP);
    auto const answer = system->start_booking(0, "without-answer");
    system->client.run_until(
        [&, until = system->client.loop().now() + std::chrono::milliseconds(300)]
        { return system->client.loop().now() > until; });
    gateway().send_signal(SIGTERM);
    EXPECT_GT(seconds_to_the_end(), 5.5);
    EXPECT_EQ(count_of(gateway().output(), "name=setting_changed"), 1U);
}

// Guards against a changed file that is ignored without a signal, or taken into use late.
TEST_F(settings_test, grace_s_takes_effect_within_a_second_of_a_change_of_the_file)
{
    start({{"SAVORYMOUNT_GRACE_S", "60"}});
    system->platform().send_signal(SIGSTOP);
    auto const answer = system->start_booking(0, "without-answer");
    system->client.run_until(
        [&, until = system->client.loop().now() + std::chrono::milliseconds(300)]
        { return system->client.loop().now() > until; });
    auto const begin = steady_clock::now();
    change({{"SAVORYMOUNT_GRACE_S", "4"}}, line_of("grace-s", "60", "4"));
    EXPECT_LT(duration<double>(steady_clock::now() - begin).count(), 1);
    gateway().send_signal(SIGTERM);
    EXPECT_LT(seconds_to_the_end(), 8);
}

// Guards against a list of upstreams that is read too seldom for a shorter time to drain.
TEST_F(settings_test, drain_ms_changes_how_often_the_list_of_upstreams_is_read)
{
    start({{"SAVORYMOUNT_DRAIN_MS", "4000"}});
    auto const reads_in_2_s = [this]
    {
        auto const before = metric("savorymount_store_answers_total");
        usleep(2'000'000);
        return metric("savorymount_store_answers_total") - before;
    };
    auto const before = reads_in_2_s();
    change({{"SAVORYMOUNT_DRAIN_MS", "200"}}, line_of("drain-ms", "4000", "200"));
    EXPECT_GT(reads_in_2_s(), before + 10);
}

// Guards against outdated weights that are used for longer than the changed setting allows.
TEST_F(settings_test, version_ms_bounds_the_use_of_outdated_weights)
{
    start({{"SAVORYMOUNT_VERSION_MS", "60000"}});
    system->control({{"orders", "refused"}, {"weights", 2}});
    system->wait_for_line(0, "model=crew version=2");
    usleep(1'500'000);
    auto const before = system->prompt(0, "before");
    system->client.wait({before});
    EXPECT_EQ(before->header("X-Weight-Versions"), "1") << before->status << before->body;
    change({{"SAVORYMOUNT_VERSION_MS", "1000"}}, line_of("version-ms", "60000", "1000"));
    auto const after = system->prompt(0, "after");
    system->client.wait({after});
    EXPECT_EQ(after->status, 503) << after->body;
}

// Guards against a retry budget that is the one of the start.
TEST_F(settings_test, retry_ratio_allows_retries_by_the_number_of_requests)
{
    start({{"SAVORYMOUNT_RETRY_RATIO", "0"}, {"SAVORYMOUNT_RETRY_SLACK", "0"}});
    EXPECT_FALSE(retries());
    change({{"SAVORYMOUNT_RETRY_RATIO", "10"}, {"SAVORYMOUNT_RETRY_SLACK", "0"}},
           line_of("retry-ratio", "0", "10"));
    wait_for_retries();
}

// Guards against a retry budget that is the one of the start.
TEST_F(settings_test, retry_slack_allows_retries_at_any_load)
{
    start({{"SAVORYMOUNT_RETRY_RATIO", "0"}, {"SAVORYMOUNT_RETRY_SLACK", "0"}});
    EXPECT_FALSE(retries());
    change({{"SAVORYMOUNT_RETRY_RATIO", "0"}, {"SAVORYMOUNT_RETRY_SLACK", "100"}},
           line_of("retry-slack", "0", "100"));
    wait_for_retries();
}

// Guards against retries that count for as long as the setting of the start says.
TEST_F(settings_test, retry_window_s_ends_how_long_a_retry_counts)
{
    // One retry for an instance that counts on three others.
    settings const one{{"SAVORYMOUNT_RETRY_RATIO", "0"},
                       {"SAVORYMOUNT_RETRY_SLACK", "8"},
                       {"SAVORYMOUNT_RETRY_WINDOW_S", "3600"}};
    start(one);
    EXPECT_TRUE(retries());
    EXPECT_FALSE(retries());
    auto shorter = one;
    shorter["SAVORYMOUNT_RETRY_WINDOW_S"] = "1";
    change(shorter, line_of("retry-window-s", "3600", "1"));
    wait_for_retries();
}

// Guards against a limit of a workspace that is counted over the interval of the start.
TEST_F(settings_test, quota_window_s_changes_what_a_workspace_may_use)
{
    // The workspace may use 10 tokens a second and 10 at once; a booking takes 308. One beyond the
    // whole limit is accepted when nothing else was used in the window.
    start({{"SAVORYMOUNT_QUOTA_WINDOW_S", "600"}});
    EXPECT_EQ(accepted_bookings(15, "key-limited"), 15);
    change({{"SAVORYMOUNT_QUOTA_WINDOW_S", "1"}}, line_of("quota-window-s", "600", "1"));
    usleep(1'500'000);
    EXPECT_EQ(accepted_bookings(5, "key-limited"), 1);
    change({{"SAVORYMOUNT_QUOTA_WINDOW_S", "600"}}, line_of("quota-window-s", "1", "600"));
    EXPECT_EQ(accepted_bookings(15, "key-limited"), 15);
}

// Guards against a rollout at the speed of the start.
TEST_F(settings_test, loading_at_once_changes_the_speed_of_a_rollout)
{
    start({{"SAVORYMOUNT_LOADING_AT_ONCE", "1"}}, engines_in_rollout);
    seconds_of_rollout(2);
    auto const one_by_one = seconds_of_rollout(3);
    change({{"SAVORYMOUNT_LOADING_AT_ONCE", "12"}}, line_of("loading-at-once", "1", "12"));
    EXPECT_LT(seconds_of_rollout(4), one_by_one / 2);
}

// Guards against a log that keeps its former limit, and against a change of it without a line.
TEST_F(settings_test, log_lines_changes_how_much_is_logged)
{
    auto const logged = [this]
    {
        auto const before = count_of(gateway().output(), "name=request_answered");
        accepted_bookings(60);
        return count_of(gateway().output(), "name=request_answered") - before;
    };
    start({{"SAVORYMOUNT_LOG_LINES", "4"}});
    EXPECT_LT(logged(), 30U);
    change({{"SAVORYMOUNT_LOG_LINES", "10000"}}, line_of("log-lines", "4", "10000"));
    EXPECT_EQ(logged(), 60U);
    change({{"SAVORYMOUNT_LOG_LINES", "4"}}, line_of("log-lines", "10000", "4"));
    EXPECT_LT(logged(), 30U);
}

// Guards against a file with a fault that changes some settings, ends the process, is reported
// again and again, or keeps later changes from being used.
TEST_F(settings_test, a_file_that_cannot_be_read_changes_nothing_and_is_reported_once)
{
    settings const none{{"SAVORYMOUNT_RETRY_RATIO", "0"}, {"SAVORYMOUNT_RETRY_SLACK", "0"}};
    start(none);
    change({{"SAVORYMOUNT_RETRY_SLACK", "100"}, {"SAVORYMOUNT_GRACE_S", "none"}},
           "name=settings_unreadable");
    gateway().send_signal(SIGHUP);
    system->wait_until([this] { return metric("savorymount_settings_rejected_total") == 2; });
    usleep(1'500'000);
    EXPECT_FALSE(retries());
    auto const log = gateway().output();
    // One line for the file and one for the signal.
    EXPECT_EQ(count_of(log, "name=settings_unreadable"), 2U);
    EXPECT_NE(log.find("setting grace-s is"), std::string::npos) << log;
    EXPECT_EQ(metric("savorymount_settings_rejected_total"), 2);
    EXPECT_EQ(count_of(log, "name=setting_changed"), 0U);
    change({{"SAVORYMOUNT_RETRY_RATIO", "0"}, {"SAVORYMOUNT_RETRY_SLACK", "100"}},
           line_of("retry-slack", "0", "100"));
    wait_for_retries();
}

// Guards against a change that needs a restart and that nobody is told of.
TEST_F(settings_test, a_change_that_needs_a_restart_is_reported)
{
    start({{"SAVORYMOUNT_LEASE_MS", "3000"}});
    change({{"SAVORYMOUNT_LEASE_MS", "4000"}},
           "name=setting_changed setting=lease-ms before=3000 after=4000 in_force=false");
}

} // namespace
} // namespace savorymount::tests
