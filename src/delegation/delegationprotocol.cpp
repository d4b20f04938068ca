#include "delegation/delegationprotocol.h"

#include <charconv>
#include <optional>

namespace flamingousher::delegation {

using base::Error;
using base::ErrorCode;
using base::RunState;
using base::Step;
using upstreamclient::OutboundRequest;
using upstreamclient::ReplyKind;
using upstreamclient::UpstreamReply;

namespace {

    constexpr std::string_view VersionField = "Fanout-Configuration-Version";
    constexpr std::string_view GoalLeadField = "Fanout-Goal-Lead-Us";
    constexpr std::string_view ConfirmField = "Fanout-Confirm-Within-Us";
    constexpr std::string_view RemainingField = "Fanout-Remaining-Us";
    constexpr std::string_view AnsweredRequestField = "Fanout-Request";
    constexpr std::string_view RefusedField = "Fanout-Refused";

    std::int64_t toMicroseconds(base::Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
    }

    std::string makeField(std::string_view name, const std::string& value)
    {
        return std::string(name) + ": " + value + "\r\n";
    }

    std::string encode(const OutboundRequest& request, const std::string&, base::Duration remaining)
    {
        return request.head + makeField(RemainingField, std::to_string(toMicroseconds(remaining))) + "\r\n"
            + request.body;
    }

    UpstreamReply decode(http::Response&& response)
    {
        UpstreamReply reply;
        reply.requestId = http::readField(response, AnsweredRequestField);
        // An unmarked response is not a delegate's.
        if (reply.requestId.empty())
            reply.kind = ReplyKind::Failure;
        else if (!http::readField(response, RefusedField).empty())
            reply.kind = ReplyKind::NotRun;
        else
            reply.kind = ReplyKind::Success;
        reply.response = std::move(response);
        return reply;
    }

    std::optional<std::uint64_t> takeNumber(http::Request& request, std::string_view name)
    {
        const std::string text = http::readField(request, name);
        request.erase(boost::beast::string_view(name.data(), name.size()));
        std::uint64_t number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return number;
    }

} // namespace

std::shared_ptr<const OutboundRequest> makeDelegatedRequest(
    const OutboundRequest& request, std::uint64_t version, base::Duration goalLead, base::Duration confirmWithin)
{
    return std::make_shared<const OutboundRequest>(OutboundRequest { request.requestId,
        request.head + makeField(VersionField, std::to_string(version))
            + makeField(GoalLeadField, std::to_string(toMicroseconds(goalLead)))
            + makeField(ConfirmField, std::to_string(toMicroseconds(confirmWithin))),
        request.body });
}

upstreamclient::UpstreamProtocol makeDelegationProtocol()
{
    return { encode, decode };
}

tl::expected<DelegatedLimits, Error> takeLimits(http::Request& request)
{
    constexpr std::uint64_t MaxMicroseconds = 3'600'000'000;
    const auto version = takeNumber(request, VersionField);
    const auto goalLead = takeNumber(request, GoalLeadField);
    const auto confirmWithin = takeNumber(request, ConfirmField);
    const auto remaining = takeNumber(request, RemainingField);
    const auto isDuration = [](const auto& number) { return number && *number <= MaxMicroseconds; };
    if (!version || !isDuration(goalLead) || !isDuration(confirmWithin) || !isDuration(remaining))
        return tl::unexpected(Error {
            ErrorCode::BadRequest, Step::Decode, {}, "a delegated request needs valid limits", RunState::NotRun });
    return DelegatedLimits { *version, std::chrono::microseconds(*remaining), std::chrono::microseconds(*goalLead),
        std::chrono::microseconds(*confirmWithin) };
}

void markResponse(http::Response& response, const std::string& requestId)
{
    http::setField(response, AnsweredRequestField, requestId);
}

http::Response refuseDelegated(const http::Request& request, const std::string& reason)
{
    http::Response response { http::Status::service_unavailable, request.version() };
    response.keep_alive(request.keep_alive());
    http::setField(response, RefusedField, reason);
    response.prepare_payload();
    return response;
}

void removeMarks(http::Response& response)
{
    for (const std::string_view name : { AnsweredRequestField, RefusedField })
        response.erase(boost::beast::string_view(name.data(), name.size()));
}

} // namespace flamingousher::delegation
