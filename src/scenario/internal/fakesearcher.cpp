#include "scenario/internal/fakesearcher.h"

#include <algorithm>

namespace flamingousher::scenario {

using base::Error;
using base::ErrorCode;
using base::RunState;
using base::Step;

namespace {

    // The newest version and the two before it are served.
    constexpr std::size_t RetainedVersions = 3;

    constexpr int SlowFactor = 5;
    constexpr base::Duration ReservationTime = std::chrono::milliseconds(3);
    constexpr base::Duration RefusalTime = std::chrono::microseconds(300);

    bool contains(const std::vector<std::uint32_t>& numbers, std::uint32_t number)
    {
        return std::ranges::find(numbers, number) != numbers.end();
    }

} // namespace

FakeSearcher::FakeSearcher(EventQueue& events, std::mt19937_64& random, const Settings& settings, History& history,
    std::uint32_t number, std::uint32_t shard)
    : events_(events)
    , random_(random)
    , settings_(settings)
    , history_(history)
    , number_(number)
    , shard_(shard)
    , isSilent_(contains(settings.silentUpstreams, number))
    , isUnreachable_(contains(settings.unreachableUpstreams, number))
    , isSlow_(contains(settings.slowUpstreams, number))
{
}

transport::SubResult FakeSearcher::makeFailure(ErrorCode code, RunState state) const
{
    return { tl::unexpected(Error { code, Step::Receive, "u" + std::to_string(number_), "", state }) };
}

base::Duration FakeSearcher::drawServiceTime()
{
    std::lognormal_distribution<double> spread(0, 0.3);
    const double seconds = std::chrono::duration<double>(settings_.serviceTime).count() * spread(random_);
    base::Duration time = std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds));
    if (isSlow_)
        time *= SlowFactor;
    if (std::uniform_real_distribution<double>(0, 1)(random_) < settings_.faults.stragglerProbability)
        time += settings_.faults.stragglerDelay;
    return time;
}

void FakeSearcher::start(
    const transport::SubRequest& request, std::uint64_t queryNumber, bool isExtra, const Reply& reply)
{
    const auto& call = std::get<transport::SearchCall>(request.call);
    if (isUnreachable_ || downUntil_ > events_.now()) {
        events_.scheduleAfter(
            RefusalTime, [reply, result = makeFailure(ErrorCode::Unreachable, RunState::NotRun)] { reply(result); });
        return;
    }
    if (!versions_.contains(call.target.version) && settings_.defect != Defect::MixesVersions) {
        events_.scheduleAfter(RefusalTime,
            [reply, result = makeFailure(ErrorCode::VersionNotServed, RunState::NotRun)] { reply(result); });
        return;
    }
    const query::IndexVersion version
        = versions_.contains(call.target.version) ? call.target.version : *versions_.rbegin();
    history_.executions.push_back(
        { queryNumber, number_, { version, shard_, settings_.shards }, isExtra, events_.now() });
    running_[request.id] = reply;
    history_.slotsExceeded += running_.size() > settings_.slots ? 1 : 0;
    if (isSilent_) {
        // Occupies the slot until the owner would close the unresponsive connection.
        events_.scheduleAt(
            request.deadline + std::chrono::milliseconds(250), [this, id = request.id] { running_.erase(id); });
        return;
    }
    const query::Hit hit { std::to_string(queryNumber) + "/" + std::to_string(shard_) + "/" + std::to_string(version),
        "", 1 };
    // Claims the requested target even if the defect made the search use another version.
    query::SubAnswer answer { call.target, { hit } };
    const base::Duration time = drawServiceTime();
    const bool isTooLate = events_.now() + time > request.deadline;
    const base::Duration until = isTooLate ? request.deadline - events_.now() : time;
    events_.scheduleAfter(until, [this, id = request.id, answer, isTooLate, generation = generation_] {
        const auto found = running_.find(id);
        if (found == running_.end() || generation != generation_)
            return;
        const Reply callback = found->second;
        running_.erase(found);
        callback(
            isTooLate ? makeFailure(ErrorCode::DeadlineExceeded, RunState::Unknown) : transport::SubResult { answer });
    });
}

void FakeSearcher::cancel(transport::SubRequestId id, std::uint32_t)
{
    const auto found = running_.find(id);
    if (found == running_.end() || isSilent_)
        return;
    const Reply reply = found->second;
    running_.erase(found);
    reply(makeFailure(ErrorCode::Cancelled, RunState::Unknown));
}

void FakeSearcher::reserve(const std::string& identity, const Reply& reply)
{
    if (isUnreachable_ || downUntil_ > events_.now()) {
        events_.scheduleAfter(
            RefusalTime, [reply, result = makeFailure(ErrorCode::Unreachable, RunState::NotRun)] { reply(result); });
        return;
    }
    history_.reservationRuns.push_back({ identity, events_.now() });
    events_.scheduleAfter(ReservationTime, [this, reply, generation = generation_] {
        if (generation == generation_)
            reply({ transport::ServiceAnswer { 201, "", "done" } });
        else
            reply(makeFailure(ErrorCode::UpstreamCrashed, RunState::Unknown));
    });
}

void FakeSearcher::publishVersion(query::IndexVersion version)
{
    versions_.insert(version);
    while (versions_.size() > RetainedVersions)
        versions_.erase(versions_.begin());
}

void FakeSearcher::crash(base::Duration downFor)
{
    ++generation_;
    downUntil_ = events_.now() + downFor;
    for (const auto& [id, reply] : std::exchange(running_, {}))
        reply(makeFailure(ErrorCode::UpstreamCrashed, RunState::Unknown));
}

void FakeSearcher::drain()
{
    isDraining_ = true;
}

transport::UpstreamStatus FakeSearcher::status() const
{
    transport::UpstreamStatus status { isDraining_, 0, {} };
    for (query::IndexVersion version : versions_)
        status.served.push_back({ version, shard_, settings_.shards });
    return status;
}

} // namespace flamingousher::scenario
