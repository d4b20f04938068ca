#pragma once

#include "fleet/membership.h"
#include "peers/fleettransport.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace flamingousher::control {

// Membership of this VM in the fleet of a platform with a store: exchanges the VMs that are up and the store revisions
// that they hold. Used on the control thread.
class FleetMember {
public:
    struct Hooks {
        // Called with the VMs that are up, this VM first, when membership has settled after a change.
        std::function<void(const std::vector<fleet::NodeInfo>&)> onMembersChanged;

        // Called while the first view has not settled yet, with the VMs known so far, this VM first. Others are
        // missing.
        std::function<void(const std::vector<fleet::NodeInfo>&)> onFirstMembers;

        // Called with the VMs that reach almost no upstream, when one says so or reaches them again.
        std::function<void(const std::vector<fleet::NodeId>&)> onUnlinkedMembers;

        // Called when another VM reports the state of the store that it holds, by era and revision.
        std::function<void(const fleet::NodeInfo& from, const fleet::ConfigurationId&)> onStoreState;

        // Called when another VM knows more of a request that crashes upstreams.
        std::function<void(const quarantine::CrashRecord&, base::TimePoint changedAt)> onCrash;
    };

    FleetMember(boost::asio::io_context&, const peers::PeerIdentity&, Hooks);

    boost::system::error_code listen(const http::Endpoint&);

    // Runs forever in the calling fiber.
    void run();

    void setSeeds(const std::vector<std::string>& endpoints);

    // Sets the state of the store that this VM holds; with immediate also gossips it to a few VMs at once.
    void setStoreState(const fleet::ConfigurationId&, bool immediate);

    // Tells the other VMs of a request that crashes upstreams, a few of them at once.
    void reportCrash(const quarantine::CrashRecord&);

    // Announces to the other VMs, to a few of them at once, that this one reaches almost no upstream, or does again.
    void setUnlinked(bool);

    // Announces to the other VMs that this VM is shutting down.
    void leave();

    // Returns the VMs that are up (alive or suspected), this VM first.
    std::vector<fleet::NodeInfo> nodes() const { return membership_.upNodes(); }
    const fleet::NodeInfo& self() const { return membership_.self(); }
    const peers::PeerCounters& counters() const { return transport_.counters(); }

private:
    void send(const std::vector<fleet::Outgoing>&);
    void onMembershipChange();
    void onMessage(const fleet::FleetMessage&);
    void reportMembers();
    void reportUnlinked();

    boost::asio::io_context& io_;
    Hooks hooks_;
    std::mt19937_64 random_;
    fleet::Membership membership_;
    peers::FleetTransport transport_;
    fleet::ConfigurationId storeState_;
    std::uint64_t upChangeCount_ { 0 };
    bool haveMembersChanged_ { false };
    bool hasCrashNews_ { false }; // received and not passed on yet
    std::uint64_t linkChangeCount_ { 0 };
    bool hasReported_ { false };
    base::TimePoint nextFirstReport_;
    base::TimePoint changedAt_; // last change of the members
    base::TimePoint reportedAt_;
};

} // namespace flamingousher::control
