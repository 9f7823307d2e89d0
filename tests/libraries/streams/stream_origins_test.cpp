#include <savorymount/streams/stream_origins.hpp>

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <tests/libraries/seeded_property.hpp>
#include <tests/libraries/time_points.hpp>
#include <utility>
#include <vector>

namespace savorymount::streams
{
namespace
{

using namespace std::chrono_literals;
using tests::at;

constexpr base::duration lifetime = 14s;

std::unique_ptr<stream_origins> make_started(base::time_point now, stored_origins const& stored)
{
    auto out = std::make_unique<stream_origins>();
    out->set_lifetime(lifetime);
    out->add_stored(now, now, stored);
    return out;
}

/// The only version at an instance that has just read the list and the store without news.
std::optional<service_version> only_version_after_reading(stream_origins& it, base::time_point now)
{
    it.upstreams_read(now);
    it.add_stored(now, now, {});
    return it.only_version(now, now, {"engines"});
}

// Guards against refusing streams although all upstreams have the version that began them.
TEST(stream_origins, names_the_only_version_without_any_record)
{
    auto const it = make_started(at(0s), {});
    EXPECT_EQ(only_version_after_reading(*it, at(0s)), std::nullopt);
    it->version_seen(at(0s), "engines", "v1");
    it->stream_began(at(1s), "r", "engines", "v1");
    EXPECT_EQ(only_version_after_reading(*it, at(1s)), (service_version{"engines", "v1"}));
    EXPECT_EQ(it->next_record(at(2s)), std::nullopt);
    EXPECT_TRUE(it->take_unreported(at(2s), 10).empty());
}

// Guards against a stream that goes on at a new version while one of the old one still runs.
TEST(stream_origins, names_no_version_until_the_streams_of_one_that_left_have_ended)
{
    auto const it = make_started(at(0s), {});
    it->version_seen(at(0s), "engines", "v1");
    it->version_seen(at(5s), "engines", "v2");
    EXPECT_EQ(only_version_after_reading(*it, at(14s)), std::nullopt);
    EXPECT_EQ(only_version_after_reading(*it, at(15s)), (service_version{"engines", "v2"}));
}

// Guards against an instance that was out of step and names the only version that it has seen.
TEST(stream_origins, names_no_version_for_a_stream_that_may_be_newer_than_its_view)
{
    auto const it = make_started(at(0s), {});
    it->version_seen(at(0s), "engines", "v1");
    it->upstreams_read(at(1s));
    EXPECT_EQ(it->only_version(at(2s), at(2s), {"engines"}), std::nullopt);
    it->upstreams_read(at(2s));
    EXPECT_EQ(it->only_version(at(2s), at(2s), {"engines"}), std::nullopt);
    it->add_stored(at(2s), at(2s), {});
    EXPECT_EQ(it->only_version(at(2s), at(2s), {"engines"}), (service_version{"engines", "v1"}));
}

// Guards against a version that joined and left while an instance was out of step.
TEST(stream_origins, counts_a_version_that_only_the_record_of_another_instance_names)
{
    auto const it = make_started(at(0s), {});
    it->version_seen(at(8s), "engines", "v1");
    it->upstreams_read(at(8s));
    it->add_stored(at(8s), at(8s), {{}, {{"other", 3, {{"engines", "v2"}}}}, 0});
    EXPECT_EQ(it->only_version(at(8s), at(8s), {"engines"}), std::nullopt);
    // What only others have seen is not recorded again.
    EXPECT_EQ(it->versions(at(8s)), (std::vector<service_version>{{"engines", "v1"}}));
    it->version_seen(at(23s), "engines", "v1");
    it->upstreams_read(at(23s));
    it->add_stored(at(23s), at(23s), {{}, {{"other", 3, {{"engines", "v2"}}}}, 0});
    EXPECT_EQ(it->only_version(at(23s), at(23s), {"engines"}), (service_version{"engines", "v1"}));
}

// Guards against taking the list of a restored store for complete.
TEST(stream_origins, names_no_version_until_the_list_is_certain_again)
{
    auto const it = make_started(at(0s), {});
    it->version_seen(at(0s), "engines", "v1");
    it->upstreams_uncertain(at(5s));
    EXPECT_EQ(only_version_after_reading(*it, at(4s)), std::nullopt);
    EXPECT_EQ(only_version_after_reading(*it, at(5s)), (service_version{"engines", "v1"}));
}

// Guards against a process that takes the versions that serve now for those that served before it.
TEST(stream_origins, a_process_that_has_not_read_the_store_names_no_version)
{
    stream_origins it;
    it.set_lifetime(lifetime);
    it.version_seen(at(1s), "engines", "v1");
    it.upstreams_read(at(1s));
    EXPECT_EQ(it.only_version(at(1s), at(1s), {"engines"}), std::nullopt);
    it.version_seen(at(15s), "engines", "v1");
    EXPECT_EQ(only_version_after_reading(it, at(15s)), (service_version{"engines", "v1"}));
    auto const restarted = make_started(at(0s), {{}, {{"other", 1, {{"engines", "v0"}}}}, 0});
    restarted->version_seen(at(1s), "engines", "v1");
    EXPECT_EQ(only_version_after_reading(*restarted, at(1s)), std::nullopt);
}

// Guards against streams that began just before the second version appeared and are recorded
// nowhere.
TEST(stream_origins, records_running_streams_when_a_second_version_appears)
{
    auto const it = make_started(at(0s), {{}, {}, 7});
    it->version_seen(at(0s), "engines", "v1");
    it->stream_began(at(1s), "early", "engines", "v1");
    it->version_seen(at(2s), "engines", "v2");
    stream_origin const expected{stream_key("early"), "engines", "v1"};
    EXPECT_EQ(it->next_record(at(2s)), (origin_record{8, {expected}}));
    EXPECT_EQ(it->next_record(at(2s)), std::nullopt);
    EXPECT_EQ(it->take_unreported(at(2s), 10), std::vector{expected});
    // What could not be written is written with the next record.
    it->record_failed();
    EXPECT_EQ(it->next_record(at(4s)), (origin_record{8, {expected}}));
}

// Guards against streams that are recorded nowhere when their route moves to another service, each
// service with one version.
TEST(stream_origins, records_running_streams_when_their_route_gets_a_second_service)
{
    auto const it = make_started(at(0s), {{}, {}, 7});
    it->version_seen(at(0s), "engines", "v1");
    it->version_seen(at(0s), "desk", "v7");
    it->stream_began(at(1s), "early", "engines", "v1");
    EXPECT_EQ(it->next_record(at(2s)), std::nullopt);
    it->set_shared_services({"engines", "desk"});
    stream_origin const expected{stream_key("early"), "engines", "v1"};
    EXPECT_EQ(it->next_record(at(2s)), (origin_record{8, {expected}}));
    EXPECT_EQ(it->take_unreported(at(2s), 10), std::vector{expected});
    it->set_shared_services({});
    it->stream_began(at(3s), "late", "engines", "v1");
    EXPECT_EQ(it->next_record(at(4s)), std::nullopt);
}

// Guards against a stream that goes on at the only version of a service that did not begin it.
TEST(stream_origins, names_no_version_while_a_stream_can_have_begun_at_two_services)
{
    auto const it = make_started(at(0s), {});
    it->version_seen(at(1s), "engines", "v1");
    it->version_seen(at(1s), "desk", "v7");
    it->upstreams_read(at(1s));
    it->add_stored(at(1s), at(1s), {});
    EXPECT_EQ(it->only_version(at(1s), at(1s), {"desk", "engines"}), std::nullopt);
    EXPECT_EQ(it->only_version(at(1s), at(1s), {"desk"}), (service_version{"desk", "v7"}));
}

/// Instances that share a store. Streams begin, versions come and go, instances are out of step for
/// a while, and all instances are killed at times.
class shared_history
{
public:
    shared_history() { start_all(); }

    void step()
    {
        now_ += std::chrono::milliseconds(*rc::gen::inRange(10, 600));
        switch (*rc::gen::inRange(0, 14))
        {
        case 0:
            serving_.insert("v" + std::to_string(*rc::gen::inRange(1, 4)));
            break;
        case 1:
            if (serving_.size() > 1)
                serving_.erase(serving_.begin());
            break;
        case 2:
            start_all();
            break;
        case 3:
        case 4:
            begin_stream();
            break;
        case 5:
        case 6:
        case 7:
            exchange_reports();
            break;
        case 8:
            out_of_step_.insert(*rc::gen::inRange<std::size_t>(0, instance_count));
            break;
        case 9:
            out_of_step_.clear();
            break;
        default:
            write_records();
        }
        observe();
    }

    /// Every instance names the version that began each stream, or none.
    void check() const
    {
        for (auto const& [id, began] : begun_)
        {
            if (now_ - began.first > lifetime)
                continue;
            for (auto const& it : instances_)
            {
                auto const known = it->find(id);
                auto const only = it->only_version(now_, now_, {"engines"});
                if (known)
                    RC_ASSERT(known->software_version == began.second);
                else if (only)
                    RC_ASSERT(only->software_version == began.second);
            }
        }
    }

private:
    static constexpr std::size_t instance_count = 3;

    void start_all()
    {
        instances_.clear();
        out_of_step_.clear();
        listed_.assign(instance_count, serving_);
        for (std::size_t i = 0; i < instance_count; ++i)
            instances_.push_back(make_started(now_, read_store(i)));
        observe();
    }

    stored_origins read_store(std::size_t reader) const
    {
        stored_origins out;
        for (auto const& [key, record] : records_)
        {
            out.origins.insert(out.origins.end(), record.origins.begin(), record.origins.end());
            if (key.first == reader)
                out.last_sequence = std::max(out.last_sequence, record.sequence);
        }
        for (auto const& [instance, versions] : versions_)
            out.versions.push_back({std::to_string(instance), revisions_.at(instance), versions});
        return out;
    }

    void observe()
    {
        for (std::size_t i = 0; i < instances_.size(); ++i)
        {
            if (out_of_step_.contains(i))
                continue;
            // What has left since the last look may have served until now.
            listed_[i].insert(serving_.begin(), serving_.end());
            for (auto const& it : std::exchange(listed_[i], serving_))
                instances_[i]->version_seen(now_, "engines", it);
            instances_[i]->upstreams_read(now_);
            instances_[i]->expire(now_);
            write_versions(i);
        }
        for (std::size_t i = 0; i < instances_.size(); ++i)
        {
            if (!out_of_step_.contains(i))
                instances_[i]->add_stored(now_, now_, read_store(i));
        }
    }

    void write_versions(std::size_t instance)
    {
        auto versions = instances_[instance]->versions(now_);
        if (versions_[instance] == versions)
            return;
        versions_[instance] = std::move(versions);
        ++revisions_[instance];
    }

    void begin_stream()
    {
        auto const id = "request-" + std::to_string(begun_.size());
        auto const instance = *rc::gen::inRange<std::size_t>(0, instance_count);
        auto const version = *rc::gen::elementOf(serving_);
        if (!listed_[instance].contains(version))
            return;
        begun_[id] = {now_, version};
        instances_[instance]->stream_began(now_, id, "engines", version);
    }

    void exchange_reports()
    {
        for (std::size_t sender = 0; sender < instances_.size(); ++sender)
        {
            if (out_of_step_.contains(sender))
                continue;
            for (auto const& origin : instances_[sender]->take_unreported(now_, 100))
            {
                for (std::size_t i = 0; i < instances_.size(); ++i)
                {
                    if (!out_of_step_.contains(i))
                        instances_[i]->add(now_, origin, false);
                }
            }
        }
    }

    void write_records()
    {
        for (std::size_t i = 0; i < instances_.size(); ++i)
        {
            if (out_of_step_.contains(i))
                continue;
            if (auto const record = instances_[i]->next_record(now_))
                records_[{i, record->sequence % stream_origins::records_per_instance}] = *record;
        }
    }

    base::time_point now_ = at(100s);
    std::set<std::string> serving_{"v1"};
    std::vector<std::unique_ptr<stream_origins>> instances_;
    std::map<std::pair<std::size_t, std::uint64_t>, origin_record> records_;
    std::map<std::size_t, std::vector<service_version>> versions_;
    std::map<std::size_t, std::uint64_t> revisions_;
    /// Instances that are suspended or cut off, and the versions that each one lists.
    std::set<std::size_t> out_of_step_;
    std::vector<std::set<std::string>> listed_;
    std::map<std::string, std::pair<base::time_point, std::string>> begun_;
};

// Guards against text that is joined from two versions, in generated histories with releases,
// instances out of step and kills of all instances.
TEST(stream_origins, never_names_a_version_that_did_not_begin_the_stream)
{
    tests::check_seeded(0x0de4, 300,
                        []
                        {
                            shared_history history;
                            auto const steps = *rc::gen::inRange(10, 150);
                            for (int i = 0; i < steps; ++i)
                            {
                                history.step();
                                history.check();
                            }
                        });
}

} // namespace
} // namespace savorymount::streams
