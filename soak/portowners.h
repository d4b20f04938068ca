#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace flamingousher::soak {

// A TCP connection as its local port and its remote IPv4 address. Connections to different addresses may share a port.
using PortAndPeer = std::pair<std::uint16_t, std::uint32_t>;

// Returns the TCP connections of the processes, with the process of each. Connections of all VMs come from one loopback
// address, so that only the port identifies the VM that has opened one.
std::map<PortAndPeer, pid_t> findPortOwners(const std::vector<pid_t>& processes);

} // namespace flamingousher::soak
