#pragma once

#include "quarantine/types.h"

#include <list>
#include <optional>
#include <unordered_map>

namespace flamingousher::quarantine {

// Detects requests that crash the upstreams that run them, by the crashes in a row without any response.
//
// Load pattern: a request ends every upstream that runs it, comes again and again at any VM, and a request over many
// shards ends all of them at once. Upstreams also end for other reasons, many at the same moment, with innocent
// requests in progress. Such a loss counts once, because an attempt is measured by what was known when it was sent: one
// that was sent with n crashes known makes them n + 1, however many others end with it. An innocent request is cleared
// by its first response, and would have to lose each probe to another cause to be refused. Performs no I/O.
class Quarantine {
public:
    explicit Quarantine(QuarantineSettings);

    // Returns the number of crashes known now, to be passed to onCrash() if an attempt that is sent now ends badly.
    std::uint32_t crashes(Fingerprint) const;

    // Records that an upstream has ended while it ran an attempt. crashesWhenSent: what was known when the attempt was
    // sent. Returns the record if it is news to the other nodes.
    std::optional<CrashRecord> onCrash(
        Fingerprint, std::uint32_t crashesWhenSent, const std::string& upstream, base::TimePoint now);

    // Records that an upstream has responded. Returns the record if this clears a suspicion.
    std::optional<CrashRecord> onAnswered(Fingerprint, base::TimePoint now);

    // Takes over a record of another node. Returns whether it is news.
    bool merge(const CrashRecord&, base::TimePoint changedAt);

    Verdict verdict(Fingerprint, base::TimePoint now);
    bool isQuarantined(Fingerprint fingerprint, base::TimePoint now)
    {
        return verdict(fingerprint, now) == Verdict::Quarantined;
    }

    // Starts a probe of a suspected request. Returns false while another probe is in progress or the last crash is too
    // recent. until: end of the probe, unless endProbe() is called before.
    bool beginProbe(Fingerprint, base::TimePoint now, base::TimePoint until);

    // Ends a probe. The next one has to wait until a crash of this one's upstream would have been noticed.
    void endProbe(Fingerprint, base::TimePoint now);

    // Returns the time until the request may be sent again.
    base::Duration retryAfter(Fingerprint, base::TimePoint now) const;

    // Returns whether an upstream has responded to the request since its last crash, so that it may be sent to many
    // upstreams at once. Only the most recent ones are remembered.
    bool isKnownSafe(Fingerprint fingerprint) const { return knownSafeIndex_.contains(fingerprint); }

    // Number of requests suspected or quarantined.
    std::size_t suspectedCount() const;
    std::size_t quarantinedCount(base::TimePoint now) const;

private:
    struct Entry {
        CrashRecord record;
        base::TimePoint changedAt;
        base::TimePoint probedUntil;
    };

    Entry& add(Fingerprint, base::TimePoint now);
    bool isQuarantined(const Entry&, base::TimePoint now) const;
    base::TimePoint probeAllowedAt(const Entry&) const;
    void expire(base::TimePoint now);
    void setKnownSafe(Fingerprint);

    QuarantineSettings settings_;
    std::unordered_map<Fingerprint, Entry> entries_;
    base::TimePoint nextExpiry_;
    std::list<Fingerprint> knownSafe_; // most recently confirmed first
    std::unordered_map<Fingerprint, std::list<Fingerprint>::iterator> knownSafeIndex_;
};

} // namespace flamingousher::quarantine
