#include "wire/internal/compactmember.h"

#include <boost/asio/ip/address_v4.hpp>

#include <algorithm>
#include <charconv>
#include <limits>

namespace flamingousher::wire {

namespace {

    struct CompactEndpoint {
        std::uint32_t address { 0 };
        std::uint16_t port { 0 };
    };

    std::string toText(const CompactEndpoint& endpoint)
    {
        return boost::asio::ip::make_address_v4(endpoint.address).to_string() + ":" + std::to_string(endpoint.port);
    }

    // Returns nothing unless the text is the usual form of an IPv4 address and a port.
    std::optional<CompactEndpoint> parseCompact(const std::string& text)
    {
        const std::size_t colon = text.rfind(':');
        if (colon == std::string::npos)
            return std::nullopt;
        boost::system::error_code error;
        CompactEndpoint endpoint { boost::asio::ip::make_address_v4(text.substr(0, colon), error).to_uint(), 0 };
        std::from_chars(text.data() + colon + 1, text.data() + text.size(), endpoint.port);
        return !error && endpoint.port != 0 && toText(endpoint) == text ? std::optional(endpoint) : std::nullopt;
    }

    // Returns the port of an endpoint at the address, 0 for an empty endpoint, and nothing for any other.
    std::optional<std::uint16_t> portAt(std::uint32_t address, const std::string& text)
    {
        if (text.empty())
            return 0;
        const auto endpoint = parseCompact(text);
        return endpoint && endpoint->address == address ? std::optional(endpoint->port) : std::nullopt;
    }

    std::string endpointAt(std::uint32_t address, std::uint16_t port)
    {
        return port == 0 ? std::string() : toText({ address, port });
    }

    // Returns the index of the node's place in the message, which is added if it is missing.
    std::uint16_t placeOf(const fleet::NodeInfo& node, fb::GossipT& gossip)
    {
        const auto found = std::ranges::find_if(
            gossip.places, [&](const auto& place) { return place->zone == node.zone && place->region == node.region; });
        if (found != gossip.places.end())
            return static_cast<std::uint16_t>(found - gossip.places.begin());
        auto place = std::make_unique<fb::PlaceT>();
        place->zone = node.zone;
        place->region = node.region;
        gossip.places.push_back(std::move(place));
        return static_cast<std::uint16_t>(gossip.places.size() - 1);
    }

} // namespace

fleet::MemberState toMemberState(std::uint8_t state)
{
    return static_cast<fleet::MemberState>(std::min(state, static_cast<std::uint8_t>(fleet::MemberState::Dead)));
}

bool packCompact(const fleet::MemberUpdate& update, fb::GossipT& gossip)
{
    constexpr std::uint32_t MaxShort = std::numeric_limits<std::uint16_t>::max();
    const fleet::NodeInfo& node = update.node;
    const auto endpoint = parseCompact(node.id.endpoint);
    if (!endpoint || node.trafficThreads > MaxShort || gossip.places.size() >= MaxShort)
        return false;
    const auto operatorsPort = portAt(endpoint->address, node.operators);
    const auto fanoutsPort = portAt(endpoint->address, node.fanouts);
    if (!operatorsPort || !fanoutsPort)
        return false;
    gossip.compact_members.emplace_back(node.id.boot, endpoint->address, update.refutation, node.processorMilli,
        endpoint->port, *operatorsPort, *fanoutsPort, static_cast<std::uint16_t>(node.trafficThreads),
        placeOf(node, gossip), static_cast<std::uint8_t>(update.state));
    return true;
}

std::optional<fleet::MemberUpdate> unpackCompact(const fb::CompactMember& member, const fb::GossipT& gossip)
{
    if (member.place() >= gossip.places.size() || !gossip.places[member.place()])
        return std::nullopt;
    const fb::PlaceT& place = *gossip.places[member.place()];
    fleet::NodeInfo node { { toText({ member.address(), member.port() }), member.boot() }, place.zone, place.region,
        endpointAt(member.address(), member.operators_port()), member.traffic_threads(),
        endpointAt(member.address(), member.fanouts_port()), member.processor_milli() };
    return fleet::MemberUpdate { std::move(node), toMemberState(member.state()), member.refutation() };
}

} // namespace flamingousher::wire
