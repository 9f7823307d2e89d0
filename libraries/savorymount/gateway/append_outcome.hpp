#pragma once

namespace savorymount::gateway
{

/// How the platform's store took an append.
enum class append_outcome
{
    accepted,
    /// The condition did not hold.
    condition_failed,
    /// The store did nothing.
    not_appended,
    /// No answer: the record may be appended, also later.
    unanswered
};

} // namespace savorymount::gateway
