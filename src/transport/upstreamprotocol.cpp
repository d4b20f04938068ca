#include "transport/upstreamprotocol.h"

#include <boost/json.hpp>

#include <algorithm>
#include <optional>

namespace flamingousher::transport {

namespace json = boost::json;
using base::Error;
using base::ErrorCode;
using base::RunState;
using base::Step;

namespace {

    constexpr unsigned HttpVersion11 = 11;

    Error protocolViolation(const std::string& peer, const std::string& detail)
    {
        return { ErrorCode::ProtocolViolation, Step::Decode, peer, detail, RunState::Run };
    }

    std::string formatShard(const query::ServedShard& target)
    {
        return std::to_string(target.shard) + "/" + std::to_string(target.shards);
    }

    void encodeSearch(http::Request& request, const SearchCall& call)
    {
        request.method(boost::beast::http::verb::get);
        request.target(
            std::string(SearchPath) + "?q=" + http::encodeParameter(call.text) + "&k=" + std::to_string(call.limit));
        request.set(std::string(field::Version), std::to_string(call.target.version));
        request.set(std::string(field::Shard), formatShard(call.target));
    }

    void encodeService(http::Request& request, const ServiceCall& call)
    {
        request.method_string(call.method);
        request.target(call.target);
        if (!call.contentType.empty())
            request.set(boost::beast::http::field::content_type, call.contentType);
        if (!call.identity.empty())
            request.set(std::string(field::Identity), call.identity);
        request.body() = call.body;
        request.prepare_payload();
    }

    std::string headerValue(const http::Response& response, std::string_view name)
    {
        const auto found = response.find(std::string(name));
        return found == response.end() ? std::string() : std::string(found->value());
    }

    // A refused request counts as "not run" only if the upstream states so explicitly.
    RunState parseRunState(const http::Response& response)
    {
        return headerValue(response, field::RunState) == "not-run" ? RunState::NotRun : RunState::Unknown;
    }

    ErrorCode parseRefusalCode(const std::string& reason)
    {
        if (reason == "version-not-served")
            return ErrorCode::VersionNotServed;
        if (reason == "draining")
            return ErrorCode::Draining;
        if (reason == "cancelled")
            return ErrorCode::Cancelled;
        if (reason == "deadline")
            return ErrorCode::DeadlineExceeded;
        return ErrorCode::Shed;
    }

    std::optional<query::Hit> decodeHit(const json::value& value)
    {
        const json::array* fields = value.if_array();
        if (!fields || fields->size() != 3 || !(*fields)[0].is_string() || !(*fields)[1].is_string()
            || !(*fields)[2].is_number())
            return std::nullopt;
        return query::Hit { std::string((*fields)[0].get_string()), std::string((*fields)[1].get_string()),
            (*fields)[2].to_number<double>() };
    }

    std::optional<std::uint64_t> readUnsigned(const json::object& object, std::string_view name)
    {
        const json::value* value = object.if_contains(name);
        if (!value || !(value->is_uint64() || (value->is_int64() && value->get_int64() >= 0)))
            return std::nullopt;
        return value->to_number<std::uint64_t>();
    }

    std::optional<query::ServedShard> decodeServed(const json::object& object)
    {
        const auto version = readUnsigned(object, "version");
        const auto shard = readUnsigned(object, "shard");
        const auto shards = readUnsigned(object, "shards");
        if (!version || !shard || !shards)
            return std::nullopt;
        return query::ServedShard { *version, static_cast<std::uint32_t>(*shard), static_cast<std::uint32_t>(*shards) };
    }

    tl::expected<SubResponse, Error> decodeSearch(const std::string& peer, const std::string& body)
    {
        unsigned char arena[16 * 1024];
        json::monotonic_resource resource(arena, sizeof(arena));
        boost::system::error_code error;
        const json::value document = json::parse(body, error, &resource);
        const json::object* object = error ? nullptr : document.if_object();
        const json::value* hits = object ? object->if_contains("hits") : nullptr;
        const auto served = object ? decodeServed(*object) : std::nullopt;
        if (!hits || !hits->is_array() || !served)
            return tl::unexpected(protocolViolation(peer, "malformed search response"));
        query::SubAnswer answer { *served, {} };
        answer.hits.reserve(hits->get_array().size());
        for (const json::value& value : hits->get_array()) {
            std::optional<query::Hit> hit = decodeHit(value);
            if (!hit)
                return tl::unexpected(protocolViolation(peer, "malformed hit, expected [id, title, score]"));
            answer.hits.push_back(*std::move(hit));
        }
        return answer;
    }

} // namespace

http::Request encodeSubRequest(const SubRequest& subRequest, const std::string& wireId, base::TimePoint now)
{
    http::Request request;
    request.version(HttpVersion11);
    request.set(boost::beast::http::field::host, "upstream");
    request.set(std::string(field::Request), wireId);
    request.set(std::string(field::Rank), std::string(base::toString(subRequest.rank)));
    const auto remainingMs = std::chrono::duration_cast<std::chrono::milliseconds>(subRequest.deadline - now).count();
    request.set(std::string(field::DeadlineMs), std::to_string(std::max<std::int64_t>(remainingMs, 0)));
    if (const auto* search = std::get_if<SearchCall>(&subRequest.call))
        encodeSearch(request, *search);
    else
        encodeService(request, std::get<ServiceCall>(subRequest.call));
    return request;
}

tl::expected<SubResponse, Error> decodeSubResponse(
    const SubRequest& subRequest, const std::string& peer, http::Response&& response)
{
    const std::string reason = headerValue(response, field::Reason);
    if (!reason.empty())
        return tl::unexpected(Error { parseRefusalCode(reason), Step::Receive, peer, reason, parseRunState(response) });
    if (std::holds_alternative<SearchCall>(subRequest.call)) {
        if (response.result() != http::Status::ok) {
            return tl::unexpected(Error { ErrorCode::ProtocolViolation, Step::Receive, peer,
                "status " + std::to_string(response.result_int()), parseRunState(response) });
        }
        return decodeSearch(peer, response.body());
    }
    return ServiceAnswer { response.result_int(), std::string(response[boost::beast::http::field::content_type]),
        std::move(response.body()) };
}

tl::expected<UpstreamStatus, Error> decodeStatus(const std::string& peer, std::string_view body)
{
    boost::system::error_code error;
    const json::value document = json::parse({ body.data(), body.size() }, error);
    const json::object* object = error ? nullptr : document.if_object();
    const json::value* served = object ? object->if_contains("served") : nullptr;
    if (!served || !served->is_array())
        return tl::unexpected(protocolViolation(peer, "malformed status response"));
    UpstreamStatus status;
    if (const json::value* draining = object->if_contains("draining"))
        status.isDraining = draining->is_bool() && draining->get_bool();
    if (const json::value* load = object->if_contains("load"))
        status.load = load->is_number() ? load->to_number<double>() : 0;
    for (const json::value& value : served->get_array()) {
        const auto shard = value.is_object() ? decodeServed(value.get_object()) : std::nullopt;
        if (!shard)
            return tl::unexpected(protocolViolation(peer, "malformed served shard"));
        status.served.push_back(*shard);
    }
    return status;
}

std::string encodeSearchAnswer(const query::SubAnswer& answer)
{
    json::array hits;
    for (const query::Hit& hit : answer.hits)
        hits.push_back(json::array { hit.id, hit.title, hit.score });
    return json::serialize(json::object {
        { "version", answer.served.version },
        { "shard", answer.served.shard },
        { "shards", answer.served.shards },
        { "hits", std::move(hits) },
    });
}

std::string encodeStatus(const UpstreamStatus& status)
{
    json::array served;
    for (const query::ServedShard& shard : status.served) {
        served.push_back(
            json::object { { "version", shard.version }, { "shard", shard.shard }, { "shards", shard.shards } });
    }
    return json::serialize(
        json::object { { "draining", status.isDraining }, { "load", status.load }, { "served", std::move(served) } });
}

} // namespace flamingousher::transport
