#pragma once

#include <cstddef>

namespace savorymount::base
{

/// Counts the memory that many holders occupy, so that all of them together stay within a limit.
class byte_account
{
public:
    explicit byte_account(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    std::size_t used_bytes() const { return used_bytes_; }

    /// What one holder occupies. It is returned on destruction.
    class share
    {
    public:
        /// The account must outlive the share.
        explicit share(byte_account& account) : account_(account) {}
        ~share() { account_.used_bytes_ -= bytes_; }
        share(share const&) = delete;
        share& operator=(share const&) = delete;

        /// Changes the share to `bytes`. Returns false, and leaves it as it is, if all shares
        /// together would exceed the limit.
        bool resize(std::size_t bytes)
        {
            auto const others = account_.used_bytes_ - bytes_;
            bool const grows = bytes > bytes_;
            if (grows && others + bytes > account_.max_bytes_)
                return false;
            account_.used_bytes_ = others + bytes;
            bytes_ = bytes;
            return true;
        }

    private:
        byte_account& account_;
        std::size_t bytes_ = 0;
    };

private:
    std::size_t max_bytes_;
    std::size_t used_bytes_ = 0;
};

} // namespace savorymount::base
