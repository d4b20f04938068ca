#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include <sys/types.h>

namespace flamingousher::soak {

// Returns the local ports of the TCP connections of the processes, with the process of each. Connections of all VMs
// come from one loopback address, so that only the port tells which VM has opened one.
std::map<std::uint16_t, pid_t> findPortOwners(const std::vector<pid_t>& processes);

} // namespace flamingousher::soak
