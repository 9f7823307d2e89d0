#include <savorymount/base/digest.hpp>
#include <savorymount/configuration/caller_key.hpp>
#include <savorymount/configuration/key_table.hpp>

#include <utility>

namespace savorymount::configuration
{

key_table::key_table(std::shared_ptr<configuration const> current) : current_(std::move(current)) {}

std::optional<authenticated_key> key_table::authenticate(std::string_view presented) const
{
    auto const key = parse_caller_key(presented);
    if (!key)
        return std::nullopt;
    auto const* const record = current_->find_key(key->id);
    if (record == nullptr)
        return std::nullopt;
    auto const digest = key_digest(record->salt, key->secret);
    if (!base::equal_in_constant_time(digest, record->digest))
        return std::nullopt;
    return authenticated_key{current_->find_workspace_of_key(key->id)->workspace, key->id};
}

} // namespace savorymount::configuration
