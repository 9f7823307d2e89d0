#pragma once

namespace savorymount::gateway
{

/// Result of a conditional append to the platform's store.
enum class append_outcome
{
    accepted,
    /// The partition did not end at the expected offset.
    condition_failed,
    /// The store did not append the record.
    not_appended,
    /// No response: the record may have been appended, or may be appended later.
    unknown
};

} // namespace savorymount::gateway
