#include "transport/upstreamprotocol.h"

#include <criterion/criterion.h>

using namespace flamingousher;
using namespace flamingousher::transport;
using base::ErrorCode;
using base::RunState;

namespace {

const base::TimePoint Start { std::chrono::hours(1) };

SubRequest makeSearch()
{
    return { 7, 0, base::Rank::Urgent, "counter", Start + std::chrono::milliseconds(80), 1,
        SearchCall { { 42, 3, 75 }, "ring sling", 10 } };
}

http::Response makeResponse(
    http::Status status, std::string body, const std::string& reason = {}, bool isNotRun = false)
{
    http::Response response { status, 11 };
    if (!reason.empty())
        response.set(std::string(field::Reason), reason);
    if (isNotRun)
        response.set(std::string(field::RunState), "not-run");
    response.body() = std::move(body);
    return response;
}

base::Error decodeError(http::Response&& response)
{
    const auto decoded = decodeSubResponse(makeSearch(), "p", std::move(response));
    cr_assert_not(decoded.has_value());
    return decoded.error();
}

} // namespace

Test(UpstreamProtocol, encodesVersionShardAndRemainingTime)
{
    const http::Request request = encodeSubRequest(makeSearch(), "boot-7", Start + std::chrono::milliseconds(30));
    cr_expect_eq(std::string(request.target()), "/v1/search?q=ring%20sling&k=10");
    cr_expect_eq(std::string(request[std::string(field::Version)]), "42");
    cr_expect_eq(std::string(request[std::string(field::Shard)]), "3/75");
    cr_expect_eq(std::string(request[std::string(field::DeadlineMs)]), "50");
    cr_expect_eq(std::string(request[std::string(field::Request)]), "boot-7");
}

Test(UpstreamProtocol, roundTripsSearchAnswer)
{
    const query::SubAnswer answer { { 42, 3, 75 }, { { "a", "title \"quoted\"", 2.5 }, { "b", "", 1 } } };
    const auto decoded
        = decodeSubResponse(makeSearch(), "p", makeResponse(http::Status::ok, encodeSearchAnswer(answer)));
    cr_assert(decoded.has_value());
    cr_expect(std::get<query::SubAnswer>(*decoded) == answer);
}

Test(UpstreamProtocol, rejectsMalformedAnswers)
{
    for (const char* body : { "", "nonsense", "[]", "{}", R"({"version":42,"shard":3,"shards":75,"hits":[["a"]]})",
             R"({"version":-1,"shard":3,"shards":75,"hits":[]})", R"({"version":42,"shard":3,"hits":[]})" }) {
        cr_expect_eq(decodeError(makeResponse(http::Status::ok, body)).code, ErrorCode::ProtocolViolation, "%s", body);
    }
}

Test(UpstreamProtocol, reportsNotRunOnlyIfUpstreamStatesIt)
{
    cr_expect_eq(
        decodeError(makeResponse(http::Status::service_unavailable, "{}", "shed", true)).runState, RunState::NotRun);
    cr_expect_eq(
        decodeError(makeResponse(http::Status::service_unavailable, "{}", "shed")).runState, RunState::Unknown);
    cr_expect_eq(decodeError(makeResponse(http::Status::internal_server_error, "{}")).runState, RunState::Unknown);
}

Test(UpstreamProtocol, mapsReasonsToErrorCodes)
{
    const std::vector<std::pair<std::string, ErrorCode>> expected {
        { "version-not-served", ErrorCode::VersionNotServed }, { "draining", ErrorCode::Draining },
        { "shed", ErrorCode::Shed }, { "cancelled", ErrorCode::Cancelled }, { "deadline", ErrorCode::DeadlineExceeded }
    };
    for (const auto& [reason, code] : expected)
        cr_expect_eq(decodeError(makeResponse(http::Status::service_unavailable, "{}", reason)).code, code);
}

Test(UpstreamProtocol, roundTripsStatus)
{
    const UpstreamStatus status { true, 0.5, { { 41, 3, 75 }, { 42, 3, 75 } } };
    const auto decoded = decodeStatus("p", encodeStatus(status));
    cr_assert(decoded.has_value());
    cr_expect(*decoded == status);
    cr_expect_not(decodeStatus("p", R"({"served":[{"version":1}]})").has_value());
    cr_expect_not(decodeStatus("p", "nonsense").has_value());
}
