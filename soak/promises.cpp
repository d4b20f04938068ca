#include "soak/promises.h"

#include <algorithm>
#include <functional>

namespace flamingousher::soak {

namespace {

    constexpr std::size_t RecordBytes = 16;
    constexpr double CoverageTolerance = 1e-9;

    bool reportsNotRun(std::uint32_t status)
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    bool isSuccess(std::uint32_t status)
    {
        return status >= 200 && status < 300;
    }

} // namespace

Promises::Promises(PromiseBounds bounds, MakeRecords makeRecords)
    : bounds_(bounds)
    , makeRecords_(std::move(makeRecords))
{
}

void Promises::onPublished(const PublishedConfiguration& published)
{
    published_.push_back(published);
}

void Promises::onDraining(const std::string& upstream, TimePoint at)
{
    draining_.emplace(upstream, at);
}

void Promises::onEvacuated(const std::string& upstream, TimePoint at)
{
    evacuated_.emplace(upstream, at);
}

void Promises::onEvacuationEnded(const std::string& upstream)
{
    evacuated_.erase(upstream);
}

void Promises::onDisturbance(std::size_t vm, TimePoint from, TimePoint to)
{
    disturbances_[vm].push_back({ from, to });
}

void Promises::onGlobalDisturbance(TimePoint from, TimePoint to)
{
    globalDisturbances_.push_back({ from, to });
}

void Promises::onPlannedStop(std::size_t vm, TimePoint from, TimePoint to)
{
    plannedStops_[vm].push_back({ from, to });
}

void Promises::onPathDisturbed(const std::string& upstream, TimePoint from, TimePoint to)
{
    disturbedPaths_[upstream].push_back({ from, to });
}

void Promises::onStopTimeout(std::size_t vm, TimePoint from, TimePoint to)
{
    if (isUndisturbed(vm, from, to, PlannedStops::Excluded))
        violations_.push_back("planned stop: VM " + std::to_string(vm) + " did not exit within its time limit");
}

void Promises::onUnexpectedExit(std::size_t vm, int status)
{
    violations_.push_back("up: VM " + std::to_string(vm) + " exited unexpectedly, status " + std::to_string(status));
}

bool Promises::overlaps(const std::vector<Span>& spans, TimePoint from, TimePoint to) const
{
    return std::ranges::any_of(
        spans, [&](const Span& span) { return span.from <= to && span.to + bounds_.settlingTime >= from; });
}

bool Promises::isUndisturbed(std::size_t vm, TimePoint from, TimePoint to, PlannedStops plannedStops) const
{
    const auto isDisturbed = [&](const std::map<std::size_t, std::vector<Span>>& spans) {
        const auto found = spans.find(vm);
        return found != spans.end() && overlaps(found->second, from, to);
    };
    return !overlaps(globalDisturbances_, from, to) && !isDisturbed(disturbances_)
        && (plannedStops == PlannedStops::Excluded || !isDisturbed(plannedStops_));
}

void Promises::report(const std::string& promise, const Request& request, const std::string& detail)
{
    violations_.push_back(
        promise + ": request " + request.sent.id + " at VM " + std::to_string(request.sent.vm) + ": " + detail);
}

void Promises::onSent(const SentRequest& sent)
{
    requests_[sent.id] = { sent };
}

void Promises::onAnswered(const std::string& id, const ReceivedAnswer& answer, TimePoint at)
{
    Request& request = requests_[id];
    now_ = at;
    if (reportsNotRun(answer.status)) {
        request.isReportedNotRun = true;
        if (!request.sent.isFanout && request.runs > 0)
            report("not run", request, "status " + std::to_string(answer.status) + " after it had run");
    }
    if (at > request.sent.at + request.sent.timeout + bounds_.deadlineTolerance
        && isUndisturbed(request.sent.vm, request.sent.at, at))
        report("deadline", request, "answered long after its timeout");
    if (!isSuccess(answer.status))
        return;
    ++served_;
    if (request.sent.isFanout)
        checkFanoutAnswer(request, answer);
    else
        checkSingleAnswer(request, answer);
}

void Promises::onConnectionLost(const std::string& id, TimePoint at)
{
    const Request& request = requests_[id];
    if (request.hasReachedUpstream && isUndisturbed(request.sent.vm, request.sent.at, at, PlannedStops::Excluded))
        report("nothing cut", request, "the connection ended without a complete answer");
}

void Promises::onTimeout(const std::string& id, TimePoint at)
{
    const Request& request = requests_[id];
    if (isUndisturbed(request.sent.vm, request.sent.at, at))
        report("deadline", request, "no answer within its timeout");
}

void Promises::onArrived(const std::string& upstream, const std::string& id, TimePoint at)
{
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
        violations_.push_back("unasked: upstream " + upstream + " got request '" + id + "', which no caller has sent");
        return;
    }
    found->second.hasReachedUpstream = true;
    if (isUnwanted(draining_, bounds_.draining, upstream, found->second, at))
        report("drain", found->second, "reached " + upstream + " after its drain had begun");
    if (isUnwanted(evacuated_, bounds_.evacuation, upstream, found->second, at))
        report("evacuation", found->second, "reached " + upstream + " after its zone had been evacuated");
}

// Returns whether an undisturbed VM must have known by then that the upstream wants no requests.
bool Promises::isUnwanted(const std::map<std::string, TimePoint>& since, base::Duration bound,
    const std::string& upstream, const Request& request, TimePoint at) const
{
    const auto found = since.find(upstream);
    if (found == since.end() || at <= found->second + bound)
        return false;
    const auto path = disturbedPaths_.find(upstream);
    return isUndisturbed(request.sent.vm, found->second, at)
        && (path == disturbedPaths_.end() || !overlaps(path->second, found->second, at));
}

void Promises::onRun(const std::string& id)
{
    Request& request = requests_[id];
    ++request.runs;
    if (request.sent.isFanout)
        return;
    if (request.runs > 1)
        report("once", request, "ran " + std::to_string(request.runs) + " times");
    if (request.isReportedNotRun)
        report("not run", request, "ran after it had been reported as not run");
}

void Promises::checkSingleAnswer(const Request& request, const ReceivedAnswer& answer)
{
    if (answer.stamps.size() != 1 || answer.stamps.front().requestId != request.sent.id)
        report("own answer", request, "the stamp belongs to another request");
    else if (answer.body != makeRecords_(answer.stamps.front().service, request.sent.id))
        report("own answer", request, "the body is not the upstream's");
}

// Returns the newest version that contains the services of all stamps, or nullptr.
const PublishedConfiguration* Promises::findVersion(const ReceivedAnswer& answer) const
{
    for (auto version = published_.rbegin(); version != published_.rend(); ++version) {
        const bool containsAll = std::ranges::all_of(answer.stamps, [&](const ResponseStamp& part) {
            return std::ranges::find(version->shards, part.service) != version->shards.end();
        });
        if (containsAll)
            return &*version;
    }
    return nullptr;
}

std::string Promises::greatestRecords(const ReceivedAnswer& answer, std::size_t limit) const
{
    std::vector<std::string> records;
    for (const ResponseStamp& part : answer.stamps) {
        const std::string body = makeRecords_(part.service, part.requestId);
        for (std::size_t at = 0; at + RecordBytes <= body.size(); at += RecordBytes)
            records.push_back(body.substr(at, RecordBytes));
    }
    std::ranges::sort(records, std::greater<>());
    std::string merged;
    for (std::size_t index = 0; index < std::min(limit, records.size()); ++index)
        merged += records[index];
    return merged;
}

void Promises::checkFanoutAnswer(const Request& request, const ReceivedAnswer& answer)
{
    std::set<std::string> services;
    for (const ResponseStamp& part : answer.stamps) {
        if (part.requestId != request.sent.id)
            report("own answer", request, "a stamp belongs to another request");
        if (!services.insert(part.service).second)
            report("own answer", request, "two stamps of shard " + part.service);
    }
    const PublishedConfiguration* version = findVersion(answer);
    if (!version || answer.stamps.empty()) {
        report("one snapshot", request, "no version contains the shards of its stamps");
        return;
    }
    if (answer.stamps.size() + answer.missing != version->shards.size())
        report("coverage", request, "stamps and missing shards do not add up");
    const double coverage = static_cast<double>(answer.stamps.size()) / static_cast<double>(version->shards.size());
    if (coverage + CoverageTolerance < version->minCoverage)
        report("coverage", request, "success below the minimum coverage");
    if (answer.body != greatestRecords(answer, version->recordLimit))
        report("own answer", request, "the body does not hold the greatest records of its shards");
    checkVersion(request, *version);
}

void Promises::checkVersion(const Request& request, const PublishedConfiguration& version)
{
    SeenVersion& seen = newestVersions_[{ request.sent.vm, request.sent.start }];
    // Versions may share their shards, so an answer counts as the oldest one that does not go back. The answers of a VM
    // go back only if there is none.
    const auto notOlder = std::ranges::find_if(published_, [&](const PublishedConfiguration& candidate) {
        return candidate.version >= seen.version && candidate.shards == version.shards;
    });
    if (notOlder == published_.end() && request.sent.at > seen.at + bounds_.reorderTolerance)
        report("no reverting", request,
            "version " + std::to_string(version.version) + " after " + std::to_string(seen.version));
    if (notOlder != published_.end() && notOlder->version > seen.version)
        seen = { notOlder->version, now_ };
    for (const PublishedConfiguration& newer : published_) {
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
