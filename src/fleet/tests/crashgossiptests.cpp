#include "fleet/membership.h"

#include <criterion/criterion.h>

#include <map>
#include <memory>
#include <random>

using namespace flamingousher;
using namespace flamingousher::fleet;
using quarantine::CrashRecord;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const base::TimePoint Start { std::chrono::hours(2) };
constexpr CrashRecord Known { 7, 3, 3, "u" };

NodeInfo node(const std::string& name, std::uint64_t boot)
{
    return { { name, boot }, "z", "r", name, 1 };
}

// Nodes that exchange datagrams in virtual time.
class Fleet {
public:
    explicit Fleet(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
            start(std::to_string(index), 1);
        run(seconds(4));
    }

    void start(const std::string& name, std::uint64_t boot)
    {
        Node& started = nodes_[name];
        started = {};
        started.membership = std::make_unique<Membership>(node(name, boot), MembershipSettings {},
            Membership::Hooks { [this] { return random_(); }, [] {}, [](const NodeInfo&, const ConfigurationId&) {},
                [&started](const CrashRecord& record, base::TimePoint changedAt) {
                    started.records[record.fingerprint] = record;
                    started.changedAt = changedAt;
                } });
        started.membership->setSeeds({ "0", "1", "2" });
    }

    // A node that is cut off gets no messages and sends none.
    void setCut(const std::string& name, bool isCut) { nodes_.at(name).isCut = isCut; }

    Membership& at(const std::string& name) { return *nodes_.at(name).membership; }
    base::TimePoint changedAt(const std::string& name) { return nodes_.at(name).changedAt; }
    base::TimePoint now() const { return now_; }

    void run(base::Duration time)
    {
        for (const base::TimePoint until = now_ + time; now_ < until; now_ += milliseconds(100)) {
            for (auto& [name, running] : nodes_)
                deliver(name, running.membership->tick(now_));
        }
    }

    std::size_t knowing(const CrashRecord& record) const
    {
        std::size_t count = 0;
        for (const auto& [name, running] : nodes_) {
            const auto found = running.records.find(record.fingerprint);
            count += found != running.records.end() && found->second == record ? 1 : 0;
        }
        return count;
    }

private:
    struct Node {
        std::unique_ptr<Membership> membership;
        std::map<quarantine::Fingerprint, CrashRecord> records;
        base::TimePoint changedAt;
        bool isCut { false };
    };

    void deliver(const std::string& from, const std::vector<Outgoing>& messages)
    {
        for (const Outgoing& message : messages) {
            const auto to = nodes_.find(message.endpoint);
            if (to == nodes_.end() || to->second.isCut || nodes_.at(from).isCut)
                continue;
            deliver(message.endpoint, to->second.membership->receive(message.message, now_));
        }
    }

    std::map<std::string, Node> nodes_;
    std::mt19937_64 random_ { 5 };
    base::TimePoint now_ { Start };
};

} // namespace

Test(CrashGossip, reachesAllNodes)
{
    Fleet fleet(40);
    fleet.at("3").reportCrash(Known, fleet.now());
    fleet.run(seconds(5));
    cr_expect_eq(fleet.knowing(Known), 40u);
}

// Fault: a request comes again at a VM that was restarted since it crashed upstreams.
Test(CrashGossip, reachesNodeThatStartsLater)
{
    Fleet fleet(8);
    fleet.at("3").reportCrash(Known, fleet.now());
    const base::TimePoint reportedAt = fleet.now();
    fleet.run(seconds(30));
    fleet.start("5", 2);
    fleet.run(seconds(3));
    cr_expect_eq(fleet.knowing(Known), 8u);
    const base::Duration difference = fleet.changedAt("5") - reportedAt;
    cr_expect_lt(std::abs(std::chrono::duration<double>(difference).count()), 1.0, "its age is told too");
}

Test(CrashGossip, reachesNodeThatWasCutOff)
{
    Fleet fleet(8);
    fleet.setCut("5", true);
    fleet.at("3").reportCrash(Known, fleet.now());
    fleet.run(seconds(30));
    cr_expect_eq(fleet.knowing(Known), 7u);
    fleet.setCut("5", false);
    fleet.run(seconds(4));
    cr_expect_eq(fleet.knowing(Known), 8u);
}

Test(CrashGossip, prefersNewerRecords)
{
    Fleet fleet(8);
    fleet.at("3").reportCrash(Known, fleet.now());
    fleet.run(seconds(3));
    const CrashRecord cleared { 7, 4, 0, "u" };
    fleet.at("6").reportCrash(cleared, fleet.now());
    fleet.at("2").reportCrash({ 7, 2, 2, "u" }, fleet.now());
    fleet.run(seconds(3));
    cr_expect_eq(fleet.knowing(cleared), 8u);
}

Test(CrashGossip, forgetsOldRecordsAndIsBounded)
{
    CrashGossip gossip;
    cr_expect_not(gossip.put(Known, Start - std::chrono::hours(1), Start));
    for (quarantine::Fingerprint fingerprint = 1; fingerprint <= 5'000; ++fingerprint)
        gossip.put({ fingerprint, 1, 1, "u" }, Start + milliseconds(fingerprint), Start + milliseconds(fingerprint));
    cr_expect_leq(gossip.size(), 1'024u);
    cr_expect_neq(gossip.digest(), 0u);
    Gossip message;
    gossip.addTo(message, 3, Start + std::chrono::hours(2));
    cr_expect_eq(gossip.size(), 0u);
    cr_expect_eq(message.crashDigest, 0u);
    cr_expect(message.crashes.empty());
}

// Failure: some VMs lose their links to all upstreams, while the others and callers still reach them.
Test(LinkGossip, reachesAllNodesAndIsTakenBack)
{
    for (const std::size_t count : { 8U, 72U }) {
        Fleet fleet(count);
        fleet.at("3").setUnlinked(true);
        fleet.at("5").setUnlinked(true);
        fleet.run(seconds(6));
        std::size_t knowing = 0;
        for (std::size_t index = 0; index < count; ++index)
            knowing += fleet.at(std::to_string(index)).unlinkedNodes().size() >= (index == 3 || index == 5 ? 1U : 2U)
                ? 1
                : 0;
        cr_expect_geq(knowing * 20, count * 19, "%zu of %zu", knowing, count);
        fleet.at("3").setUnlinked(false);
        fleet.run(seconds(6));
        knowing = 0;
        for (std::size_t index = 0; index < count; ++index)
            knowing += fleet.at(std::to_string(index)).unlinkedNodes().size() <= 1 ? 1 : 0;
        cr_expect_geq(knowing * 20, count * 19, "%zu of %zu", knowing, count);
    }
}

// A suspicion repeats what was known of the node, and only the node itself changes it.
Test(LinkGossip, survivesSuspicion)
{
    Fleet fleet(8);
    fleet.at("3").setUnlinked(true);
    fleet.run(seconds(4));
    fleet.setCut("3", true);
    fleet.run(seconds(3));
    fleet.setCut("3", false);
    fleet.run(seconds(4));
    for (const char* name : { "0", "1", "2", "4" })
        cr_expect_eq(fleet.at(name).unlinkedNodes().size(), 1, "%s", name);
}
