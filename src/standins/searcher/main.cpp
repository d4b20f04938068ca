#include "runtime/fiberthread.h"
#include "standins/searcher/searcher.h"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <sstream>
#include <unistd.h>

DEFINE_string(catalogue, "", "File of id<TAB>title<TAB>text lines.");
DEFINE_string(address, "127.0.0.1", "IP address to listen on.");
DEFINE_uint32(port, 9000, "Port of the first searcher; the others use the ports after it.");
DEFINE_uint32(shards, 1, "Shards of the index.");
DEFINE_uint32(first_shard, 0, "First shard served by this process.");
DEFINE_uint32(count, 1, "Shards served by this process, one searcher each.");
DEFINE_uint32(slots, 3, "Maximum number of concurrent searches of one searcher.");
DEFINE_uint32(connections, 30, "Maximum number of connections of one searcher.");
DEFINE_uint32(service_ms, 0, "Duration of each search in milliseconds.");
DEFINE_string(versions, "1", "Index versions served, separated by commas.");

int main(int argc, char** argv)
{
    using namespace flamingousher;
    gflags::SetUsageMessage("Stand-in for searchers. See docs/PROTOCOLS.md.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    standins::Behaviour behaviour { .serviceMs = FLAGS_service_ms, .versions = {} };
    std::istringstream versions(FLAGS_versions);
    for (std::string version; std::getline(versions, version, ',');)
        behaviour.versions.insert(std::stoull(version));
    const std::vector<standins::Document> documents = standins::readCatalogue(FLAGS_catalogue);
    runtime::FiberThread thread("searcher");
    std::vector<std::unique_ptr<standins::Searcher>> searchers;
    const bool isListening = thread.call([&] {
        for (std::uint32_t index = 0; index < FLAGS_count; ++index) {
            const std::uint32_t shard = FLAGS_first_shard + index;
            const auto shardIndex = std::make_shared<const standins::ShardIndex>(documents, shard, FLAGS_shards);
            http::ServerLimits limits;
            limits.connections = FLAGS_connections;
            searchers.push_back(std::make_unique<standins::Searcher>(
                thread.io(), shardIndex, shard, FLAGS_shards, FLAGS_slots, limits, behaviour));
            const http::Endpoint endpoint { boost::asio::ip::make_address(FLAGS_address),
                static_cast<std::uint16_t>(FLAGS_port + index) };
            if (searchers.back()->listen(endpoint))
                return false;
        }
        return true;
    });
    if (!isListening) {
        std::fputs("a port cannot be opened\n", stderr);
        std::_Exit(1);
    }
    std::printf("ready: %zu documents, %u shards\n", documents.size(), FLAGS_count);
    std::fflush(stdout);
    for (;;)
        ::pause();
}
