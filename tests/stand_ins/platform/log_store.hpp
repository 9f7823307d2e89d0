#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <string>

namespace savorymount::stand_ins
{

/// Append-only records with offsets from 1, kept for a limited time.
class log_store
{
public:
    /// Returns the offset of the new record.
    std::uint64_t append(std::string id, nlohmann::json body, std::int64_t now_ms);

    /// Drops records older than `retention_ms`. Their offsets are never used again.
    void expire(std::int64_t now_ms, std::int64_t retention_ms);

    /// At most `limit` records from offset `from` on, with `first` and `next`.
    nlohmann::json read(std::uint64_t from, std::uint64_t limit) const;

private:
    struct record
    {
        std::string id;
        std::int64_t time_ms;
        nlohmann::json body;
    };

    std::uint64_t first_ = 1;
    std::deque<record> records_;
};

} // namespace savorymount::stand_ins
