#pragma once

#include "fleet/membership.h"
#include "peers/fleettransport.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace flamingousher::control {

// This VM's part in the fleet of a platform with a store: who is alive, and who has the newest contents of the store.
// Used on the control thread.
class FleetMember {
public:
    struct Hooks {
        // The VMs that are alive, this one first, once their number has settled after a change.
        std::function<void(const std::vector<fleet::NodeInfo>&)> onView;

        // A VM has told a revision of the store.
        std::function<void(const fleet::NodeInfo& from, std::uint64_t revision)> onRevision;
    };

    FleetMember(boost::asio::io_context&, const peers::PeerIdentity&, Hooks);

    boost::system::error_code listen(const http::Endpoint&);

    // Runs for ever, in the calling fiber.
    void run();

    void setSeeds(const std::vector<std::string>& endpoints);

    // The newest revision that this VM holds. announces: tells some VMs at once.
    void setRevision(std::uint64_t, bool announces);

    // Tells the others that this VM ends.
    void leave();

    // This VM first, then the others that are alive.
    std::vector<fleet::NodeInfo> nodes() const { return membership_.upNodes(); }
    const fleet::NodeInfo& self() const { return membership_.self(); }
    const peers::PeerCounters& counters() const { return transport_.counters(); }

private:
    void send(const std::vector<fleet::Outgoing>&);
    void showView();

    boost::asio::io_context& io_;
    Hooks hooks_;
    std::mt19937_64 random_;
    fleet::Membership membership_;
    peers::FleetTransport transport_;
    std::uint64_t revision_ { 0 };
    bool isViewNew_ { false };
    base::TimePoint changedAt_; // last change of the view
    base::TimePoint shownAt_;
};

} // namespace flamingousher::control
