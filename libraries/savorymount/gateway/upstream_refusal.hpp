#pragma once

#include <savorymount/gateway/admission.hpp>
#include <savorymount/gateway/placement.hpp>

#include <string>

namespace savorymount::gateway
{

/// The refusal of a request that resumes a stream of which nobody knows the software version.
/// `store_failed` tells that the platform's store, which may know it, could not be read.
refusal unknown_origin_refusal(bool store_failed);

/// The refusal of a request that no upstream within the constraints takes now, and that did not
/// run.
refusal no_upstream_refusal(base::time_point now, cluster_state const& cluster,
                            std::string const& service, upstream_constraints const& constraints,
                            std::string const& reason);

} // namespace savorymount::gateway
