#pragma once

#include "fanout/types.h"

#include <functional>
#include <optional>
#include <vector>

namespace flamingousher::fanout {

// Decisions that a query takes from its surroundings.
struct FanoutHooks {
    // Chooses an upstream of the shard that is not among those tried.
    std::function<balancing::ReplicaSelector::Choice(std::uint32_t shard, const std::vector<UpstreamId>& tried)> choose;

    // Time after which an attempt at the upstream is worth a second one elsewhere.
    std::function<base::Duration(std::uint32_t shard, UpstreamId)> hedgeDelay;

    // Takes one unit of the shard's budget for extra attempts. False when it is spent.
    std::function<bool(std::uint32_t shard, ExtraAttempt)> takeExtra;

    // A number that this process has not used before.
    std::function<AttemptId()> nextId;
};

// One request to one upstream of each of its shards; a request to a single service has one shard. Performs no I/O:
// receives events with the current time and returns the actions to carry out, the last of which is FinishFanout.
//
// Load pattern: of many shards one is slow at almost any moment. A query hedges stragglers, and at the time after
// which an answer is of little use it goes out with what is there, if that is enough.
class FanoutQuery {
public:
    FanoutQuery(const FanoutSpec&, FanoutHooks);

    std::vector<Action> start(base::TimePoint now);
    std::vector<Action> onAnswered(AttemptId, base::TimePoint now);
    std::vector<Action> onFailed(AttemptId, const AttemptFailure&, base::TimePoint now);

    // An upstream of the shard may have room.
    std::vector<Action> onRoom(std::uint32_t shard, base::TimePoint now);
    std::vector<Action> onTimer(base::TimePoint now);

    // The caller has gone.
    std::vector<Action> abandon(base::TimePoint now);

    // The next time at which onTimer() must be called.
    base::TimePoint nextTimer() const;

    bool isFinished() const { return isFinished_; }
    bool isAwaitingRoom(std::uint32_t shard) const { return shards_[shard].isAwaitingRoom; }

private:
    struct Attempt {
        AttemptId id { 0 };
        UpstreamId upstream { 0 };
    };

    struct Shard {
        bool isAnswered { false };
        bool isGivenUp { false };
        bool isAwaitingRoom { false };
        bool couldNotConnect { false }; // an attempt did not reach its upstream
        std::uint32_t runs { 0 }; // attempts that ran, or may have
        std::vector<Attempt> inFlight;
        std::vector<UpstreamId> tried;
        base::TimePoint hedgeAt { base::TimePoint::max() };
        std::string lastFailure;

        bool isAwaitingConnection() const { return isAwaitingRoom && couldNotConnect && inFlight.empty(); }
    };

    struct Found {
        std::uint32_t shard;
        std::size_t attempt;
    };

    std::optional<Found> find(AttemptId) const;
    void send(std::uint32_t shard, UpstreamId, bool isExtra, base::TimePoint now, std::vector<Action>&);
    void sendOrAwait(std::uint32_t shard, bool isExtra, base::TimePoint now, std::vector<Action>&);
    void retry(std::uint32_t shard, const AttemptFailure&, base::TimePoint now, std::vector<Action>&);
    void hedge(std::uint32_t shard, base::TimePoint now, std::vector<Action>&);
    void giveUpUnconnected();
    void giveUp(std::uint32_t shard);
    void finishIfSettled(base::TimePoint now, std::vector<Action>&);
    void finish(Ending, std::vector<Action>&);
    bool isEnough(std::uint32_t shards) const;
    bool mayHaveRun() const;

    FanoutSpec spec_;
    FanoutHooks hooks_;
    std::vector<Shard> shards_;
    std::uint32_t open_ { 0 }; // shards neither answered nor given up
    std::uint32_t answered_ { 0 };
    std::uint32_t retries_ { 0 };
    std::uint32_t hedges_ { 0 };
    bool hasRunSomewhere_ { false };
    bool isFinished_ { false };
};

} // namespace flamingousher::fanout
