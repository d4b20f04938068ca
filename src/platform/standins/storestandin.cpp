#include "platform/standins/storestandin.h"

#include "runtime/sleep.h"

#include <boost/json.hpp>

#include <openssl/evp.h>

#include <algorithm>

namespace flamingousher::platform {

namespace json = boost::json;

namespace {

    constexpr std::chrono::milliseconds WatchStep { 5 };
    constexpr std::chrono::hours Forever { 1 };

    std::string encodeBase64(const std::string& bytes)
    {
        std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
        const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
            reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
        text.resize(static_cast<std::size_t>(length));
        return text;
    }

    std::uint64_t number(const http::Target& target, const std::string& name)
    {
        return std::strtoull(target.parameter(name, "0").c_str(), nullptr, 10);
    }

} // namespace

StoreStandIn::StoreStandIn(boost::asio::io_context& io, std::size_t pageItems)
    : io_(io)
    , pageItems_(pageItems)
    , server_(io, {}, [this](const http::Request& request, http::Exchange&) { return handle(request); })
{
}

void StoreStandIn::put(const std::string& key, const std::string& value)
{
    Item& item = items_[key];
    item.value = value;
    item.revision = ++revision_;
    item.created = item.created == 0 ? revision_ : item.created;
    history_.push_back({ key, revision_, false, value });
}

void StoreStandIn::erase(const std::string& key)
{
    if (items_.erase(key) == 0)
        return;
    history_.push_back({ key, ++revision_, true, {} });
}

void StoreStandIn::compact()
{
    history_.clear();
    historyFrom_ = ++revision_;
}

http::Response StoreStandIn::handle(const http::Request& request)
{
    const http::Target target = http::parseTarget({ request.target().data(), request.target().size() });
    if (target.path.starts_with("/control/"))
        return control(request, target);
    ++calls_;
    if (mode_ == StoreMode::Silent)
        runtime::sleepFor(io_, Forever);
    if (mode_ == StoreMode::Busy)
        return http::makeJsonResponse(request, http::Status::service_unavailable, "{}");
    if (mode_ == StoreMode::Limited)
        return http::makeJsonResponse(request, http::Status::too_many_requests, "{}");
    if (target.path == "/v1/kv-range")
        return range(request, target);
    if (target.path == "/v1/kv-watch")
        return watch(request, target);
    return http::makeJsonResponse(request, http::Status::not_found, "{}");
}

http::Response StoreStandIn::range(const http::Request& request, const http::Target& target) const
{
    const std::string prefix = target.parameter("prefix");
    const std::string after = target.parameter("after");
    json::array items;
    bool hasMore = false;
    for (auto item = items_.lower_bound(prefix); item != items_.end() && item->first.starts_with(prefix); ++item) {
        if (item->first <= after && !after.empty())
            continue;
        if (items.size() == pageItems_) {
            hasMore = true;
            break;
        }
        items.push_back(json::object { { "key", item->first }, { "value", encodeBase64(item->second.value) },
            { "revision", item->second.revision }, { "create-revision", item->second.created }, { "lease", 0 } });
    }
    return http::makeJsonResponse(request, http::Status::ok,
        json::serialize(
            json::object { { "items", std::move(items) }, { "has-more", hasMore }, { "as-of", revision_ } }));
}

std::string StoreStandIn::changesAfter(std::uint64_t revision, const std::string& prefix) const
{
    json::array events;
    for (const Change& change : history_) {
        if (change.revision <= revision || !change.key.starts_with(prefix))
            continue;
        json::object event { { "key", change.key }, { "revision", change.revision } };
        if (change.isDeleted)
            event["deleted"] = true;
        else
            event["value"] = encodeBase64(change.value);
        events.push_back(std::move(event));
    }
    if (events.empty())
        return {};
    return json::serialize(json::object { { "events", std::move(events) }, { "as-of", revision_ } });
}

http::Response StoreStandIn::watch(const http::Request& request, const http::Target& target)
{
    const std::uint64_t after = number(target, "after");
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(number(target, "wait-ms"));
    for (;;) {
        if (mode_ != StoreMode::Serving)
            return http::makeJsonResponse(request, http::Status::service_unavailable, "{}");
        if (after < historyFrom_ && historyFrom_ > 1)
            return http::makeJsonResponse(request, http::Status::gone, "{}");
        std::string body = changesAfter(after, target.parameter("prefix"));
        if (!body.empty())
            return http::makeJsonResponse(request, http::Status::ok, std::move(body));
        if (std::chrono::steady_clock::now() >= end)
            break;
        runtime::sleepFor(io_, WatchStep);
    }
    return http::makeJsonResponse(request, http::Status::ok,
        json::serialize(json::object { { "events", json::array() }, { "as-of", revision_ } }));
}

// For tests in other processes: PUT and DELETE of /control/keys?key=K, and /control/mode?mode=M.
http::Response StoreStandIn::control(const http::Request& request, const http::Target& target)
{
    if (target.path == "/control/keys") {
        if (request.method() == boost::beast::http::verb::delete_)
            erase(target.parameter("key"));
        else
            put(target.parameter("key"), request.body());
    } else if (target.path == "/control/compact") {
        compact();
    } else if (target.path == "/control/mode") {
        static const std::map<std::string, StoreMode> Modes { { "serving", StoreMode::Serving },
            { "busy", StoreMode::Busy }, { "limited", StoreMode::Limited }, { "silent", StoreMode::Silent } };
        const auto found = Modes.find(target.parameter("mode"));
        if (found == Modes.end())
            return http::makeJsonResponse(request, http::Status::bad_request, "{}");
        mode_ = found->second;
    }
    return http::makeJsonResponse(
        request, http::Status::ok, json::serialize(json::object { { "revision", revision_ }, { "calls", calls_ } }));
}

} // namespace flamingousher::platform
