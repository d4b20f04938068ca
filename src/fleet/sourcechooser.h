#pragma once

#include "fleet/types.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace flamingousher::fleet {

// Where a VM reads the store's contents: at the store itself, or at a VM that passes them on.
struct Source {
    std::string endpoint;
    bool isStore { true };

    bool operator==(const Source&) const = default;
};

// Chooses the source to follow. One VM of each zone follows the store, the others follow one of these: calls to the
// store are paid for and limited, and do not grow with the fleet. A source that fails is passed over for a while; the
// store is the last resort of everyone. Performs no I/O.
class SourceChooser {
public:
    explicit SourceChooser(std::string storeEndpoint);

    // vms: those alive, with this one.
    Source choose(const std::vector<NodeInfo>& vms, const NodeInfo& self, base::TimePoint now) const;

    // True when the VM follows the store on behalf of its zone.
    static bool isWatcher(const std::vector<NodeInfo>& vms, const NodeInfo& self);

    void onFailed(const Source&, base::TimePoint now);

    // A VM is known to have newer contents than the source in use: it goes first for a while.
    void prefer(const std::string& endpoint, base::TimePoint now);

private:
    bool isFailing(const std::string& endpoint, base::TimePoint now) const;

    std::string store_;
    std::map<std::string, base::TimePoint> failedUntil_; // by endpoint
    std::optional<std::string> preferred_;
    base::TimePoint preferredUntil_;
};

} // namespace flamingousher::fleet
