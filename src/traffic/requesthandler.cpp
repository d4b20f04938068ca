#include "traffic/requesthandler.h"

#include "runtime/signal.h"
#include "runtime/usefiber.h"
#include "traffic/internal/activequery.h"

#include <boost/json.hpp>

#include <charconv>

namespace flamingousher::traffic {

using accounts::EventKind;
using base::Error;
using base::ErrorCode;
using base::RunState;
using base::Step;
using runtime::useFiber;

namespace {

    constexpr std::uint32_t DefaultPageSize = 10;
    constexpr std::uint32_t MaximumResults = 10'000;

    // Time kept for writing the answer, so that it arrives within the target.
    constexpr base::Duration ReplyMargin = std::chrono::milliseconds(2);

    constexpr base::Duration FirstBackoff = std::chrono::milliseconds(10);
    constexpr base::Duration LongestBackoff = std::chrono::seconds(1);

    struct Page {
        std::uint32_t offset { 0 };
        std::uint32_t size { DefaultPageSize };
    };

    std::optional<std::uint32_t> readNumber(const std::string& text)
    {
        std::uint32_t number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return number;
    }

    tl::expected<Page, Error> readPage(const http::Target& target)
    {
        const auto offset = readNumber(target.parameter("offset", "0"));
        const auto size = readNumber(target.parameter("k", std::to_string(DefaultPageSize)));
        if (!offset || !size || *offset > MaximumResults || *size > MaximumResults - *offset) {
            return tl::unexpected(Error { ErrorCode::BadRequest, Step::Routing, {},
                "offset and k must be whole numbers, " + std::to_string(MaximumResults) + " at most together" });
        }
        return Page { *offset, *size };
    }

    boost::json::array encodeHits(const std::vector<query::Hit>& hits, const Page& page)
    {
        boost::json::array results;
        for (std::size_t index = page.offset; index < hits.size(); ++index) {
            const query::Hit& hit = hits[index];
            results.push_back(boost::json::object { { "id", hit.id }, { "title", hit.title }, { "score", hit.score } });
        }
        return results;
    }

    boost::json::object encodeCoverage(const query::QueryOutcome& outcome)
    {
        boost::json::array missing;
        for (const query::MissingShard& shard : outcome.missing) {
            missing.push_back(
                boost::json::object { { "shard", shard.shard }, { "reason", base::toString(shard.reason.code) },
                    { "step", base::toString(shard.reason.step) }, { "peer", shard.reason.peer } });
        }
        return { { "answered", outcome.shardsAnswered() }, { "asked", outcome.shardsAsked },
            { "missing", std::move(missing) } };
    }

    std::string encodeOutcome(
        const query::QueryOutcome& outcome, const Page& page, const std::string& requestId, base::Duration elapsed)
    {
        const boost::json::object body {
            { "request_id", requestId },
            { "results", encodeHits(outcome.hits, page) },
            { "snapshot", outcome.version },
            { "coverage", encodeCoverage(outcome) },
            { "partial", outcome.isPartial() },
            { "elapsed_ms", base::toMilliseconds(elapsed) },
        };
        return boost::json::serialize(body) + "\n";
    }

    void sleepFor(boost::asio::io_context& io, base::Duration duration)
    {
        boost::asio::steady_timer timer(io, duration);
        boost::system::error_code ignored;
        timer.async_wait(useFiber[ignored]);
    }

} // namespace

RequestHandler::RequestHandler(TrafficContext& context)
    : context_(context)
{
}

RequestHandler::~RequestHandler() = default;

http::Response RequestHandler::handle(const http::Request& request, http::Exchange& exchange)
{
    const std::shared_ptr<const tables::Tables> tables = context_.tables;
    const std::string path = http::parseTarget({ request.target().data(), request.target().size() }).path;
    const tables::Route* route = tables ? tables->routeFor(std::string(request.method_string()), path) : nullptr;
    CallerRequest callerRequest(context_, request, exchange, route ? *route : tables::Route { .name = "none" });
    if (!tables) {
        return refuse(
            request, callerRequest, { ErrorCode::NotReady, Step::Configuration, {}, "no configuration is known yet" });
    }
    PoolState* pool = route ? context_.pool(route->pool) : nullptr;
    if (!pool)
        return refuse(request, callerRequest, { ErrorCode::NoRoute, Step::Routing, {}, "no route takes this request" });
    if (pool->pool.kind == tables::PoolKind::Service)
        return handleService(request, exchange, callerRequest, *pool);
    return handleSearch(request, exchange, callerRequest, *pool);
}

http::Response RequestHandler::refuse(
    const http::Request& request, CallerRequest& callerRequest, const Error& error, base::Duration retryAfter)
{
    callerRequest.note(EventKind::Refused);
    callerRequest.finish(std::string(base::toString(error.code)));
    return makeErrorResponse(request, callerRequest.id(), error, retryAfter);
}

tl::expected<admission::TicketId, base::Duration> RequestHandler::enter(
    http::Exchange& exchange, CallerRequest& callerRequest, PoolState& pool)
{
    const admission::TicketId ticket = context_.nextId();
    admission::Gate& gate = pool.gate(callerRequest.route().rank);
    const admission::Decision decision
        = gate.request(ticket, callerRequest.caller(), callerRequest.deadline(), context_.now());
    if (decision.verdict == admission::Verdict::Refused)
        return tl::unexpected(decision.retryAfter);
    if (decision.verdict == admission::Verdict::Waiting) {
        callerRequest.note(EventKind::Waiting);
        runtime::Signal signal;
        bool isAdmitted = false;
        waiting_.emplace(ticket, std::pair(&signal, &isAdmitted));
        exchange.onPeerGone = [&] {
            gate.withdraw(ticket);
            signal.notify();
        };
        signal.wait();
        exchange.onPeerGone = nullptr;
        waiting_.erase(ticket);
        if (!isAdmitted)
            return tl::unexpected(base::Duration::zero());
    }
    callerRequest.note(EventKind::Admitted);
    return ticket;
}

void RequestHandler::moveWaiting()
{
    for (auto& [name, pool] : context_.pools) {
        for (admission::Gate& gate : pool.gates) {
            if (gate.waiting() == 0)
                continue;
            const admission::Gate::Moved moved = gate.takeMoved(context_.now());
            for (admission::TicketId ticket : moved.admitted) {
                const auto [signal, isAdmitted] = waiting_.at(ticket);
                *isAdmitted = true;
                signal->notify();
            }
            for (admission::TicketId ticket : moved.expired)
                waiting_.at(ticket).first->notify();
        }
    }
}

http::Response RequestHandler::handleSearch(
    const http::Request& request, http::Exchange& exchange, CallerRequest& callerRequest, PoolState& pool)
{
    const http::Target target = http::parseTarget({ request.target().data(), request.target().size() });
    const tl::expected<Page, Error> page = readPage(target);
    if (!page)
        return refuse(request, callerRequest, page.error());
    const tables::Route& route = callerRequest.route();
    const query::QuerySpec spec { callerRequest.deadline() - ReplyMargin, route.allowsPartial, route.leastCoverage,
        route.allowsHedging, page->offset + page->size };
    const auto ticket = enter(exchange, callerRequest, pool);
    if (!ticket) {
        return refuse(request, callerRequest,
            { ErrorCode::Overloaded, Step::Admission, {}, "cannot be answered in time" }, ticket.error());
    }
    // Background work outlives failures of upstreams: it is tried again until its deadline.
    query::QueryOutcome outcome;
    base::Duration longestQueued {};
    for (base::Duration backoff = FirstBackoff;; backoff = std::min(2 * backoff, LongestBackoff)) {
        const auto active = std::make_shared<ActiveQuery>(context_, pool, callerRequest, spec, target.parameter("q"));
        exchange.onPeerGone = [active] { active->abandon(); };
        outcome = active->run();
        exchange.onPeerGone = nullptr;
        longestQueued = std::max(longestQueued, active->longestQueued());
        const bool isFinal = !outcome.error || outcome.error->code == ErrorCode::Cancelled;
        if (isFinal || route.rank != base::Rank::Background || context_.now() + 2 * backoff >= spec.deadline)
            break;
        sleepFor(context_.io, backoff);
    }
    const base::TimePoint now = context_.now();
    pool.gate(route.rank).release(*ticket, longestQueued, now - callerRequest.receivedAt(), now);
    moveWaiting();
    if (outcome.error)
        return refuse(request, callerRequest, *outcome.error);
    const std::string body
        = encodeOutcome(outcome, *page, callerRequest.id(), context_.now() - callerRequest.receivedAt());
    callerRequest.finish(outcome.isPartial() ? "partial" : "complete");
    return http::makeJsonResponse(request, http::Status::ok, body);
}

http::Response RequestHandler::handleService(
    const http::Request& request, http::Exchange&, CallerRequest& callerRequest, PoolState& pool)
{
    const bool isIdempotent = callerRequest.route().isIdempotent;
    Error lastError { ErrorCode::Unreachable, Step::Routing, {}, "no upstream may receive work" };
    base::Duration backoff = FirstBackoff;
    while (context_.now() < callerRequest.deadline()) {
        const auto upstream = context_.chooser.choose(pool.upstreams, context_.now());
        if (upstream) {
            transport::SubRequest subRequest { context_.nextId(), *upstream, callerRequest.route().rank,
                callerRequest.caller(), callerRequest.deadline() - ReplyMargin, callerRequest.fingerprint(),
                transport::ServiceCall { std::string(request.method_string()), std::string(request.target()),
                    std::string(request[boost::beast::http::field::content_type]), request.body(), {} } };
            auto signal = std::make_shared<runtime::Signal>();
            auto result = std::make_shared<transport::SubResult>();
            const base::TimePoint sentAt = context_.now();
            context_.chooser.onSent(*upstream, sentAt);
            callerRequest.note(EventKind::Sent, 0, *upstream);
            context_.dispatcher.submit(std::move(subRequest), [signal, result](transport::SubResult value) {
                *result = std::move(value);
                signal->notify();
            });
            signal->wait();
            if (result->value) {
                context_.chooser.onAnswered(*upstream, context_.now() - sentAt, context_.now());
                callerRequest.note(EventKind::Answered, 0, *upstream);
                callerRequest.finish("complete");
                auto& answer = std::get<transport::ServiceAnswer>(*result->value);
                return http::makeResponse(
                    request, http::Status(answer.status), answer.contentType, std::move(answer.body));
            }
            lastError = result->value.error();
            callerRequest.note(EventKind::Failed, 0, *upstream, lastError);
            if (lastError.code == ErrorCode::Unreachable || lastError.code == ErrorCode::ConnectionLost)
                context_.chooser.onFailed(*upstream, context_.now());
            else
                context_.chooser.onReleased(*upstream);
            // Sent again only when it is idempotent, or proved not to have run.
            if (!isIdempotent && lastError.runState != RunState::NotRun)
                break;
        }
        sleepFor(context_.io, backoff);
        backoff = std::min(2 * backoff, LongestBackoff);
    }
    return refuse(request, callerRequest, lastError);
}

} // namespace flamingousher::traffic
