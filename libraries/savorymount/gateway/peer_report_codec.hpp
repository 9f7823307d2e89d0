#pragma once

#include <savorymount/membership/peer_report.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace savorymount::gateway
{

/// Encodes a report as a packed Cap'n Proto message.
std::string encode_peer_report(membership::peer_report const& report);

/// Empty if the bytes are not a valid report.
std::optional<membership::peer_report> decode_peer_report(std::string_view bytes);

} // namespace savorymount::gateway
