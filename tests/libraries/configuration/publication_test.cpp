#include "tests/libraries/seeded_property.hpp"
#include <savorymount/configuration/configuration_log.hpp>
#include <savorymount/configuration/publication.hpp>

#include <gtest/gtest.h>

#include <vector>

namespace savorymount::configuration
{
namespace
{

constexpr unsigned max_appends = 4;

documents::map_type group_change(std::string const& name, unsigned loading_at_once)
{
    return {{"groups/" + name,
             {{"group", name}, {"kind", "plain"}, {"loading_at_once", loading_at_once}}}};
}

/// A log whose appends fail in the ways that a service over a network fails.
class faulty_log
{
public:
    void write(std::string id, nlohmann::json body)
    {
        records_.push_back({std::move(id), std::move(body)});
    }

    /// The record arrives only with a later `deliver_late`.
    void write_late(std::string id, nlohmann::json body)
    {
        late_.push_back({std::move(id), std::move(body)});
    }

    void deliver_late()
    {
        if (late_.empty())
            return;
        records_.push_back(late_.front());
        late_.erase(late_.begin());
    }

    bool has_late() const { return !late_.empty(); }
    std::uint64_t end() const { return records_.size(); }

    void read_into(configuration_log& reader) const
    {
        for (auto offset = reader.next_offset(); offset <= end(); ++offset)
            reader.apply(offset, records_[offset - 1].first, records_[offset - 1].second);
    }

private:
    std::vector<std::pair<std::string, nlohmann::json>> records_;
    std::vector<std::pair<std::string, nlohmann::json>> late_;
};

/// How often the record `id` is accepted in the whole log.
int acceptances(faulty_log const& log, std::string const& id)
{
    int out = 0;
    configuration_log reader;
    reader.on_audit = [&](audit_entry const& it)
    {
        out += it.accepted && it.id == id ? 1 : 0;
    };
    log.read_into(reader);
    return out;
}

void append(faulty_log& log, publication& publishing)
{
    auto const body = to_json(publishing.change());
    switch (*rc::gen::inRange(0, 4))
    {
    case 0:
        publishing.on_append(std::nullopt, false);
        return;
    case 1:
        log.write(publishing.id(), body);
        publishing.on_append(std::nullopt, true);
        return;
    case 2:
        log.write_late(publishing.id(), body);
        publishing.on_append(std::nullopt, true);
        return;
    default:
        log.write(publishing.id(), body);
        publishing.on_append(log.end(), true);
    }
}

// Guards against an operator who is told that a change is not in force although it is, or the other
// way round, when responses are lost, records arrive late and other operators publish.
TEST(publication, reported_outcome_is_true)
{
    savorymount::tests::check_seeded(
        20'263, 3'000,
        []
        {
            faulty_log log;
            log.write("first", to_json(change_record{0, "mieke", 1, group_change("g", 1)}));
            configuration_log reader;
            log.read_into(reader);
            auto const valid = *rc::gen::inRange(0, 8) > 0;
            publication publishing("id-1", {1, "joost", 2, group_change("h", valid ? 2 : 0)},
                                   max_appends);
            reader.on_audit = [&](audit_entry const& it)
            {
                publishing.on_audit(it);
            };
            bool looked_up = true;
            unsigned appends = 0;
            while (publishing.next() == publication_step::append ||
                   publishing.next() == publication_step::look_up)
            {
                if (*rc::gen::inRange(0, 8) == 0)
                    log.write("other", to_json(change_record{reader.version(), "wim", 3,
                                                             group_change("i", 3)}));
                if (*rc::gen::inRange(0, 3) == 0)
                    log.deliver_late();
                if (publishing.next() == publication_step::append)
                {
                    RC_ASSERT(looked_up);
                    looked_up = false;
                    ++appends;
                    append(log, publishing);
                    continue;
                }
                log.read_into(reader);
                publishing.on_read(reader.version(), reader.next_offset());
                looked_up = true;
            }
            RC_ASSERT(appends <= max_appends);
            while (log.has_late())
                log.deliver_late();
            auto const accepted = acceptances(log, "id-1");
            RC_TAG(static_cast<int>(publishing.next()));
            RC_ASSERT(accepted <= 1);
            switch (publishing.next())
            {
            case publication_step::accepted:
                RC_ASSERT(accepted == 1);
                break;
            case publication_step::rejected:
                RC_ASSERT(!valid);
                RC_ASSERT(accepted == 0);
                break;
            case publication_step::unknown:
                break;
            default:
                RC_ASSERT(accepted == 0);
            }
        });
}

// Guards against a loser who does not learn which version to compare with.
TEST(publication, loser_is_told_the_winner)
{
    publication publishing("id-1", {4, "joost", 2, group_change("h", 2)}, max_appends);
    publishing.on_append(6, true);
    publishing.on_audit({5, "other", 3, "wim", 4, true, "", {"groups/i"}});
    publishing.on_audit({6, "id-1", 2, "joost", 4, false, "wrong base", {"groups/h"}});
    publishing.on_read(5, 7);
    EXPECT_EQ(publishing.next(), publication_step::lost);
    EXPECT_EQ(publishing.reason(), "version 5 by wim is in force, not version 4");
}

// Guards against a claim that nothing was published while a record may be under way.
TEST(publication, giving_up_says_whether_the_record_may_appear)
{
    publication silent("id-1", {4, "joost", 2, group_change("h", 2)}, max_appends);
    silent.on_append(std::nullopt, false);
    silent.give_up();
    EXPECT_EQ(silent.next(), publication_step::not_published);
    publication lost_response("id-2", {4, "joost", 2, group_change("h", 2)}, max_appends);
    lost_response.on_append(std::nullopt, true);
    lost_response.give_up();
    EXPECT_EQ(lost_response.next(), publication_step::unknown);
}

} // namespace
} // namespace savorymount::configuration
