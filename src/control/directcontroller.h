#pragma once

#include "base/error.h"
#include "discovery/evacuations.h"
#include "discovery/registry.h"
#include "eventlog/eventlog.h"
#include "routing/routetable.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace flamingousher::control {

// Holds the routes and upstreams known to this VM, as reported by the store or another VM. Used on the control thread.
class DirectController {
public:
    struct Hooks {
        std::function<base::TimePoint()> now;
        std::function<void(std::shared_ptr<const routing::RouteTable>)> applyRoutes;
        std::function<void(std::vector<discovery::DiscoveredUpstream>)> applyUpstreams;
    };

    DirectController(eventlog::EventLog&, Hooks);

    // Ignores versions that are not newer than the one in force. After the store has come back from an older copy, the
    // version in force may be written again with other contents.
    void onConfiguration(const routing::Configuration&);
    void onAllUpstreams(const std::vector<discovery::UpstreamEntry>&);
    void onUpstream(const discovery::UpstreamEntry&);
    void onUpstreamRemoved(const std::string& id);
    void onEvacuations(const std::vector<discovery::EvacuationOrder>&); // all orders in force
    void onStoreUnavailable(const base::Error&);
    void onStoreAvailable();

    // Called when the store has come back from an older copy: what is missing there is written again soon. revision:
    // of the restored store, not older than its copy.
    void onStoreRestored(std::uint64_t revision);
    void onDecodeError(const base::Error&);

    // Applies the changes of upstreams and evacuations received since the last call. Upstreams of an evacuated zone are
    // left out.
    void publish();

    // Removes expired upstreams and publishes the change. Called periodically.
    void tick();

    // Returns true once a configuration has been received and upstreams have been published.
    bool isReadyToServe() const { return version_ > 0 && publishedChangeCount_ > 0; }
    std::uint64_t version() const { return version_; }
    std::vector<discovery::Evacuations::ActiveEvacuation> evacuations() const { return evacuations_.active(); }
    std::uint64_t decodeErrors() const { return decodeErrors_; }

private:
    void logChange(const discovery::UpstreamEntry&, const char* change);
    std::vector<discovery::DiscoveredUpstream> usableUpstreams() const;

    eventlog::EventLog& log_;
    Hooks hooks_;
    discovery::Registry registry_;
    discovery::Evacuations evacuations_;
    std::uint64_t version_ { 0 };
    std::shared_ptr<const routing::Configuration> configuration_; // in force
    bool mayBeRewritten_ { false }; // the version in force, since the store was restored
    std::uint64_t publishedChangeCount_ { 0 };
    std::uint64_t publishedEvacuationChanges_ { 0 };
    std::uint64_t decodeErrors_ { 0 };
    std::size_t unpublishedChanges_ { 0 }; // since the last publication
};

} // namespace flamingousher::control
