#pragma once

#include "base/types.h"

#include <cstdint>
#include <deque>
#include <list>
#include <set>
#include <string>
#include <unordered_map>

namespace flamingousher::quarantine {

using Fingerprint = std::uint64_t;

struct QuarantineSettings {
    std::size_t crashThreshold { 2 }; // crashes of distinct upstreams
    base::Duration retention { std::chrono::minutes(10) }; // of crash evidence and of the quarantine
    std::size_t capacity { 4'096 }; // maximum number of fingerprints with evidence
    std::size_t knownSafeCapacity { 65'536 }; // maximum number of fingerprints known as safe

    // If this many upstreams are lost within the window, the cause is not a request, and no evidence is kept.
    std::size_t massFailureUpstreams { 4 };
    base::Duration massFailureWindow { std::chrono::seconds(2) };

    bool operator==(const QuarantineSettings&) const = default;
};

// Detects requests that crash the upstreams that run them. The loss of an upstream that was running a request is
// evidence against the request; a response marks the request as safe. Performs no I/O.
class Quarantine {
public:
    explicit Quarantine(QuarantineSettings);

    void onCrash(Fingerprint, const std::string& upstream, base::TimePoint now);

    // Marks the request as safe after a response from an upstream.
    void onAnswered(Fingerprint);

    bool isQuarantined(Fingerprint, base::TimePoint now);

    // Returns whether an upstream has responded to the request before, so that it may be sent without a canary.
    bool isKnownSafe(Fingerprint fingerprint) const { return knownSafeIndex_.contains(fingerprint); }

    // Returns the number of distinct upstreams that were lost while running the request.
    std::size_t crashCount(Fingerprint) const;

    std::size_t evidenceCount() const { return evidence_.size(); }
    std::size_t quarantinedCount() const;

private:
    struct Evidence {
        std::set<std::string> upstreams;
        base::TimePoint lastCrashAt;
    };

    struct Crash {
        base::TimePoint at;
        Fingerprint fingerprint;
        std::string upstream;
    };

    void expire(base::TimePoint now);
    bool isMassFailure() const;
    void removeRecentEvidence();

    QuarantineSettings settings_;
    std::unordered_map<Fingerprint, Evidence> evidence_;
    std::deque<Crash> recentCrashes_; // crashes within the mass-failure window
    std::list<Fingerprint> knownSafe_; // most recently confirmed first
    std::unordered_map<Fingerprint, std::list<Fingerprint>::iterator> knownSafeIndex_;
};

} // namespace flamingousher::quarantine
