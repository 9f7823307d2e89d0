#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savorymount::membership
{

/// A record of a keyed topic of the platform's store, in which a later record replaces earlier ones
/// with the same key.
struct store_record
{
    std::string key;
    /// No value if the record deletes the key.
    std::optional<std::string> value;
    std::uint64_t offset = 0;

    bool operator==(store_record const&) const = default;
};

/// What one instance read from a topic, passed on to the others of its data centre.
struct store_update
{
    std::string topic;
    /// Era of the store in which it was read; 0 if the sender does not know it. Offsets hold within
    /// one era.
    std::uint64_t era = 0;
    /// The update covers the offsets from `begin` to before `end`.
    std::uint64_t begin = 0;
    std::uint64_t end = 0;
    /// The records of this range that change something, in the order of their offsets.
    std::vector<store_record> records;
    /// Records that change something are missing, because they are too large for a datagram.
    bool incomplete = false;
    /// How long ago the records up to `end` were all records of the topic. Empty if more records
    /// follow, or the next update belongs to the same read.
    std::optional<std::chrono::milliseconds> age;

    bool operator==(store_update const&) const = default;
};

} // namespace savorymount::membership
