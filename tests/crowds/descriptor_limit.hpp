#pragma once

#include <cstddef>
#include <sys/resource.h>

namespace savorymount::tests
{

/// Lowers the limit of open descriptors for the programs that are started while it exists.
class descriptor_limit
{
public:
    explicit descriptor_limit(std::size_t descriptors)
    {
        getrlimit(RLIMIT_NOFILE, &before_);
        rlimit const lower{descriptors, before_.rlim_max};
        setrlimit(RLIMIT_NOFILE, &lower);
    }
    ~descriptor_limit() { setrlimit(RLIMIT_NOFILE, &before_); }
    descriptor_limit(descriptor_limit const&) = delete;
    descriptor_limit& operator=(descriptor_limit const&) = delete;

private:
    rlimit before_{};
};

} // namespace savorymount::tests
