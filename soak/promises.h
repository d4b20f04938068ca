#pragma once

#include "soak/types.h"

#include <functional>
#include <map>
#include <set>

namespace flamingousher::soak {

// Bounds from the platform's pages.
struct PromiseBounds {
    base::Duration settling { std::chrono::milliseconds(4'000) }; // a VM counts as undisturbed so long after trouble
    base::Duration configuration { std::chrono::milliseconds(3'000) }; // until an accepted version is in force
    base::Duration draining { std::chrono::milliseconds(3'000) }; // until a leaving upstream gets no new work
    base::Duration regression { std::chrono::milliseconds(250) }; // answers of one VM may overtake each other
    base::Duration late { std::chrono::milliseconds(500) }; // beyond the time that a request is allowed

    bool operator==(const PromiseBounds&) const = default;
};

// Checks what the product promises against what callers and upstreams have seen. Performs no I/O; all calls carry the
// time. Each broken promise is one line that begins with the promise's name.
class Promises {
public:
    using RecordsOf = std::function<std::string(const std::string& service, const std::string& requestId)>;

    Promises(PromiseBounds, RecordsOf);

    // What the harness does.
    void onPublished(const Published&);
    void onDraining(const std::string& upstream, TimePoint at);
    void onTrouble(std::size_t vm, TimePoint from, TimePoint to);
    void onTroubleForAll(TimePoint from, TimePoint to);
    void onPlannedStop(
        std::size_t vm, TimePoint from, TimePoint to); // trouble for all promises but that nothing is cut
    void onWayHarmed(const std::string& upstream, TimePoint from, TimePoint to);
    void onOverstay(std::size_t vm, TimePoint from, TimePoint to); // a stopped process has not ended in its time
    void onUnexpectedEnd(std::size_t vm, int status);

    // What callers see.
    void onSent(const SentRequest&);
    void onAnswered(const std::string& id, const ReadAnswer&, TimePoint at);
    void onCut(const std::string& id, TimePoint at); // the connection ended without a complete answer
    void onUnanswered(const std::string& id, TimePoint at); // the caller has stopped waiting

    // What upstreams see.
    void onArrived(const std::string& upstream, const std::string& id, TimePoint at);
    void onRun(const std::string& id);

    const std::vector<std::string>& broken() const { return broken_; }
    std::size_t served() const { return served_; }

private:
    enum class Planned : std::uint8_t { Counts, DoesNot };

    struct Request {
        SentRequest sent;
        std::uint32_t runs { 0 };
        bool hasArrived { false };
        bool isPromisedNotRun { false };
    };

    struct Span {
        TimePoint from;
        TimePoint to;
    };

    bool touches(const std::vector<Span>&, TimePoint from, TimePoint to) const;
    bool isUndisturbed(std::size_t vm, TimePoint from, TimePoint to, Planned = Planned::Counts) const;
    void checkGathered(const Request&, const ReadAnswer&);
    void checkVersion(const Request&, const Published&);
    void checkSingle(const Request&, const ReadAnswer&);
    const Published* versionOf(const ReadAnswer&) const;
    std::string greatestRecords(const ReadAnswer&, std::size_t limit) const;
    void report(const std::string& promise, const Request&, const std::string& detail);

    PromiseBounds bounds_;
    RecordsOf recordsOf_;
    std::vector<Published> published_; // oldest first
    std::map<std::string, TimePoint> draining_;
    std::map<std::size_t, std::vector<Span>> troubles_; // by VM
    std::map<std::size_t, std::vector<Span>> plannedStops_; // by VM
    std::map<std::string, std::vector<Span>> harmedWays_; // by upstream
    std::vector<Span> troublesForAll_;
    std::map<std::string, Request> requests_;
    struct Seen {
        std::uint64_t version { 0 };
        TimePoint at;
    };
    std::map<std::pair<std::size_t, std::uint32_t>, Seen> newestSeen_; // by VM and start
    TimePoint now_;
    std::vector<std::string> broken_;
    std::size_t served_ { 0 };
};

} // namespace flamingousher::soak
