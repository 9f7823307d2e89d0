#pragma once

#include <savorymount/base/error.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savorymount::runtime
{

/// One record of the platform's append-only log.
struct log_record
{
    std::uint64_t offset = 0;
    std::string id;
    std::int64_t time_ms = 0;
    nlohmann::json body;

    bool operator==(log_record const&) const = default;
};

/// Whether the record's body is an object of this kind. Bodies come from outside and may be
/// anything.
bool has_kind(log_record const& record, std::string_view kind);

/// A part of the log: `first` is the oldest offset still kept, `next` the one to read next.
struct log_page
{
    std::uint64_t first = 1;
    std::uint64_t next = 1;
    std::vector<log_record> records;

    bool operator==(log_page const&) const = default;
};

/// The platform's log as the system sees it. Filled in by a plug-in.
struct platform_log
{
    /// Receives the offset, or the reason; after `unknown_outcome` the record may still be in the
    /// log.
    using append_done = std::function<void(std::optional<std::uint64_t>, base::error const&)>;
    using read_done = std::function<void(std::optional<log_page>, base::error const&)>;

    std::function<void(std::string id, nlohmann::json body, append_done done)> append;
    std::function<void(std::uint64_t from, std::size_t limit, read_done done)> read;
};

} // namespace savorymount::runtime
