#include "scenario/internal/vm.h"

#include <algorithm>

namespace flamingousher::scenario {

using base::Error;
using base::ErrorCode;
using base::RunState;
using base::Step;

namespace {

    constexpr double UnlimitedQueries = 1e9;
    constexpr std::size_t QueueCapacity = 4'096;
    constexpr base::Duration ReservationTimeout = std::chrono::milliseconds(500);
    constexpr std::uint64_t ReservationFingerprint = 1;

    std::vector<admission::Gate> makeGates(const Policy& policy)
    {
        admission::GateSettings settings;
        if (!policy.hasGate)
            settings.initialLimit = settings.minLimit = settings.maxLimit = UnlimitedQueries;
        if (policy.fixedLimit)
            settings.initialLimit = settings.minLimit = settings.maxLimit = *policy.fixedLimit;
        return { base::RankCount, admission::Gate(settings) };
    }

    std::string endpointOf(std::uint32_t vm)
    {
        return std::to_string(vm);
    }

} // namespace

Vm::Vm(World& world, std::uint32_t number, std::uint64_t boot)
    : world_(world)
    , number_(number)
    , boot_(boot)
    , gates_(makeGates(world.settings.policy))
    , chooser_({ [this](std::size_t bound) { return world_.random() % bound; }, [](query::UpstreamId) { return 1.0; } })
    , identities_(endpointOf(number), boot, {}, [this] { return world_.random(); })
{
    for (std::uint32_t upstream = 0; upstream < world_.searchers.size(); ++upstream)
        onStatus(upstream, world_.searchers[upstream]->status());
}

admission::Gate& Vm::gate(base::Rank rank)
{
    // A fixed limit applies to all ranks together, with a single FIFO queue.
    return gates_[world_.settings.policy.fixedLimit ? 0 : base::indexOf(rank)];
}

void Vm::onStatus(std::uint32_t upstream, const transport::UpstreamStatus& status)
{
    const bool isDraining = status.isDraining && world_.settings.defect != Defect::IgnoresDraining;
    catalog_.setServed(upstream, status.served);
    catalog_.setUsable(upstream, !isDraining);
    chooser_.setDraining(upstream, isDraining);
    const auto queue = queues_.find(upstream);
    if (queue != queues_.end())
        queue->second.setDraining(isDraining);
}

void Vm::startQuery(std::uint64_t number, const Load& load)
{
    const base::TimePoint now = world_.events.now();
    ActiveQuery& active = queries_[number];
    active.load = load;
    active.deadline = now + load.target;
    const admission::Decision decision = gate(load.rank).request(number, load.caller, active.deadline, now);
    if (decision.result == admission::Result::Admitted)
        run(number);
    else if (decision.result == admission::Result::Refused)
        refuse(number, decision.retryAfter);
}

void Vm::refuse(std::uint64_t number, base::Duration)
{
    query::QueryOutcome outcome;
    outcome.error = Error { ErrorCode::Overloaded, Step::Admission, {}, "", RunState::NotRun };
    world_.history.answers.push_back({ number, world_.events.now(), std::move(outcome) });
    queries_.erase(number);
}

query::QueryHooks Vm::makeHooks(base::Rank rank)
{
    query::ExtraAttemptPolicy& extraAttemptPolicy = extraAttemptPolicies_[base::indexOf(rank)];
    return {
        [this] { return catalog_.bestPlan(); },
        [this, rank](const std::vector<query::UpstreamId>& candidates) -> std::optional<query::UpstreamId> {
            if (world_.settings.policy.choosesByLatency)
                return chooser_.choose(candidates, rank, world_.events.now());
            return candidates[world_.random() % candidates.size()];
        },
        [&extraAttemptPolicy] { return extraAttemptPolicy.hedgeDelay(); },
        [this, &extraAttemptPolicy] {
            return world_.settings.policy.hasHedging && extraAttemptPolicy.acquireHedge(world_.events.now());
        },
        [this, &extraAttemptPolicy] { return extraAttemptPolicy.acquireRetry(world_.events.now()); },
        [] { return false; },
        [this] { return ++lastId_; },
    };
}

void Vm::run(std::uint64_t number)
{
    ActiveQuery& active = queries_.at(number);
    active.isAdmitted = true;
    active.admittedAt = world_.events.now();
    const query::QuerySpec spec { .deadline = active.deadline,
        .minCoverage = active.load.minCoverage,
        .hedgesPerShard = world_.settings.policy.hedgesPerShard,
        .resultLimit = world_.settings.shards };
    active.query = std::make_unique<query::Query>(spec, makeHooks(active.load.rank));
    apply(number, active.query->start(world_.events.now()));
}

void Vm::apply(std::uint64_t number, const std::vector<query::Action>& actions)
{
    for (const query::Action& action : actions) {
        const auto found = queries_.find(number);
        if (found == queries_.end())
            return;
        ActiveQuery& active = found->second;
        if (const auto* toSend = std::get_if<query::SendSubRequest>(&action)) {
            send(number, active, *toSend);
        } else if (const auto* toCancel = std::get_if<query::CancelSubRequest>(&action)) {
            const auto sent = active.sent.find(toCancel->id);
            if (sent == active.sent.end())
                continue;
            chooser_.onCancelled(
                toCancel->upstream, active.load.rank, world_.events.now() - sent->second.at, world_.events.now());
            active.sent.erase(sent);
            if (const auto owner = world_.ownerOf(toCancel->upstream)) {
                world_.send(number_, *owner, [this, owner, id = toCancel->id, upstream = toCancel->upstream] {
                    world_.vm(*owner)->acceptCancel(number_, boot_, id, upstream);
                });
            }
        } else {
            finish(number, active, std::get<query::FinishQuery>(action).outcome);
        }
    }
}

void Vm::send(std::uint64_t number, ActiveQuery& active, const query::SendSubRequest& action)
{
    const base::TimePoint now = world_.events.now();
    active.sent.emplace(action.id, Sent { action.upstream, now });
    chooser_.onSent(action.upstream, active.load.rank);
    if (!action.isHedge)
        extraAttemptPolicies_[base::indexOf(active.load.rank)].onFirstAttempt();
    const bool isExtra = std::ranges::find(active.queriedShards, action.target.shard) != active.queriedShards.end();
    active.queriedShards.push_back(action.target.shard);
    const bool hasRanks = world_.settings.policy.hasRanks;
    transport::SubRequest request { action.id, action.upstream, hasRanks ? active.load.rank : base::Rank::Normal,
        hasRanks ? active.load.caller : "all", std::min(active.deadline, now + transport::MaxSubRequestDuration), 0,
        transport::SearchCall { action.target, "", world_.settings.shards } };
    const auto owner = world_.ownerOf(action.upstream);
    const auto fail = [this, number, id = action.id](RunState state) {
        acceptResult(number, id, { tl::unexpected(Error { ErrorCode::Unreachable, Step::Peer, "", "", state }) });
    };
    if (!owner) {
        world_.events.scheduleAfter({}, [fail] { fail(RunState::NotRun); });
        return;
    }
    world_.send(number_, *owner, [this, owner, number, isExtra, request] {
        world_.vm(*owner)->acceptSubRequest(number_, boot_, number, isExtra, request);
    });
}

void Vm::acceptResult(std::uint64_t number, transport::SubRequestId id, transport::SubResult result)
{
    auto found = queries_.find(number);
    if (world_.settings.defect == Defect::MismatchesAnswers && !queries_.empty() && result.value) {
        // Simulates missing matching by ID: the answer goes to the first active query.
        found = queries_.begin();
        if (found->second.query && !found->second.sent.empty()) {
            const auto& answer = std::get<query::SubAnswer>(*result.value);
            apply(found->first,
                found->second.query->onAnswer(found->second.sent.begin()->first, answer, world_.events.now()));
            return;
        }
        found = queries_.find(number);
    }
    if (found == queries_.end())
        return;
    ActiveQuery& active = found->second;
    const auto sent = active.sent.find(id);
    if (sent == active.sent.end())
        return;
    const Sent record = sent->second;
    active.sent.erase(sent);
    active.maxQueueTime = std::max(active.maxQueueTime, result.queued);
    const base::TimePoint now = world_.events.now();
    if (!result.value) {
        recordError(active, record, result.value.error());
        apply(number, active.query->onFailure(id, result.value.error(), now));
        return;
    }
    chooser_.onAnswered(record.upstream, active.load.rank, result.queued, now - record.at);
    extraAttemptPolicies_[base::indexOf(active.load.rank)].onAnswered(now - record.at);
    auto& answer = std::get<query::SubAnswer>(*result.value);
    if (world_.settings.defect == Defect::OverstatesCoverage && world_.random() % 20 == 0)
        answer.hits.clear();
    apply(number, active.query->onAnswer(id, std::move(answer), now));
}

void Vm::recordError(ActiveQuery& active, const Sent& sent, const Error& error)
{
    const base::TimePoint now = world_.events.now();
    chooser_.onError(sent.upstream, active.load.rank, error, now);
    if (error.code == ErrorCode::Overloaded) {
        active.maxQueueTime = active.load.target;
        extraAttemptPolicies_[base::indexOf(active.load.rank)].onShed(now);
    }
}

void Vm::finish(std::uint64_t number, ActiveQuery& active, query::QueryOutcome outcome)
{
    const base::TimePoint now = world_.events.now();
    // Stragglers cancelled at the deadline would have taken at least until now.
    gate(active.load.rank).release(number, active.maxQueueTime, now - active.admittedAt, now);
    if (world_.settings.defect == Defect::ReportsFalseNotRun && outcome.error)
        outcome.error->runState = RunState::NotRun;
    world_.history.answers.push_back({ number, now, std::move(outcome) });
    queries_.erase(number);
    admitWaiting();
}

void Vm::admitWaiting()
{
    for (admission::Gate& each : gates_) {
        if (each.waiting() == 0)
            continue;
        const admission::Gate::Dequeued dequeued = each.dequeue(world_.events.now());
        for (admission::TicketId ticket : dequeued.expired)
            refuse(ticket, {});
        for (admission::TicketId ticket : dequeued.admitted)
            run(ticket);
    }
}

void Vm::sweep()
{
    const base::TimePoint now = world_.events.now();
    std::vector<std::uint64_t> due;
    for (const auto& [number, active] : queries_) {
        if (active.query && active.query->nextTimer() <= now)
            due.push_back(number);
    }
    for (std::uint64_t number : due) {
        const auto found = queries_.find(number);
        if (found != queries_.end())
            apply(number, found->second.query->onTimer(now));
    }
    admitWaiting();
    for (auto& [upstream, queue] : queues_) {
        for (const upstreams::QueuedWork& work : queue.removeExpired(now)) {
            const auto found = acceptedSubRequests_.find(work.id);
            replyToSender(found->second,
                { tl::unexpected(Error { ErrorCode::DeadlineExceeded, Step::Queue, "", "", RunState::NotRun }) });
            acceptedSubRequests_.erase(found);
        }
        startQueuedWork(upstream);
    }
}

upstreams::UpstreamQueue& Vm::queueOf(std::uint32_t upstream)
{
    const auto found = queues_.find(upstream);
    if (found != queues_.end())
        return found->second;
    const Settings& settings = world_.settings;
    const std::uint32_t slots = settings.slots + (settings.defect == Defect::IgnoresSlots ? 2 : 0);
    const auto minShares = settings.policy.hasRanks ? settings.minShares : std::array<double, base::RankCount> {};
    return queues_.emplace(upstream, upstreams::QueueSettings { slots, minShares, QueueCapacity }).first->second;
}

void Vm::acceptSubRequest(
    std::uint32_t from, std::uint64_t fromBoot, std::uint64_t number, bool isExtra, transport::SubRequest request)
{
    const std::uint32_t upstream = request.upstream;
    const auto fail = [&](ErrorCode code, Step step) {
        const AcceptedSubRequest work { from, fromBoot, number, isExtra, request, world_.events.now() };
        replyToSender(work, { tl::unexpected(Error { code, step, "", "", RunState::NotRun }) });
    };
    if (world_.ownerOf(upstream) != number_) {
        fail(ErrorCode::Unreachable, Step::Routing);
        return;
    }
    const upstreams::SubRequestId localId = ++lastId_;
    const base::TimePoint now = world_.events.now();
    switch (queueOf(upstream).offer({ localId, request.rank, request.caller, request.deadline }, now)) {
    case upstreams::OfferResult::Queued:
        break;
    case upstreams::OfferResult::Draining:
        fail(ErrorCode::Draining, Step::Queue);
        return;
    default:
        fail(ErrorCode::Overloaded, Step::Queue);
        return;
    }
    localIds_[{ fromBoot, request.id }] = localId;
    acceptedSubRequests_[localId] = { from, fromBoot, number, isExtra, std::move(request), now };
    startQueuedWork(upstream);
}

void Vm::startQueuedWork(std::uint32_t upstream)
{
    if (world_.ownerOf(upstream) != number_)
        return;
    for (const upstreams::QueuedWork& started : queueOf(upstream).startReady(world_.events.now())) {
        const AcceptedSubRequest work = acceptedSubRequests_.at(started.id);
        const base::Duration queued = world_.events.now() - work.offeredAt;
        transport::SubRequest request = work.request;
        request.id = started.id;
        const std::uint64_t boot = boot_;
        world_.searchers[upstream]->start(request, work.query, work.isExtra,
            [this, boot, upstream, id = started.id, queued](transport::SubResult result) {
                // The VM may have crashed and restarted with a new boot ID since.
                Vm* self = world_.vm(number_);
                if (!self || self->boot() != boot)
                    return;
                queueOf(upstream).finish(id, world_.events.now());
                const auto found = acceptedSubRequests_.find(id);
                if (found != acceptedSubRequests_.end()) {
                    result.queued = queued;
                    replyToSender(found->second, result);
                    localIds_.erase({ found->second.fromBoot, found->second.request.id });
                    acceptedSubRequests_.erase(found);
                }
                startQueuedWork(upstream);
            });
    }
}

void Vm::replyToSender(const AcceptedSubRequest& work, const transport::SubResult& result)
{
    const std::uint32_t copies
        = std::uniform_real_distribution<double>(0, 1)(world_.random) < world_.settings.faults.duplicateProbability ? 2
                                                                                                                    : 1;
    for (std::uint32_t copy = 0; copy < copies; ++copy) {
        world_.send(number_, work.from,
            [this, from = work.from, boot = work.fromBoot, query = work.query, id = work.request.id, result] {
                Vm* sender = world_.vm(from);
                if (sender->boot() == boot)
                    sender->acceptResult(query, id, result);
            });
    }
}

void Vm::acceptCancel(std::uint32_t from, std::uint64_t fromBoot, transport::SubRequestId id, std::uint32_t upstream)
{
    static_cast<void>(from);
    const auto local = localIds_.find({ fromBoot, id });
    if (local == localIds_.end())
        return;
    const upstreams::SubRequestId localId = local->second;
    localIds_.erase(local);
    if (queueOf(upstream).cancel(localId) == upstreams::CancelResult::RemovedBeforeStart) {
        acceptedSubRequests_.erase(localId);
        return;
    }
    world_.searchers[upstream]->cancel(localId, number_);
}

void Vm::startReservation(std::uint32_t attempts)
{
    if (const auto identity = identities_.issue(world_.events.now()))
        sendReservation(*identity, attempts);
}

// Sends a reservation like a caller does: unless the answer is Run, retries it through a random VM.
void Vm::sendReservation(const std::string& identity, std::uint32_t attempts)
{
    auto isAnswered = std::make_shared<bool>(false);
    const auto answer = [this, identity, isAnswered, attempts](RunState state) {
        if (std::exchange(*isAnswered, true))
            return;
        recordReservationAnswer(identity, state);
        if (state == RunState::Run || attempts <= 1)
            return;
        world_.events.scheduleAfter(std::chrono::milliseconds(20), [this, identity, attempts] {
            const std::uint32_t other = static_cast<std::uint32_t>(world_.random() % world_.settings.vms);
            if (Vm* vm = world_.vm(other))
                vm->sendReservation(identity, attempts - 1);
        });
    };
    world_.events.scheduleAfter(ReservationTimeout, [answer] { answer(RunState::Unknown); });
    const auto parsed = identity::parseIdentity(identity);
    const bool canRunHere
        = identities_.isIssuedHere(*parsed) || world_.settings.defect == Defect::RunsForeignIdentities;
    if (canRunHere) {
        runReservation(identity, answer);
        return;
    }
    const auto issuer = static_cast<std::uint32_t>(std::stoul(parsed->endpoint));
    world_.send(number_, issuer, [this, issuer, boot = parsed->boot, identity, answer] {
        world_.vm(issuer)->acceptReservation(number_, boot, identity, answer);
    });
}

void Vm::acceptReservation(std::uint32_t from, std::uint64_t expectedBoot, const std::string& identity,
    const std::function<void(RunState)>& reply)
{
    const auto sendReply
        = [this, from, reply](RunState state) { world_.send(number_, from, [reply, state] { reply(state); }); };
    if (expectedBoot != boot_) {
        sendReply(RunState::Unknown);
        return;
    }
    runReservation(identity, sendReply);
}

void Vm::runReservation(const std::string& identity, const std::function<void(RunState)>& reply)
{
    if (world_.settings.defect != Defect::RunsForeignIdentities) {
        const identity::BeginResult result = identities_.begin(identity, ReservationFingerprint, world_.events.now());
        if (std::holds_alternative<identity::Completed>(result)) {
            reply(RunState::Run);
            return;
        }
        if (!std::holds_alternative<identity::Granted>(result)) {
            reply(RunState::Unknown);
            return;
        }
    }
    const std::size_t upstream = world_.random() % world_.searchers.size();
    world_.searchers[upstream]->reserve(identity, [this, boot = boot_, identity, reply](transport::SubResult result) {
        Vm* self = world_.vm(number_);
        if (!self || self->boot() != boot)
            return;
        if (result.value) {
            identities_.finishRun(identity, { 201, "", "done" });
            reply(RunState::Run);
        } else if (result.value.error().runState == RunState::NotRun) {
            identities_.finishNotRun(identity);
            reply(RunState::NotRun);
        } else {
            identities_.finishUnknown(identity);
            reply(RunState::Unknown);
        }
    });
}

void Vm::recordReservationAnswer(const std::string& identity, RunState state)
{
    const auto runs = std::ranges::count(world_.history.reservationRuns, identity, &ReservationRun::identity);
    world_.history.reservationAnswers.push_back({ identity, state, static_cast<std::size_t>(runs) });
}

} // namespace flamingousher::scenario
