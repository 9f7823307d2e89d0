#include <savorymount/base/digest.hpp>

#include <tests/stand_ins/engine/cache_events.hpp>
#include <utility>

namespace savorymount::stand_ins
{
namespace
{

constexpr std::size_t kept_events = 100'000;

} // namespace

void cache_events::add(std::string const& kind, std::uint64_t block, std::string const& request,
                       std::size_t index, base::time_point now)
{
    std::uint64_t const sequence = first_ + events_.size();
    bool lost = gap_every_ > 0 && sequence % gap_every_ == 0;
    if (drop_ > 0)
    {
        --drop_;
        lost = true;
    }
    nlohmann::json body{{"sequence", sequence}, {"kind", kind}, {"block", base::to_hex(block)}};
    if (kind == "stored")
    {
        body["request"] = request;
        body["index"] = index;
    }
    events_.push_back({now + lag_, std::move(body), lost});
    if (events_.size() > kept_events)
    {
        events_.pop_front();
        ++first_;
    }
}

nlohmann::json cache_events::read(std::uint64_t after, base::time_point now) const
{
    nlohmann::json events = nlohmann::json::array();
    std::uint64_t next = first_;
    for (auto const& it : events_)
    {
        if (it.visible > now)
            break;
        if (next > after && !it.lost)
            events.push_back(it.body);
        ++next;
    }
    return {{"first", first_}, {"next", next}, {"events", std::move(events)}};
}

} // namespace savorymount::stand_ins
