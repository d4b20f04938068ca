#include "delegation/delegationprotocol.h"

#include <boost/beast/http/read.hpp>

#include <criterion/criterion.h>

using namespace flamingousher;
using namespace flamingousher::delegation;
using upstreamclient::ReplyKind;

namespace {

const upstreamclient::OutboundRequest CallersRequest { "id-1", "GET /a/b HTTP/1.1\r\nHost: h\r\n", {} };

http::Request parse(const std::string& bytes)
{
    boost::beast::http::request_parser<boost::beast::http::string_body> parser;
    boost::system::error_code error;
    parser.eager(true);
    parser.put(boost::asio::buffer(bytes), error);
    cr_assert(!error && parser.is_done());
    return parser.release();
}

std::string encode(const upstreamclient::OutboundRequest& request)
{
    return makeDelegationProtocol().encode(request, {}, std::chrono::milliseconds(250));
}

} // namespace

Test(DelegationProtocol, carriesLimitsAndCallersRequest)
{
    const auto delegated
        = makeDelegatedRequest(CallersRequest, 17, std::chrono::milliseconds(200), std::chrono::milliseconds(9));
    http::Request request = parse(encode(*delegated));
    const auto limits = takeLimits(request);
    cr_assert(limits.has_value());
    cr_assert(*limits
        == DelegatedLimits(
            17, std::chrono::milliseconds(250), std::chrono::milliseconds(200), std::chrono::milliseconds(9)));
    // The delegate sees the caller's request alone.
    cr_assert_eq(std::distance(request.begin(), request.end()), 1);
    cr_assert_eq(http::readField(request, "Host"), "h");
}

Test(DelegationProtocol, rejectsMissingAndMalformedLimits)
{
    const std::string valid = encode(
        *makeDelegatedRequest(CallersRequest, 17, std::chrono::milliseconds(200), std::chrono::milliseconds(9)));
    for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>> { { ": 17", ": " },
             { ": 17", ": -1" }, { ": 200000", ": 2x" }, { ": 250000", ": 99999999999999999999" },
             { ": 250000", ": 3600000001" }, { ": 9000\r", ": \r" }, { "Fanout-Remaining-Us", "Other" } }) {
        std::string damaged = valid;
        damaged.replace(damaged.find(from), from.size(), to);
        http::Request request = parse(damaged);
        cr_expect(!takeLimits(request).has_value(), "%s", to.c_str());
    }
}

Test(DelegationProtocol, distinguishesRefusalsFromFinalResponses)
{
    const auto protocol = makeDelegationProtocol();
    http::Request request = parse(encode(*makeDelegatedRequest(CallersRequest, 17, {}, {})));
    http::Response refusal = refuseDelegated(request, "stopping");
    markResponse(refusal, "id-1");
    const auto refused = protocol.decode(std::move(refusal));
    cr_assert(refused.kind == ReplyKind::NotRun);
    cr_assert_eq(refused.requestId, "id-1");

    http::Response failure { http::Status::gateway_timeout, 11 };
    markResponse(failure, "id-1");
    auto answered = protocol.decode(std::move(failure));
    cr_assert(answered.kind == ReplyKind::Success);
    removeMarks(answered.response);
    cr_assert_eq(std::distance(answered.response.begin(), answered.response.end()), 0);

    // Not from a delegate.
    cr_assert(protocol.decode(http::Response { http::Status::ok, 11 }).kind == ReplyKind::Failure);
}
