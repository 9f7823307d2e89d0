#pragma once

#include <savorymount/base/random_source.hpp>
#include <savorymount/configuration/configuration_log.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace savorymount::configuration::tests
{

struct history_record
{
    std::uint64_t offset = 0;
    std::string id;
    nlohmann::json body;
};

/// A generated log together with the reference verdicts: a plain fold that has read every record
/// and parses all documents at each change.
class log_history
{
public:
    /// One step of several operators and snapshot writers for each element.
    explicit log_history(std::vector<std::uint8_t> const& steps, std::uint64_t seed);

    std::vector<history_record> const& records() const { return records_; }
    std::uint64_t end() const { return records_.size(); }

    /// Version in force after the record at `offset`; 0 at offset 0.
    std::uint64_t version_at(std::uint64_t offset) const { return versions_.at(offset); }

    /// The documents of an accepted version.
    documents const& content_of(std::uint64_t version) const { return contents_.at(version); }

    bool is_version(std::uint64_t version) const { return contents_.contains(version); }

    /// Whether the record at `offset` is a change that was accepted.
    bool accepted(std::uint64_t offset) const { return offset > 0 && version_at(offset) == offset; }

    /// Whether a reader that starts at `first` can know the version in force at the end.
    bool has_usable_snapshot(std::uint64_t first) const;

private:
    void append(std::string id, nlohmann::json body);
    void step(std::uint8_t kind);
    nlohmann::json change(std::uint64_t base, bool valid);
    nlohmann::json corrupt();
    std::string fresh_id();

    base::random_source random_;
    std::vector<history_record> records_;
    std::vector<std::uint64_t> versions_{0};
    std::map<std::uint64_t, documents> contents_{{0, documents()}};
    std::uint64_t ids_ = 0;
};

} // namespace savorymount::configuration::tests
