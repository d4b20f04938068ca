#pragma once

#include "discovery/types.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace flamingousher::discovery {

// Follows the published entries of upstreams. Reports out of order are ignored, and entries that ran out while the
// store was away are kept until their upstreams have had time to publish again. Performs no I/O.
class Registry {
public:
    // Called for each change of what is believed about one upstream. reason: in plain words, for the log.
    using ChangeListener = std::function<void(const UpstreamEntry&, const char* change)>;

    explicit Registry(ChangeListener = {});

    void put(const UpstreamEntry&, base::TimePoint now);
    void remove(const std::string& id, base::TimePoint now);

    // Replaces everything by a complete list.
    void replaceAll(const std::vector<UpstreamEntry>&, base::TimePoint now);

    // The store cannot be reached; entries may run out unseen meanwhile.
    void noteStoreAway(base::TimePoint now);
    void noteStoreBack(base::TimePoint now);

    // Drops lapsed entries whose time has passed.
    void tick(base::TimePoint now);

    // Sorted by identifier.
    std::vector<KnownUpstream> upstreams() const;

    // Grows with every change of the upstreams.
    std::uint64_t changes() const { return changes_; }

private:
    struct Known {
        KnownUpstream upstream;
        std::optional<base::TimePoint> lapsesAt;
    };

    struct Departed {
        UpstreamEntry entry;
        base::TimePoint at;
    };

    bool mayHaveLapsed(base::TimePoint now) const;
    void drop(std::map<std::string, Known>::iterator, base::TimePoint now);
    void report(const UpstreamEntry&, const char* change);

    ChangeListener onChange_;
    std::map<std::string, Known> known_;
    std::map<std::string, Departed> departed_; // so that late reports do not bring them back
    bool isStoreAway_ { false };
    std::optional<base::TimePoint> storeBackAt_;
    std::uint64_t changes_ { 0 };
};

} // namespace flamingousher::discovery
