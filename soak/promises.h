#pragma once

#include "soak/types.h"

#include <functional>
#include <map>
#include <set>

namespace flamingousher::soak {

// Time limits from the documentation of the platform.
struct PromiseBounds {
    base::Duration settlingTime { std::chrono::milliseconds(4'000) }; // until a VM counts as undisturbed after a fault
    base::Duration configuration { std::chrono::milliseconds(3'000) }; // until an accepted version must be in force
    base::Duration draining { std::chrono::milliseconds(3'000) }; // until a draining upstream must get no new work
    base::Duration evacuation { std::chrono::milliseconds(5'000) }; // until one of an evacuated zone must get none
    base::Duration reorderTolerance { std::chrono::milliseconds(
        250) }; // answers of one VM may be reordered within this time
    base::Duration deadlineTolerance { std::chrono::milliseconds(500) }; // allowed excess over the timeout of a request

    bool operator==(const PromiseBounds&) const = default;
};

// Checks the guarantees of the product against the observations of callers and upstreams. Performs no I/O; the caller
// supplies all times. Each violation is one line that begins with the name of the guarantee.
class Promises {
public:
    using MakeRecords = std::function<std::string(const std::string& service, const std::string& requestId)>;

    Promises(PromiseBounds, MakeRecords);

    // Actions of the harness.
    void onPublished(const PublishedConfiguration&);
    void onDraining(const std::string& upstream, TimePoint at);
    void onEvacuated(const std::string& upstream, TimePoint at);
    void onEvacuationEnded(const std::string& upstream);
    void onDisturbance(std::size_t vm, TimePoint from, TimePoint to);
    void onGlobalDisturbance(TimePoint from, TimePoint to);
    void onPlannedStop(
        std::size_t vm, TimePoint from, TimePoint to); // a disturbance for all guarantees except "nothing cut"
    void onPathDisturbed(const std::string& upstream, TimePoint from, TimePoint to);
    void onStopTimeout(std::size_t vm, TimePoint from, TimePoint to); // a planned stop exceeded its time limit
    void onUnexpectedExit(std::size_t vm, int status);

    // Observations of callers.
    void onSent(const SentRequest&);
    void onAnswered(const std::string& id, const ReceivedAnswer&, TimePoint at);
    void onConnectionLost(const std::string& id, TimePoint at); // the connection ended without a complete answer
    void onTimeout(const std::string& id, TimePoint at); // the caller gave up waiting

    // Observations of upstreams.
    void onArrived(const std::string& upstream, const std::string& id, TimePoint at);
    void onRun(const std::string& id);

    const std::vector<std::string>& violations() const { return violations_; }
    std::size_t served() const { return served_; }

private:
    enum class PlannedStops : std::uint8_t { Included, Excluded };

    struct Request {
        SentRequest sent;
        std::uint32_t runs { 0 };
        bool hasReachedUpstream { false };
        bool isReportedNotRun { false };
    };

    struct Span {
        TimePoint from;
        TimePoint to;
    };

    bool overlaps(const std::vector<Span>&, TimePoint from, TimePoint to) const;
    bool isUndisturbed(std::size_t vm, TimePoint from, TimePoint to, PlannedStops = PlannedStops::Included) const;
    bool isUnwanted(const std::map<std::string, TimePoint>& since, base::Duration bound, const std::string& upstream,
        const Request&, TimePoint at) const;
    void checkFanoutAnswer(const Request&, const ReceivedAnswer&);
    void checkVersion(const Request&, const PublishedConfiguration&);
    void checkSingleAnswer(const Request&, const ReceivedAnswer&);
    const PublishedConfiguration* findVersion(const ReceivedAnswer&) const;
    std::string greatestRecords(const ReceivedAnswer&, std::size_t limit) const;
    void report(const std::string& promise, const Request&, const std::string& detail);

    PromiseBounds bounds_;
    MakeRecords makeRecords_;
    std::vector<PublishedConfiguration> published_; // oldest first
    std::map<std::string, TimePoint> draining_;
    std::map<std::string, TimePoint> evacuated_; // upstreams of evacuated zones
    std::map<std::size_t, std::vector<Span>> disturbances_; // by VM
    std::map<std::size_t, std::vector<Span>> plannedStops_; // by VM
    std::map<std::string, std::vector<Span>> disturbedPaths_; // by upstream
    std::vector<Span> globalDisturbances_;
    std::map<std::string, Request> requests_;
    struct SeenVersion {
        std::uint64_t version { 0 };
        TimePoint at;
    };
    std::map<std::pair<std::size_t, std::uint32_t>, SeenVersion> newestVersions_; // by VM and start
    TimePoint now_;
    std::vector<std::string> violations_;
    std::size_t served_ { 0 };
};

} // namespace flamingousher::soak
