#pragma once

#include "fleet/types.h"

#include <map>
#include <optional>

namespace flamingousher::fleet {

// The records of requests that crash upstreams, as this node knows them, and their dissemination. News are sent several
// times. Nodes also compare digests of their records, so that one that was down, paused or cut off gets them when it is
// back. Performs no I/O.
class CrashGossip {
public:
    // Returns whether the record is news to this node.
    bool put(const quarantine::CrashRecord&, base::TimePoint changedAt, base::TimePoint now);

    // Adds the digest and the records to tell. maxSends: how often news are sent.
    void addTo(Gossip&, std::uint32_t maxSends, base::TimePoint now);

    // Notes the digest of another node. If it differs, all records are sent for some time.
    void onDigest(std::uint64_t, base::TimePoint now);

    std::uint64_t digest() const { return digest_; }
    std::size_t size() const { return entries_.size(); }

private:
    struct Entry {
        quarantine::CrashRecord record;
        base::TimePoint changedAt;
        std::uint32_t sends { 0 };
    };

    using Entries = std::map<quarantine::Fingerprint, Entry>;

    void add(const Entry&, base::TimePoint now, Gossip&);
    Entries::iterator erase(Entries::iterator);
    void expire(base::TimePoint now);

    Entries entries_;
    std::uint64_t digest_ { 0 }; // exclusive or of the hashes of all records
    std::optional<base::TimePoint> differsUntil_;
    quarantine::Fingerprint lastRepeated_ { 0 };
    base::TimePoint nextExpiry_;
};

} // namespace flamingousher::fleet
