#include "fleet/membership.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <utility>

using namespace flamingousher;
using namespace flamingousher::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t Nodes = 295;
constexpr seconds TrafficStart(14);
constexpr milliseconds TickInterval(100);
constexpr milliseconds NetworkDelay(1);
constexpr milliseconds GossipTimeAfterChange(500);
constexpr double BytesPerUpdate = 32; // in the compact form
constexpr double MaxControlBytesPerSecond = 10'000; // of a node

// The nodes of a fleet in virtual time, each gossiping to two others on each tick while its view changes.
class Fleet {
public:
    explicit Fleet(double lossFraction)
        : lossFraction_(lossFraction)
    {
        for (std::size_t index = 0; index < Nodes; ++index)
            start(index, index + 1);
    }

    // Starts a node, or starts it again with another boot number.
    void start(std::size_t index, std::uint64_t boot)
    {
        MembershipSettings settings;
        settings.maxUpdatesPerMessage = 30;
        const std::string endpoint = "10.0.0.1:" + std::to_string(index);
        auto changedAt = std::make_shared<base::TimePoint>(now_);
        nodes_[endpoint]
            = { std::make_unique<Membership>(NodeInfo { { endpoint, boot }, "z", "r" }, settings,
                    Membership::Hooks { [this] { return random_(); }, [this, changedAt] { *changedAt = now_; },
                        [](const NodeInfo&, const ConfigurationId&) {},
                        [](const quarantine::CrashRecord&, base::TimePoint) {} }),
                  changedAt };
        nodes_[endpoint].membership->setSeeds({ "10.0.0.1:0", "10.0.0.1:1", "10.0.0.1:2" });
    }

    void stop(std::size_t index) { nodes_.erase("10.0.0.1:" + std::to_string(index)); }

    void runFor(base::Duration time)
    {
        for (const base::TimePoint end = now_ + time; now_ < end; now_ += NetworkDelay) {
            std::vector<Outgoing> due;
            std::swap(due, inFlight_);
            for (const Outgoing& outgoing : due) {
                const auto receiver = nodes_.find(outgoing.endpoint);
                if (receiver != nodes_.end())
                    send(receiver->second.membership->receive(outgoing.message, now_));
            }
            const auto sinceTick = (now_ - base::TimePoint {}) % TickInterval;
            if (sinceTick == base::Duration::zero())
                tick();
        }
    }

    // Returns how many nodes know exactly the nodes that run.
    std::size_t convergedCount() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(nodes_, [&](const auto& node) {
            const auto up = node.second.membership->upNodes();
            return up.size() == nodes_.size()
                && std::ranges::all_of(up, [&](const NodeInfo& other) { return nodes_.contains(other.id.endpoint); });
        }));
    }

    std::size_t size() const { return nodes_.size(); }

    // Returns the member updates sent per node since the last call.
    double takeUpdatesPerNode()
    {
        return static_cast<double>(std::exchange(updatesSent_, 0)) / static_cast<double>(nodes_.size());
    }

private:
    struct Node {
        std::unique_ptr<Membership> membership;
        std::shared_ptr<base::TimePoint> changedAt;
    };

    void tick()
    {
        for (auto& [endpoint, node] : nodes_) {
            send(node.membership->tick(now_));
            if (now_ - *node.changedAt < GossipTimeAfterChange)
                send(node.membership->gossipNow(2));
        }
    }

    void send(const std::vector<Outgoing>& messages)
    {
        for (const Outgoing& outgoing : messages) {
            if (const auto* ping = std::get_if<Ping>(&outgoing.message))
                updatesSent_ += ping->gossip.members.size();
            else if (const auto* ack = std::get_if<Ack>(&outgoing.message))
                updatesSent_ += ack->gossip.members.size();
            if (!std::bernoulli_distribution(lossFraction_)(random_))
                inFlight_.push_back(outgoing);
        }
    }

    double lossFraction_;
    std::mt19937_64 random_ { 7 };
    base::TimePoint now_ { std::chrono::hours(1) };
    std::map<std::string, Node> nodes_;
    std::vector<Outgoing> inFlight_;
    std::uint64_t updatesSent_ { 0 };
};

} // namespace

// Load pattern: hundreds of VMs start within a second, and each has to learn about all others before the traffic
// starts.
Test(MembershipSpread, fleetKnowsItselfBeforeTrafficStarts)
{
    for (double lossFraction : { 0.0, 0.1 }) {
        Fleet fleet(lossFraction);
        fleet.runFor(TrafficStart);
        cr_expect_eq(fleet.convergedCount(), Nodes, "%zu of %zu nodes know all", fleet.convergedCount(), Nodes);
    }
}

// Load pattern: a zone of 59 VMs loses power and comes back.
Test(MembershipSpread, zoneIsLostAndReturns)
{
    Fleet fleet(0.02);
    fleet.runFor(TrafficStart);
    for (std::size_t index = 100; index < 159; ++index)
        fleet.stop(index);
    fleet.takeUpdatesPerNode();
    fleet.runFor(seconds(20));
    cr_expect_leq(fleet.takeUpdatesPerNode() * BytesPerUpdate / 20, MaxControlBytesPerSecond);
    cr_expect_eq(
        fleet.convergedCount(), fleet.size(), "%zu of %zu nodes know all", fleet.convergedCount(), fleet.size());
    for (std::size_t index = 100; index < 159; ++index)
        fleet.start(index, 1'000 + index);
    fleet.runFor(TrafficStart);
    cr_expect_eq(fleet.convergedCount(), Nodes, "%zu of %zu nodes know all", fleet.convergedCount(), Nodes);
}
