#pragma once

#include "accounts/requestrecord.h"
#include "base/error.h"
#include "http/types.h"
#include "tables/types.h"
#include "traffic/trafficcontext.h"

#include <string>
#include <vector>

namespace flamingousher::traffic {

// Time reserved for writing the response, so that it arrives within the route's target.
inline constexpr base::Duration ReplyMargin = std::chrono::milliseconds(2);

// Backoff between attempts of one request.
inline constexpr base::Duration InitialBackoff = std::chrono::milliseconds(10);
inline constexpr base::Duration MaxBackoff = std::chrono::seconds(1);

// A caller's request in progress: its limits and its timeline.
class CallerRequest {
public:
    CallerRequest(TrafficContext&, const http::Request&, const std::string& peer, const tables::Route&);

    const std::string& id() const { return id_; }
    const std::string& caller() const { return caller_; }
    const tables::Route& route() const { return route_; }
    base::TimePoint deadline() const { return deadline_; }
    base::TimePoint receivedAt() const { return receivedAt_; }
    std::uint64_t fingerprint() const { return fingerprint_; }

    void recordEvent(accounts::EventKind);
    void recordEvent(accounts::EventKind, std::uint32_t shard, query::UpstreamId, const char* detail = "");
    void recordEvent(accounts::EventKind, std::uint32_t shard, query::UpstreamId, const base::Error&);

    // Finishes the request with an error and returns the error response.
    http::Response refuse(const http::Request&, const base::Error&, base::Duration retryAfter = {});

    // Counts the outcome, and stores the timeline if the request was slow, incomplete or rejected.
    void finish(const std::string& outcome);

private:
    struct TimelineEvent {
        accounts::EventKind kind { accounts::EventKind::Received };
        base::TimePoint at;
        std::uint32_t shard { 0 };
        query::UpstreamId upstream { NoUpstream };
        std::string detail;
    };

    static constexpr query::UpstreamId NoUpstream = ~query::UpstreamId { 0 };

    accounts::RequestRecord record(const std::string& outcome, base::Duration elapsed) const;

    TrafficContext& context_;
    tables::Route route_;
    std::string id_;
    std::string caller_;
    base::TimePoint receivedAt_;
    base::TimePoint deadline_;
    std::uint64_t fingerprint_ { 0 };
    std::vector<TimelineEvent> timeline_;
};

// Returns the response to a caller for the error.
http::Response makeErrorResponse(
    const http::Request&, const std::string& requestId, const base::Error&, base::Duration retryAfter = {});

} // namespace flamingousher::traffic
