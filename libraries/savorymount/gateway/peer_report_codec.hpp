#pragma once

#include <savorymount/membership/peer_report.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace savorymount::gateway
{

/// The packed Cap'n Proto message of a report.
std::string encode_peer_report(membership::peer_report const& report);

/// Empty when the bytes are no report.
std::optional<membership::peer_report> decode_peer_report(std::string_view bytes);

} // namespace savorymount::gateway
