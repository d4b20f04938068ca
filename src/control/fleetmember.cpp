#include "control/fleetmember.h"

#include "runtime/sleep.h"

#include <utility>
#include <variant>

namespace flamingousher::control {

namespace {

    constexpr std::chrono::milliseconds TickInterval { 100 };

    // VMs to which a new revision, or news of a crash, is sent immediately; each of them forwards it to as many.
    constexpr std::size_t NewsFanOut = 3;

    // While members change, as when a whole fleet starts: VMs gossiped to on each tick, and member updates per message.
    // The updates fit one packet.
    constexpr std::size_t ChangeFanOut = 2;
    constexpr std::size_t MembersPerMessage = 26;
    constexpr base::Duration ChangeGossipTime = std::chrono::milliseconds(500);

    // A change is reported when members have been stable for SettleTime, at the latest after MaxSettleTime. VMs that
    // start together discover each other within a second; a VM that sees only half of them would take too large a share
    // of each upstream.
    constexpr base::Duration SettleTime = std::chrono::milliseconds(700);
    constexpr base::Duration MaxSettleTime = std::chrono::milliseconds(2'500);

    // Until the first view has settled, interval between reports of the members known so far.
    constexpr base::Duration FirstReportInterval = std::chrono::milliseconds(200);

    fleet::MembershipSettings membershipSettings()
    {
        fleet::MembershipSettings settings;
        settings.maxUpdatesPerMessage = MembersPerMessage;
        return settings;
    }

    base::TimePoint now()
    {
        return std::chrono::steady_clock::now();
    }

} // namespace

FleetMember::FleetMember(boost::asio::io_context& io, const peers::PeerIdentity& identity, Hooks hooks)
    : io_(io)
    , hooks_(std::move(hooks))
    , random_(std::random_device {}())
    , membership_(identity.self, membershipSettings(),
          { [this] { return random_(); }, [this] { onMembershipChange(); },
              [this](const fleet::NodeInfo& from, const fleet::ConfigurationId& id) { hooks_.onStoreState(from, id); },
              [this](const quarantine::CrashRecord& record, base::TimePoint changedAt) {
                  hasCrashNews_ = true;
                  hooks_.onCrash(record, changedAt);
              } })
    , transport_(
          io, identity, [this](const fleet::FleetMessage& message) { onMessage(message); },
          [this] { return random_(); })
{
}

boost::system::error_code FleetMember::listen(const http::Endpoint& endpoint)
{
    return transport_.listen(endpoint);
}

void FleetMember::run()
{
    reportedAt_ = now();
    for (;;) {
        send(membership_.tick(now()));
        if (now() - changedAt_ < ChangeGossipTime)
            send(membership_.gossipNow(ChangeFanOut));
        reportMembers();
        runtime::sleepFor(io_, TickInterval);
    }
}

// The messages that are left out are used only in fleets where upstreams have owners.
void FleetMember::onMessage(const fleet::FleetMessage& message)
{
    if (const auto* ping = std::get_if<fleet::Ping>(&message))
        send(membership_.receive(*ping, now()));
    else if (const auto* ack = std::get_if<fleet::Ack>(&message))
        send(membership_.receive(*ack, now()));
    else if (const auto* request = std::get_if<fleet::PingRequest>(&message))
        send(membership_.receive(*request, now()));
    const bool hasLinkNews = membership_.linkChangeCount() != linkChangeCount_;
    if (hasLinkNews)
        reportUnlinked();
    if (std::exchange(hasCrashNews_, false) || hasLinkNews)
        send(membership_.gossipNow(NewsFanOut));
}

void FleetMember::reportUnlinked()
{
    linkChangeCount_ = membership_.linkChangeCount();
    hooks_.onUnlinkedMembers(membership_.unlinkedNodes());
}

// Callers of these VMs are served only by others, so news of them do not wait for the next probe.
void FleetMember::setUnlinked(bool isUnlinked)
{
    membership_.setUnlinked(isUnlinked);
    send(membership_.gossipNow(NewsFanOut));
}

// Suspicions come and go all the time in a large fleet and leave the members as they are. Nodes under suspicion are
// pinged anyway, so only members that come or go are worth gossip beyond the usual.
void FleetMember::onMembershipChange()
{
    if (std::exchange(upChangeCount_, membership_.upChangeCount()) == membership_.upChangeCount())
        return;
    changedAt_ = now();
    haveMembersChanged_ = true;
}

void FleetMember::reportMembers()
{
    const bool isSettled = now() - changedAt_ >= SettleTime || now() - reportedAt_ >= MaxSettleTime;
    if (haveMembersChanged_ && !isSettled && !hasReported_ && now() >= nextFirstReport_) {
        nextFirstReport_ = now() + FirstReportInterval;
        hooks_.onFirstMembers(nodes());
    }
    if (!haveMembersChanged_ || !isSettled)
        return;
    hasReported_ = true;
    haveMembersChanged_ = false;
    reportedAt_ = now();
    hooks_.onMembersChanged(nodes());
}

void FleetMember::send(const std::vector<fleet::Outgoing>& outgoing)
{
    std::vector<fleet::FleetOutgoing> messages;
    messages.reserve(outgoing.size());
    for (const fleet::Outgoing& message : outgoing)
        messages.push_back({ message.endpoint,
            std::visit([](const auto& content) { return fleet::FleetMessage(content); }, message.message) });
    transport_.send(messages);
}

void FleetMember::setSeeds(const std::vector<std::string>& endpoints)
{
    membership_.setSeeds(endpoints);
}

void FleetMember::setStoreState(const fleet::ConfigurationId& state, bool immediate)
{
    if (state <= storeState_)
        return;
    storeState_ = state;
    membership_.setConfiguration(state);
    if (immediate)
        send(membership_.gossipNow(NewsFanOut));
}

// A request that crashes upstreams may come again at any VM within milliseconds.
void FleetMember::reportCrash(const quarantine::CrashRecord& record)
{
    membership_.reportCrash(record, now());
    hasCrashNews_ = false;
    send(membership_.gossipNow(NewsFanOut));
}

void FleetMember::leave()
{
    send(membership_.leave(now()));
}

} // namespace flamingousher::control
