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
    std::size_t crashesToQuarantine { 2 }; // of different upstreams
    base::Duration memory { std::chrono::minutes(10) }; // of evidence and quarantine
    std::size_t capacity { 4'096 }; // fingerprints with evidence
    std::size_t provedCapacity { 65'536 }; // fingerprints proved harmless

    // So many upstreams lost within the window is a failure of something else, and no evidence.
    std::size_t massUpstreams { 4 };
    base::Duration massWindow { std::chrono::seconds(2) };

    bool operator==(const QuarantineSettings&) const = default;
};

// Finds requests that crash the upstreams that run them. An upstream lost while it ran a request is evidence
// against the request; an answer to the request proves it harmless. Performs no I/O.
class Quarantine {
public:
    explicit Quarantine(QuarantineSettings);

    void onCrash(Fingerprint, const std::string& upstream, base::TimePoint now);

    // An upstream has answered the request.
    void onAnswered(Fingerprint);

    bool isQuarantined(Fingerprint, base::TimePoint now);

    // An upstream has answered the request before: it may be sent to all shards at once.
    bool isProved(Fingerprint fingerprint) const { return provedIndex_.contains(fingerprint); }

    // Number of different upstreams lost while they ran the request.
    std::size_t crashCount(Fingerprint) const;

    std::size_t evidenceCount() const { return evidence_.size(); }
    std::size_t quarantinedCount() const;

private:
    struct Evidence {
        std::set<std::string> upstreams;
        base::TimePoint lastAt;
    };

    struct Crash {
        base::TimePoint at;
        Fingerprint fingerprint;
        std::string upstream;
    };

    void expire(base::TimePoint now);
    bool isMassFailure() const;
    void forgetRecent();

    QuarantineSettings settings_;
    std::unordered_map<Fingerprint, Evidence> evidence_;
    std::deque<Crash> recent_; // within the mass window
    std::list<Fingerprint> proved_; // newest first
    std::unordered_map<Fingerprint, std::list<Fingerprint>::iterator> provedIndex_;
};

} // namespace flamingousher::quarantine
