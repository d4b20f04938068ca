#pragma once

#include "base/types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace flamingousher::discovery {

// The operator's order to send nothing to the upstreams of an availability zone.
struct EvacuationOrder {
    std::string zone;
    std::uint64_t revision { 0 }; // of the store at which the order was written

    bool operator==(const EvacuationOrder&) const = default;
};

enum class EvacuationChange : std::uint8_t {
    Began,
    Ended,
    Deferred, // the order is not obeyed yet: it may be one that was taken back before the store was restored
};

// Tracks the availability zones that the operator has taken out of service. Performs no I/O.
// Failure pattern: the store comes back from an older copy. Orders written since are missing until the operator writes
// them again, ones taken back since are there again, and revisions are given out a second time.
class Evacuations {
public:
    using ChangeListener = std::function<void(const EvacuationOrder&, EvacuationChange)>;

    explicit Evacuations(ChangeListener = {});

    // Replaces all orders by a complete list of the store.
    void replaceAll(const std::vector<EvacuationOrder>&, base::TimePoint now);

    // Called when the store has come back from an older copy, before its contents are passed on. Orders may be missing
    // until they are written again. revision: of the restored store, not older than its copy.
    void onStoreRestored(std::uint64_t revision, base::TimePoint now);

    // Called when no source of the store's contents responds any more, and when one does again. While none does, the
    // operator's orders are not known, and orders that a restoration has lost stay in force.
    void onStoreUnavailable(base::TimePoint now);
    void onStoreAvailable(base::TimePoint now);

    // Ends evacuations that were missing after a restoration and have not been written again in time, and begins
    // deferred ones that are still listed.
    void tick(base::TimePoint now);

    bool isEvacuated(const std::string& zone) const { return active_.contains(zone); }

    struct ActiveEvacuation {
        EvacuationOrder order;
        base::TimePoint since;

        bool operator==(const ActiveEvacuation&) const = default;
    };

    std::vector<ActiveEvacuation> active() const;

    // Returns the number of changes so far, to detect whether anything has changed.
    std::uint64_t changeCount() const { return changes_; }

private:
    struct Tracked {
        ActiveEvacuation evacuation;
        bool isMissing { false }; // in the restored store; ends unless it is written again
    };

    using RevisionsByZone = std::map<std::string, std::uint64_t>;

    bool isRewriting(base::TimePoint now) const { return now < rewritingUntil_; }
    void report(const EvacuationOrder&, EvacuationChange);
    void begin(const EvacuationOrder&, base::TimePoint now);
    void end(const std::string& zone, base::TimePoint now);
    void drop(std::map<std::string, Tracked>::iterator);
    bool mayHaveBeenTakenBack(const EvacuationOrder&) const;

    ChangeListener onChange_;
    std::map<std::string, Tracked> active_; // by zone
    std::map<std::string, EvacuationOrder> deferred_; // by zone; listed by the store
    RevisionsByZone takenBack_; // last order for each zone that has ended since the last restoration
    RevisionsByZone takenBackBefore_; // the same before it, if the store's copy may contain the order
    base::TimePoint rewritingUntil_; // after a restoration; the maximum while the store is away again
    std::uint64_t changes_ { 0 };
};

} // namespace flamingousher::discovery
