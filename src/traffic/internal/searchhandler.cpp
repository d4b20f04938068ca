#include "traffic/internal/searchhandler.h"

#include "runtime/usefiber.h"
#include "traffic/internal/activequery.h"

#include <boost/json.hpp>

#include <charconv>

namespace flamingousher::traffic {

using accounts::EventKind;
using base::Error;
using base::ErrorCode;
using base::Step;

namespace {

    constexpr std::uint32_t DefaultPageSize = 10;
    constexpr std::uint32_t MaxResults = 10'000;

    struct Page {
        std::uint32_t offset { 0 };
        std::uint32_t size { DefaultPageSize };
    };

    std::optional<std::uint32_t> parseNumber(const std::string& text)
    {
        std::uint32_t number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return number;
    }

    tl::expected<Page, Error> parsePage(const http::Target& target)
    {
        const auto offset = parseNumber(target.parameter("offset", "0"));
        const auto size = parseNumber(target.parameter("k", std::to_string(DefaultPageSize)));
        if (!offset || !size || *offset > MaxResults || *size > MaxResults - *offset) {
            return tl::unexpected(Error { ErrorCode::BadRequest, Step::Routing, {},
                "offset and k must be non-negative integers with a sum of " + std::to_string(MaxResults)
                    + " or less" });
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
        return { { "answered", outcome.shardsAnswered() }, { "asked", outcome.shardsQueried },
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

    // A request may be safe on one index version and crash upstreams on another.
    std::uint64_t fingerprintOn(std::uint64_t fingerprint, query::IndexVersion version)
    {
        constexpr std::uint64_t OddMultiplier = 0x9e3779b97f4a7c15ULL;
        return fingerprint ^ (version * OddMultiplier);
    }

    bool isRetryable(ErrorCode code)
    {
        return code != ErrorCode::Cancelled && code != ErrorCode::Quarantined;
    }

} // namespace

SearchHandler::SearchHandler(TrafficContext& context)
    : context_(context)
{
}

tl::expected<admission::TicketId, base::Duration> SearchHandler::admit(
    http::Exchange& exchange, CallerRequest& request, PoolState& pool)
{
    const admission::TicketId ticket = context_.nextId();
    admission::Gate& gate = pool.gate(request.route().rank);
    const admission::Decision decision = gate.request(ticket, request.caller(), request.deadline(), context_.now());
    if (decision.result == admission::Result::Refused)
        return tl::unexpected(decision.retryAfter);
    if (decision.result == admission::Result::Waiting) {
        request.recordEvent(EventKind::Waiting);
        runtime::Signal signal;
        bool isAdmitted = false;
        waiting_.emplace(ticket, Waiter { &signal, &isAdmitted });
        exchange.onPeerGone = [&] {
            gate.cancelWaiting(ticket);
            signal.notify();
        };
        signal.wait();
        exchange.onPeerGone = nullptr;
        waiting_.erase(ticket);
        if (!isAdmitted)
            return tl::unexpected(base::Duration::zero());
    }
    request.recordEvent(EventKind::Admitted);
    return ticket;
}

void SearchHandler::processWaiting()
{
    for (auto& [name, pool] : context_.pools) {
        for (admission::Gate& gate : pool->gates) {
            if (gate.waiting() == 0)
                continue;
            const admission::Gate::Dequeued dequeued = gate.dequeue(context_.now());
            for (admission::TicketId ticket : dequeued.admitted) {
                const Waiter& waiter = waiting_.at(ticket);
                *waiter.isAdmitted = true;
                waiter.signal->notify();
            }
            for (admission::TicketId ticket : dequeued.expired)
                waiting_.at(ticket).signal->notify();
        }
    }
}

query::QueryOutcome SearchHandler::run(http::Exchange& exchange, CallerRequest& request, PoolState& pool,
    const query::QuerySpec& baseSpec, const std::string& text, base::Duration& maxQueueTime)
{
    for (base::Duration backoff = InitialBackoff;; backoff = std::min(2 * backoff, MaxBackoff)) {
        const auto plan = pool.catalog.bestPlan();
        const std::uint64_t fingerprint = fingerprintOn(request.fingerprint(), plan ? plan->version : 0);
        if (context_.quarantine.isQuarantined(fingerprint, context_.now())) {
            query::QueryOutcome outcome;
            outcome.error = Error { ErrorCode::Quarantined, Step::Admission, {}, "the request crashes upstreams" };
            return outcome;
        }
        query::QuerySpec spec = baseSpec;
        spec.needsCanary = !context_.quarantine.isKnownSafe(fingerprint);
        const auto active = std::make_shared<ActiveQuery>(context_, pool, request, spec, text, fingerprint);
        exchange.onPeerGone = [active] { active->abandon(); };
        query::QueryOutcome outcome = active->run();
        exchange.onPeerGone = nullptr;
        maxQueueTime = std::max(maxQueueTime, active->maxQueueTime());
        const bool isBackground = request.route().rank == base::Rank::Background;
        const bool isFinal = !outcome.error || !isRetryable(outcome.error->code);
        if (isFinal || !isBackground || context_.now() + 2 * backoff >= spec.deadline)
            return outcome;
        context_.sleepFor(backoff);
    }
}

http::Response SearchHandler::handle(
    const http::Request& request, http::Exchange& exchange, CallerRequest& callerRequest, PoolState& pool)
{
    const http::Target target = http::parseTarget({ request.target().data(), request.target().size() });
    const tl::expected<Page, Error> page = parsePage(target);
    if (!page)
        return callerRequest.refuse(request, page.error());
    const tables::Route& route = callerRequest.route();
    const query::QuerySpec spec { .deadline = callerRequest.deadline() - ReplyMargin,
        .allowsPartial = route.allowsPartial,
        .minCoverage = route.minCoverage,
        .allowsHedging = route.allowsHedging,
        .resultLimit = page->offset + page->size };
    const auto ticket = admit(exchange, callerRequest, pool);
    if (!ticket) {
        return callerRequest.refuse(request,
            { ErrorCode::Overloaded, Step::Admission, {}, "the request cannot finish before its deadline" },
            ticket.error());
    }
    const base::TimePoint admittedAt = context_.now();
    base::Duration maxQueueTime {};
    const query::QueryOutcome outcome = run(exchange, callerRequest, pool, spec, target.parameter("q"), maxQueueTime);
    const base::TimePoint now = context_.now();
    pool.gate(route.rank).release(*ticket, maxQueueTime, now - admittedAt, now);
    processWaiting();
    if (outcome.error)
        return callerRequest.refuse(request, *outcome.error);
    const std::string body
        = encodeOutcome(outcome, *page, callerRequest.id(), context_.now() - callerRequest.receivedAt());
    callerRequest.finish(outcome.isPartial() ? "partial" : "complete");
    return http::makeJsonResponse(request, http::Status::ok, body);
}

} // namespace flamingousher::traffic
