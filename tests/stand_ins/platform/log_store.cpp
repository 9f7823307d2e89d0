#include <algorithm>
#include <tests/stand_ins/platform/log_store.hpp>
#include <utility>

namespace savorymount::stand_ins
{

std::uint64_t log_store::append(std::string id, nlohmann::json body, std::int64_t now_ms)
{
    records_.push_back({std::move(id), now_ms, std::move(body)});
    return first_ + records_.size() - 1;
}

void log_store::expire(std::int64_t now_ms, std::int64_t retention_ms)
{
    while (!records_.empty() && records_.front().time_ms + retention_ms < now_ms)
    {
        records_.pop_front();
        ++first_;
    }
}

nlohmann::json log_store::read(std::uint64_t from, std::uint64_t limit) const
{
    std::uint64_t const end = first_ + records_.size();
    std::uint64_t offset = std::clamp(from, first_, end);
    nlohmann::json records = nlohmann::json::array();
    for (; offset < end && records.size() < limit; ++offset)
    {
        record const& it = records_[offset - first_];
        records.push_back(
            {{"offset", offset}, {"id", it.id}, {"time_ms", it.time_ms}, {"body", it.body}});
    }
    return {{"first", first_}, {"next", offset}, {"records", std::move(records)}};
}

} // namespace savorymount::stand_ins
