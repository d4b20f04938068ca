#pragma once

#include <string_view>

namespace flamingousher::traffic {

// Header fields of callers' requests and of their responses. See docs/PROTOCOLS.md.
namespace field {

    inline constexpr std::string_view Caller = "Flamingousher-Caller";
    inline constexpr std::string_view DeadlineMs = "Flamingousher-Deadline-Ms";
    inline constexpr std::string_view Identity = "Flamingousher-Identity";
    inline constexpr std::string_view NextIdentity = "Flamingousher-Next-Identity";

} // namespace field

} // namespace flamingousher::traffic
