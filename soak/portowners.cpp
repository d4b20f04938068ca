#include "soak/portowners.h"

#include <charconv>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>
#include <unordered_map>

#include <arpa/inet.h>

namespace flamingousher::soak {

namespace {

    // Returns the process of each socket, by the number of the socket.
    std::unordered_map<unsigned long, pid_t> findSockets(const std::vector<pid_t>& processes)
    {
        constexpr std::string_view Prefix = "socket:[";
        std::unordered_map<unsigned long, pid_t> sockets;
        for (const pid_t process : processes) {
            std::error_code error;
            const std::string folder = "/proc/" + std::to_string(process) + "/fd";
            for (const auto& file : std::filesystem::directory_iterator(folder, error)) {
                const std::string target = std::filesystem::read_symlink(file.path(), error).string();
                unsigned long socket = 0;
                if (target.starts_with(Prefix))
                    std::from_chars(target.data() + Prefix.size(), target.data() + target.size(), socket);
                if (socket != 0)
                    sockets.emplace(socket, process);
            }
        }
        return sockets;
    }

} // namespace

std::map<PortAndPeer, pid_t> findPortOwners(const std::vector<pid_t>& processes)
{
    const auto sockets = findSockets(processes);
    std::map<PortAndPeer, pid_t> owners;
    std::ifstream table("/proc/net/tcp");
    std::string line;
    while (std::getline(table, line)) {
        unsigned port = 0;
        unsigned peer = 0; // in network byte order
        unsigned long socket = 0;
        if (std::sscanf(line.c_str(), "%*s %*8[0-9A-F]:%x %8x:%*s %*s %*s %*s %*s %*s %*s %lu", &port, &peer, &socket)
            != 3)
            continue;
        if (const auto found = sockets.find(socket); found != sockets.end())
            owners[{ static_cast<std::uint16_t>(port), ntohl(peer) }] = found->second;
    }
    return owners;
}

} // namespace flamingousher::soak
