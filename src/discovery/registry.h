#pragma once

#include "discovery/types.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace flamingousher::discovery {

// Tracks the published entries of upstreams. Ignores reports that arrive out of order. Entries that expired in the
// store while it was unavailable are kept until their upstreams have had time to publish again. Performs no I/O.
class Registry {
public:
    // Called for each change of an upstream. change: short description for the log.
    using ChangeListener = std::function<void(const UpstreamEntry&, const char* change)>;

    explicit Registry(ChangeListener = {});

    void put(const UpstreamEntry&, base::TimePoint now);
    void remove(const std::string& id, base::TimePoint now);

    // Replaces all entries by a complete list.
    void replaceAll(const std::vector<UpstreamEntry>&, base::TimePoint now);

    // Called when the store becomes unavailable and available again. Entries may expire unnoticed in between.
    void onStoreUnavailable(base::TimePoint now);
    void onStoreAvailable(base::TimePoint now);

    // Called when the store has come back from an older copy: entries may be missing until they are published again.
    void onStoreRestored(base::TimePoint now);

    // Removes upstreams whose entries have expired and that have not published again in time.
    void tick(base::TimePoint now);

    // Returns the upstreams sorted by identifier.
    std::vector<DiscoveredUpstream> upstreams() const;

    // Returns the number of changes so far, to detect whether anything has changed.
    std::uint64_t changeCount() const { return changes_; }

private:
    struct TrackedUpstream {
        DiscoveredUpstream upstream;
        std::optional<base::TimePoint> expiresAt;
    };

    struct RemovedUpstream {
        UpstreamEntry entry;
        base::TimePoint at;
    };

    void beginRepublishing(base::TimePoint now);
    bool isExpiryUncertain(base::TimePoint now) const;
    void drop(std::map<std::string, TrackedUpstream>::iterator, base::TimePoint now);
    void report(const UpstreamEntry&, const char* change);

    ChangeListener onChange_;
    std::map<std::string, TrackedUpstream> tracked_;
    std::map<std::string, RemovedUpstream> removed_; // so that late reports do not add them again
    bool isStoreUnavailable_ { false };
    std::optional<base::TimePoint> storeAvailableSince_;
    std::uint64_t changes_ { 0 };
};

} // namespace flamingousher::discovery
