#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace savorymount::streams
{

/// The software version that began a stream. Upstreams of other versions can't continue it.
struct stream_origin
{
    /// Digest of the id of the request that brought the first event.
    std::uint64_t stream = 0;
    std::string service;
    std::string software_version;

    bool operator==(stream_origin const&) const = default;
};

/// A software version of a service.
struct service_version
{
    std::string service;
    std::string software_version;

    auto operator<=>(service_version const&) const = default;
};

/// The origins that one instance records within some time. A later record with the same slot
/// replaces it.
struct origin_record
{
    /// Increases by one with each record of the instance.
    std::uint64_t sequence = 0;
    std::vector<stream_origin> origins;

    bool operator==(origin_record const&) const = default;
};

/// The versions that one instance recorded as serving.
struct version_record
{
    std::string instance;
    /// Differs between two records of the instance.
    std::uint64_t revision = 0;
    std::vector<service_version> versions;

    bool operator==(version_record const&) const = default;
};

/// What the platform's store holds about streams.
struct stored_origins
{
    std::vector<stream_origin> origins;
    /// Versions that may have begun a stream that still runs.
    std::vector<version_record> versions;
    /// The last record of the instance that reads; 0 if there is none.
    std::uint64_t last_sequence = 0;

    bool operator==(stored_origins const&) const = default;
};

} // namespace savorymount::streams
