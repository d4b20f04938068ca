#pragma once

#include "fleet/types.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace flamingousher::fleet {

// Endpoint from which a VM reads the store's contents: the store itself or a VM that relays them.
struct Source {
    std::string endpoint;
    bool isStore { true };

    bool operator==(const Source&) const = default;
};

// Chooses the source to follow. One VM of each zone (the watcher) follows the store, the others follow a watcher: calls
// to the store are billed and rate-limited, so their number must not grow with the fleet. A failed source is skipped
// for some seconds; every VM falls back to the store if no watcher is available. Performs no I/O.
class SourceChooser {
public:
    explicit SourceChooser(std::string storeEndpoint);

    // vms: all VMs that are up, including this one.
    Source choose(const std::vector<NodeInfo>& vms, const NodeInfo& self, base::TimePoint now) const;

    // Returns true if the VM follows the store on behalf of its zone.
    static bool isWatcher(const std::vector<NodeInfo>& vms, const NodeInfo& self);

    void onFailed(const Source&, base::TimePoint now);

    // Temporarily prefers a VM that has newer contents than the current source.
    void prefer(const std::string& endpoint, base::TimePoint now);

private:
    bool isFailing(const std::string& endpoint, base::TimePoint now) const;

    std::string store_;
    std::map<std::string, base::TimePoint> failedUntil_; // by endpoint
    std::optional<std::string> preferred_;
    base::TimePoint preferredUntil_;
};

} // namespace flamingousher::fleet
