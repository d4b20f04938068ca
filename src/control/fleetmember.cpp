#include "control/fleetmember.h"

#include "runtime/sleep.h"

#include <variant>

namespace flamingousher::control {

namespace {

    constexpr std::chrono::milliseconds TickInterval { 100 };

    // VMs that are told at once of a new revision; each of them tells as many.
    constexpr std::size_t AnnounceFanOut = 3;

    // While the view changes, as when a whole fleet starts: VMs that are told with each tick, and members named in a
    // message. The names fill less than half of the largest datagram.
    constexpr std::size_t ChangeFanOut = 2;
    constexpr std::size_t MembersPerMessage = 30;
    constexpr base::Duration ChangeTime = std::chrono::milliseconds(500);

    // A view is shown once it has not changed for the first time, and at the latest after the second: VMs that start
    // together find each other within a second, and with half a view each would take too large a share of upstreams.
    constexpr base::Duration SettleTime = std::chrono::milliseconds(700);
    constexpr base::Duration LongestSettling = std::chrono::milliseconds(2'500);

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
          { [this] { return random_(); },
              [this] {
                  changedAt_ = now();
                  isViewNew_ = true;
              },
              [this](const fleet::NodeInfo& from, const fleet::ConfigurationId& id) {
                  hooks_.onRevision(from, id.revision);
              },
              [](const fleet::CrashEvidence&) {} })
    , transport_(
          io, identity,
          [this](const fleet::FleetMessage& message) {
              // The other messages belong to fleets in which upstreams have owners.
              if (const auto* ping = std::get_if<fleet::Ping>(&message))
                  send(membership_.receive(*ping, now()));
              else if (const auto* ack = std::get_if<fleet::Ack>(&message))
                  send(membership_.receive(*ack, now()));
              else if (const auto* request = std::get_if<fleet::PingRequest>(&message))
                  send(membership_.receive(*request, now()));
          },
          [this] { return random_(); })
{
}

boost::system::error_code FleetMember::listen(const http::Endpoint& endpoint)
{
    return transport_.listen(endpoint);
}

void FleetMember::run()
{
    shownAt_ = now();
    for (;;) {
        send(membership_.tick(now()));
        if (now() - changedAt_ < ChangeTime)
            send(membership_.gossipNow(ChangeFanOut));
        showView();
        runtime::sleepFor(io_, TickInterval);
    }
}

void FleetMember::showView()
{
    const bool isSettled = now() - changedAt_ >= SettleTime || now() - shownAt_ >= LongestSettling;
    if (!isViewNew_ || !isSettled)
        return;
    isViewNew_ = false;
    shownAt_ = now();
    hooks_.onView(nodes());
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

void FleetMember::setRevision(std::uint64_t revision, bool announces)
{
    if (revision <= revision_)
        return;
    revision_ = revision;
    membership_.setConfiguration({ revision, 0 });
    if (announces)
        send(membership_.gossipNow(AnnounceFanOut));
}

void FleetMember::leave()
{
    send(membership_.leave(now()));
}

} // namespace flamingousher::control
