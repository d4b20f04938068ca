#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace flamingousher::wire {

inline constexpr std::size_t MacBytes = 16;
using Mac = std::array<std::uint8_t, MacBytes>;

// Returns the truncated HMAC-SHA-256 (RFC 2104) of prefix and payload.
Mac computeMac(const std::string& key, std::string_view prefix, std::string_view payload);

// Compares in constant time.
bool isEqual(const Mac&, const Mac&);

} // namespace flamingousher::wire
