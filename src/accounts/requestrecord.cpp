#include "accounts/requestrecord.h"

#include <boost/json.hpp>

namespace flamingousher::accounts {

std::string_view toString(EventKind kind)
{
    switch (kind) {
    case EventKind::Received:
        return "received";
    case EventKind::Waiting:
        return "waiting";
    case EventKind::Admitted:
        return "admitted";
    case EventKind::Refused:
        return "refused";
    case EventKind::Sent:
        return "sent";
    case EventKind::Hedged:
        return "hedged";
    case EventKind::Answered:
        return "answered";
    case EventKind::Failed:
        return "failed";
    case EventKind::Cancelled:
        return "cancelled";
    case EventKind::Finished:
        return "finished";
    }
    return "invalid";
}

std::string toJson(const RequestRecord& record)
{
    boost::json::array events;
    for (const Event& event : record.events) {
        boost::json::object item { { "at_ms", base::toMilliseconds(event.at) }, { "event", toString(event.kind) } };
        if (!event.upstream.empty()) {
            item["upstream"] = event.upstream;
            item["shard"] = event.shard;
        }
        if (!event.detail.empty())
            item["detail"] = event.detail;
        events.push_back(std::move(item));
    }
    const boost::json::object document {
        { "request_id", record.requestId },
        { "route", record.route },
        { "caller", record.caller },
        { "rank", base::toString(record.rank) },
        { "elapsed_ms", base::toMilliseconds(record.elapsed) },
        { "outcome", record.outcome },
        { "events", std::move(events) },
    };
    return boost::json::serialize(document);
}

} // namespace flamingousher::accounts
