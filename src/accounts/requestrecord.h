#pragma once

#include "base/error.h"
#include "base/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace flamingousher::accounts {

enum class EventKind : std::uint8_t {
    Received,
    Waiting,
    Admitted,
    Refused,
    Sent,
    Hedged,
    Answered,
    Failed,
    Cancelled,
    Finished,
};

// One event in the processing of a request.
struct Event {
    EventKind kind { EventKind::Received };
    base::Duration at; // since the request was received
    std::uint32_t shard { 0 };
    std::string upstream; // name, may be empty
    std::string detail;

    bool operator==(const Event&) const = default;
};

// Timeline of one request, from which an operator sees why its response was slow, partial or refused.
struct RequestRecord {
    std::string requestId;
    std::string route;
    std::string caller;
    base::Rank rank { base::Rank::Normal };
    base::Duration elapsed;
    std::string outcome; // complete, slow, partial or an error code
    std::vector<Event> events;

    bool operator==(const RequestRecord&) const = default;
};

std::string_view toString(EventKind);
std::string toJson(const RequestRecord&);

} // namespace flamingousher::accounts
