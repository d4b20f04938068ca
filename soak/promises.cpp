#include "soak/promises.h"

#include <algorithm>
#include <functional>

namespace flamingousher::soak {

namespace {

    constexpr std::size_t RecordBytes = 16;
    constexpr double CoverageTolerance = 1e-9;

    bool promisesNotRun(std::uint32_t status)
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    bool isSuccess(std::uint32_t status)
    {
        return status >= 200 && status < 300;
    }

} // namespace

Promises::Promises(PromiseBounds bounds, RecordsOf recordsOf)
    : bounds_(bounds)
    , recordsOf_(std::move(recordsOf))
{
}

void Promises::onPublished(const Published& published)
{
    published_.push_back(published);
}

void Promises::onDraining(const std::string& upstream, TimePoint at)
{
    draining_.emplace(upstream, at);
}

void Promises::onTrouble(std::size_t vm, TimePoint from, TimePoint to)
{
    troubles_[vm].push_back({ from, to });
}

void Promises::onTroubleForAll(TimePoint from, TimePoint to)
{
    troublesForAll_.push_back({ from, to });
}

void Promises::onPlannedStop(std::size_t vm, TimePoint from, TimePoint to)
{
    plannedStops_[vm].push_back({ from, to });
}

void Promises::onWayHarmed(const std::string& upstream, TimePoint from, TimePoint to)
{
    harmedWays_[upstream].push_back({ from, to });
}

void Promises::onOverstay(std::size_t vm, TimePoint from, TimePoint to)
{
    if (isUndisturbed(vm, from, to, Planned::DoesNot))
        broken_.push_back("planned stop: VM " + std::to_string(vm) + " has not ended in its time");
}

void Promises::onUnexpectedEnd(std::size_t vm, int status)
{
    broken_.push_back("up: VM " + std::to_string(vm) + " has ended by itself, status " + std::to_string(status));
}

bool Promises::touches(const std::vector<Span>& spans, TimePoint from, TimePoint to) const
{
    return std::ranges::any_of(
        spans, [&](const Span& span) { return span.from <= to && span.to + bounds_.settling >= from; });
}

bool Promises::isUndisturbed(std::size_t vm, TimePoint from, TimePoint to, Planned planned) const
{
    const auto isTouched = [&](const std::map<std::size_t, std::vector<Span>>& spans) {
        const auto found = spans.find(vm);
        return found != spans.end() && touches(found->second, from, to);
    };
    return !touches(troublesForAll_, from, to) && !isTouched(troubles_)
        && (planned == Planned::DoesNot || !isTouched(plannedStops_));
}

void Promises::report(const std::string& promise, const Request& request, const std::string& detail)
{
    broken_.push_back(
        promise + ": request " + request.sent.id + " at VM " + std::to_string(request.sent.vm) + ": " + detail);
}

void Promises::onSent(const SentRequest& sent)
{
    requests_[sent.id] = { sent };
}

void Promises::onAnswered(const std::string& id, const ReadAnswer& answer, TimePoint at)
{
    Request& request = requests_[id];
    now_ = at;
    if (promisesNotRun(answer.status)) {
        request.isPromisedNotRun = true;
        if (!request.sent.asksShards && request.runs > 0)
            report("not run", request, "status " + std::to_string(answer.status) + " after it had run");
    }
    if (at > request.sent.at + request.sent.allowed + bounds_.late
        && isUndisturbed(request.sent.vm, request.sent.at, at))
        report("deadline", request, "answered long after the time that it was allowed");
    if (!isSuccess(answer.status))
        return;
    ++served_;
    if (request.sent.asksShards)
        checkGathered(request, answer);
    else
        checkSingle(request, answer);
}

void Promises::onCut(const std::string& id, TimePoint at)
{
    const Request& request = requests_[id];
    if (request.hasArrived && isUndisturbed(request.sent.vm, request.sent.at, at, Planned::DoesNot))
        report("nothing cut", request, "the connection ended without a complete answer");
}

void Promises::onUnanswered(const std::string& id, TimePoint at)
{
    const Request& request = requests_[id];
    if (isUndisturbed(request.sent.vm, request.sent.at, at))
        report("deadline", request, "no answer within the time that it was allowed");
}

void Promises::onArrived(const std::string& upstream, const std::string& id, TimePoint at)
{
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
        broken_.push_back("unasked: upstream " + upstream + " got request '" + id + "', which no caller has sent");
        return;
    }
    found->second.hasArrived = true;
    const auto drained = draining_.find(upstream);
    if (drained != draining_.end() && at > drained->second + bounds_.draining
        && isUndisturbed(found->second.sent.vm, drained->second, at)
        && !touches(harmedWays_[upstream], drained->second, at))
        report("drain", found->second, "reached " + upstream + ", which had begun to leave");
}

void Promises::onRun(const std::string& id)
{
    Request& request = requests_[id];
    ++request.runs;
    if (request.sent.asksShards)
        return;
    if (request.runs > 1)
        report("once", request, "ran " + std::to_string(request.runs) + " times");
    if (request.isPromisedNotRun)
        report("not run", request, "ran after the promise that it never would");
}

void Promises::checkSingle(const Request& request, const ReadAnswer& answer)
{
    if (answer.parts.size() != 1 || answer.parts.front().requestId != request.sent.id)
        report("own answer", request, "the proof is of another request");
    else if (answer.body != recordsOf_(answer.parts.front().service, request.sent.id))
        report("own answer", request, "the body is not the upstream's");
}

// The newest version that names all parts.
const Published* Promises::versionOf(const ReadAnswer& answer) const
{
    for (auto version = published_.rbegin(); version != published_.rend(); ++version) {
        const bool namesAll = std::ranges::all_of(answer.parts, [&](const Part& part) {
            return std::ranges::find(version->shards, part.service) != version->shards.end();
        });
        if (namesAll)
            return &*version;
    }
    return nullptr;
}

std::string Promises::greatestRecords(const ReadAnswer& answer, std::size_t limit) const
{
    std::vector<std::string> records;
    for (const Part& part : answer.parts) {
        const std::string body = recordsOf_(part.service, part.requestId);
        for (std::size_t at = 0; at + RecordBytes <= body.size(); at += RecordBytes)
            records.push_back(body.substr(at, RecordBytes));
    }
    std::ranges::sort(records, std::greater<>());
    std::string merged;
    for (std::size_t index = 0; index < std::min(limit, records.size()); ++index)
        merged += records[index];
    return merged;
}

void Promises::checkGathered(const Request& request, const ReadAnswer& answer)
{
    std::set<std::string> services;
    for (const Part& part : answer.parts) {
        if (part.requestId != request.sent.id)
            report("own answer", request, "a part is of another request");
        if (!services.insert(part.service).second)
            report("own answer", request, "two parts of shard " + part.service);
    }
    const Published* version = versionOf(answer);
    if (!version || answer.parts.empty()) {
        report("one snapshot", request, "no version names the shards of its parts");
        return;
    }
    if (answer.parts.size() + answer.missing != version->shards.size())
        report("coverage", request, "parts and missing shards do not add up");
    const double coverage = static_cast<double>(answer.parts.size()) / static_cast<double>(version->shards.size());
    if (coverage + CoverageTolerance < version->leastCoverage)
        report("coverage", request, "a success below the least coverage");
    if (answer.body != greatestRecords(answer, version->recordLimit))
        report("own answer", request, "the body is not the greatest records of its parts");
    checkVersion(request, *version);
}

void Promises::checkVersion(const Request& request, const Published& version)
{
    Seen& seen = newestSeen_[{ request.sent.vm, request.sent.start }];
    if (version.version < seen.version && request.sent.at > seen.at + bounds_.regression)
        report("no reverting", request,
            "version " + std::to_string(version.version) + " after " + std::to_string(seen.version));
    if (version.version > seen.version)
        seen = { version.version, now_ };
    for (const Published& newer : published_) {
        if (newer.version > version.version && request.sent.at > newer.at + bounds_.configuration
            && isUndisturbed(request.sent.vm, newer.at, request.sent.at)) {
            report("in force", request,
                "version " + std::to_string(version.version) + " answers, " + std::to_string(newer.version)
                    + " has long been accepted");
            return;
        }
    }
}

} // namespace flamingousher::soak
