#pragma once

#include "base/error.h"
#include "discovery/registry.h"
#include "eventlog/eventlog.h"
#include "routing/routetable.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace flamingousher::control {

// What this VM believes of routes and upstreams, from the sources that tell of them. Used on the control thread.
class DirectController {
public:
    struct Hooks {
        std::function<base::TimePoint()> now;
        std::function<void(std::shared_ptr<const routing::RouteTable>)> applyRoutes;
        std::function<void(std::vector<discovery::DiscoveredUpstream>)> applyUpstreams;
    };

    DirectController(eventlog::EventLog&, Hooks);

    // A lower version than the one in force is never taken.
    void onConfiguration(const routing::Configuration&);
    void onAllUpstreams(const std::vector<discovery::UpstreamEntry>&);
    void onUpstream(const discovery::UpstreamEntry&);
    void onUpstreamGone(const std::string& id);
    void onStoreLost(const base::Error&);
    void onStoreRegained();
    void onUnreadable(const base::Error&);

    // Applies what has been gathered since the last call.
    void publish();

    // Drops what has run out. Called periodically.
    void tick();

    // A configuration and upstreams are known.
    bool mayServe() const { return version_ > 0 && publishedChanges_ > 0; }
    std::uint64_t version() const { return version_; }
    std::uint64_t unreadable() const { return unreadable_; }

private:
    void noteChange(const discovery::UpstreamEntry&, const char* change);

    eventlog::EventLog& log_;
    Hooks hooks_;
    discovery::Registry registry_;
    std::uint64_t version_ { 0 };
    std::uint64_t publishedChanges_ { 0 };
    std::uint64_t unreadable_ { 0 };
    std::size_t unpublished_ { 0 }; // changes since the last publication
};

} // namespace flamingousher::control
