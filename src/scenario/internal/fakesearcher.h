#pragma once

#include "scenario/eventqueue.h"
#include "scenario/types.h"
#include "transport/types.h"

#include <functional>
#include <map>
#include <random>
#include <set>

namespace flamingousher::scenario {

// Simulates one upstream: runs each sub-request for a random time and answers with one hit whose ID contains the
// query, the shard and the index version.
class FakeSearcher {
public:
    using Reply = std::function<void(transport::SubResult)>;

    FakeSearcher(EventQueue&, std::mt19937_64&, const Settings&, History&, std::uint32_t number, std::uint32_t shard);

    void start(const transport::SubRequest&, std::uint64_t queryNumber, bool isExtra, const Reply&);
    void cancel(transport::SubRequestId, std::uint32_t vm);

    // Executes a non-idempotent request.
    void reserve(const std::string& identity, const Reply&);

    void publishVersion(query::IndexVersion);
    void crash(base::Duration downFor);
    void drain();
    bool isDraining() const { return isDraining_; }
    transport::UpstreamStatus status() const;

private:
    base::Duration drawServiceTime();
    transport::SubResult makeFailure(base::ErrorCode, base::RunState) const;

    EventQueue& events_;
    std::mt19937_64& random_;
    const Settings& settings_;
    History& history_;
    std::uint32_t number_;
    std::uint32_t shard_;
    std::set<query::IndexVersion> versions_ { 1 };
    std::map<transport::SubRequestId, Reply> running_;
    base::TimePoint downUntil_;
    std::uint64_t generation_ { 0 }; // incremented by each crash
    bool isDraining_ { false };
    bool isSilent_ { false };
    bool isUnreachable_ { false };
    bool isSlow_ { false };
};

} // namespace flamingousher::scenario
