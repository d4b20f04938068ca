#pragma once

#include "http/types.h"
#include "transport/types.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

// HTTP protocol between flamingousher and its upstreams, version 1. See docs/PROTOCOLS.md.
namespace flamingousher::transport {

namespace field {
    inline constexpr std::string_view Request = "Flamingousher-Request";
    inline constexpr std::string_view DeadlineMs = "Flamingousher-Deadline-Ms";
    inline constexpr std::string_view Rank = "Flamingousher-Rank";
    inline constexpr std::string_view Version = "Flamingousher-Version";
    inline constexpr std::string_view Shard = "Flamingousher-Shard";
    inline constexpr std::string_view Identity = "Flamingousher-Identity";
    inline constexpr std::string_view RunState = "Flamingousher-Run-State";
    inline constexpr std::string_view Reason = "Flamingousher-Reason";
} // namespace field

inline constexpr std::string_view SearchPath = "/v1/search";
inline constexpr std::string_view StatusPath = "/v1/status";
inline constexpr std::string_view RequestsPath = "/v1/requests/";

// Encodes a sub-request as an HTTP request. wireId identifies it at the upstream.
http::Request encodeSubRequest(const SubRequest&, const std::string& wireId, base::TimePoint now);

// Decodes an upstream's response to a sub-request.
tl::expected<SubResponse, base::Error> decodeSubResponse(const SubRequest&, const std::string& peer, http::Response&&);

tl::expected<UpstreamStatus, base::Error> decodeStatus(const std::string& peer, std::string_view body);

// Returns the body of a search response.
std::string encodeSearchAnswer(const query::SubAnswer&);
std::string encodeStatus(const UpstreamStatus&);

} // namespace flamingousher::transport
