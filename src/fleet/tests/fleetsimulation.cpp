#include "fleet/tests/fleetsimulation.h"

#include <algorithm>

namespace flamingousher::fleet::tests {

namespace {

    const std::string Routes = "[route find]\nmethod = GET\npath = /\npool = p\nrank = urgent\ntarget_ms = 86\n";

    std::string zoneName(std::size_t zone)
    {
        return "z" + std::to_string(zone);
    }

} // namespace

FleetSimulation::FleetSimulation(const SimulationSettings& settings)
    : settings_(settings)
    , random_(settings.seed)
{
    publish("first");
    for (std::size_t upstream = 0; upstream < settings.upstreams; ++upstream)
        upstreamNames_.push_back("u" + std::to_string(upstream));
    for (std::size_t node = 0; node < settings.nodes; ++node)
        addNode();
}

std::size_t FleetSimulation::addNode()
{
    const std::size_t index = nodes_.size();
    Node node;
    node.info = { { "10.0.0." + std::to_string(index), random_() }, zoneName(index % settings_.zones), "r", "", 1 };
    FleetCore::Hooks hooks {
        [this] { return random_(); },
        [] {},
        [] {},
        [](const quarantine::CrashRecord&, base::TimePoint) {},
        [](const std::string&) { return false; },
    };
    node.core
        = std::make_unique<FleetCore>(node.info, MembershipSettings {}, OwnershipSettings {}, std::move(hooks), now_);
    byEndpoint_[node.info.id.endpoint] = index;
    nodes_.push_back(std::move(node));
    updateListed();
    return index;
}

void FleetSimulation::updateListed()
{
    std::vector<std::string> listed;
    for (const Node& node : nodes_) {
        if (node.isListed)
            listed.push_back(node.info.id.endpoint);
    }
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        if (nodes_[index].core)
            nodes_[index].core->setListedEndpoints(listed, now_);
    }
}

void FleetSimulation::kill(std::size_t node)
{
    nodes_[node].core.reset();
}

void FleetSimulation::unlist(std::size_t node)
{
    nodes_[node].isListed = false;
    updateListed();
}

void FleetSimulation::leave(std::size_t node)
{
    nodes_[node].isLeaving = true;
    send(node, nodes_[node].core->leave(now_));
}

void FleetSimulation::pause(std::size_t node, std::chrono::milliseconds duration)
{
    nodes_[node].pausedUntil = now_ + duration;
}

void FleetSimulation::publish(const std::string& marker)
{
    marker_ = marker;
    ++published_;
    visibleRevision_ = published_;
}

std::string FleetSimulation::poolsText() const
{
    std::string text = "[pool p]\nkind = search\nshards = 1\n";
    for (std::size_t index = 0; index < settings_.upstreams; ++index) {
        text += "[upstream u" + std::to_string(index) + "]\npool = p\naddress = 10.1.0.1\nport = "
            + std::to_string(1000 + index) + "\nshard = 0\nzone = " + zoneName(index % settings_.zones)
            + "\nslots = " + std::to_string(settings_.slots) + "\nconnections = 30\n";
    }
    return text + "[pool " + marker_ + "]\nkind = service\n[upstream s]\npool = " + marker_
        + "\naddress = 10.1.0.2\nport = 1\nzone = z0\nslots = 1\nconnections = 1\n";
}

void FleetSimulation::runFor(std::chrono::milliseconds duration)
{
    const base::TimePoint end = now_ + duration;
    while (now_ < end)
        step();
}

void FleetSimulation::step()
{
    now_ += Step;
    deliver();
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        if (!isUp(index))
            continue;
        if (!nodes_[index].isLeaving)
            watchService(index);
        send(index, nodes_[index].core->tick(now_));
    }
    check();
}

void FleetSimulation::watchService(std::size_t index)
{
    Node& node = nodes_[index];
    const bool isFirstRead = node.watchedRevision == 0;
    if (isServiceDown_ || (!isFirstRead && !node.core->isWatcher()))
        return;
    if (node.watchedRevision == visibleRevision_)
        return;
    ++serviceCalls;
    node.watchedRevision = visibleRevision_;
    send(index, node.core->onPublished(visibleRevision_, Routes, poolsText(), now_));
}

void FleetSimulation::send(std::size_t from, std::vector<FleetOutgoing>&& outgoing)
{
    for (FleetOutgoing& message : outgoing) {
        ++messages;
        const bool isLost = static_cast<double>(random_() % 10'000) < settings_.loss * 10'000;
        if (isLost)
            continue;
        const auto delay = std::chrono::milliseconds(1 + random_() % 60);
        inFlight_.emplace(now_ + delay, InFlight { now_ + delay, from, message.endpoint, std::move(message.message) });
    }
}

bool FleetSimulation::arePartitioned(std::size_t left, std::size_t right) const
{
    return group_.contains(left) != group_.contains(right);
}

void FleetSimulation::deliver()
{
    while (!inFlight_.empty() && inFlight_.begin()->first <= now_) {
        const InFlight flight = std::move(inFlight_.begin()->second);
        inFlight_.erase(inFlight_.begin());
        const auto to = byEndpoint_.find(flight.to);
        if (to == byEndpoint_.end() || !nodes_[to->second].core || arePartitioned(flight.from, to->second))
            continue;
        if (isPaused(to->second)) {
            // A paused process receives its messages when it resumes.
            inFlight_.emplace(nodes_[to->second].pausedUntil + Step, flight);
            continue;
        }
        send(to->second, nodes_[to->second].core->receive(flight.message, now_));
    }
}

void FleetSimulation::check()
{
    std::vector<std::uint32_t> used(settings_.upstreams, 0);
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        Node& node = nodes_[index];
        if (!node.core)
            continue;
        const std::uint64_t revision = node.core->configuration().id().revision;
        revisionRegressions += revision < node.lastRevision ? 1 : 0;
        node.lastRevision = revision;
        // A paused node starts no work. Work in flight ends at its deadline, which is shorter than the takeover delay.
        if (isPaused(index))
            continue;
        for (std::size_t upstream = 0; upstream < settings_.upstreams; ++upstream) {
            if (node.core->ownership().isServing(upstreamNames_[upstream], now_))
                used[upstream] += node.core->shareOf(settings_.slots);
        }
        checkDeaths(index);
    }
    for (std::uint32_t sum : used) {
        limitViolations += sum > settings_.slots ? 1 : 0;
        stepsWithoutOwner += sum == 0 ? 1 : 0;
        ++upstreamSteps;
    }
}

void FleetSimulation::checkDeaths(std::size_t index)
{
    const Membership& membership = nodes_[index].core->membership();
    if (membership.upCount() == nodes_[index].lastUpCount)
        return;
    nodes_[index].lastUpCount = membership.upCount();
    for (const auto& [id, member] : membership.members()) {
        const std::size_t other = byEndpoint_.at(id.endpoint);
        if (member.state != MemberState::Dead || member.stateSince != now_)
            continue;
        const bool isFalseDeath = isUp(other) && !arePartitioned(index, other) && nodes_[other].info.id == id;
        falseDeaths += isFalseDeath ? 1 : 0;
    }
}

std::size_t FleetSimulation::countAtRevision(std::uint64_t revision) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        nodes_, [&](const Node& node) { return node.core && node.core->configuration().id().revision == revision; }));
}

std::size_t FleetSimulation::upCount() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(nodes_, [](const Node& node) { return node.core != nullptr; }));
}

} // namespace flamingousher::fleet::tests
