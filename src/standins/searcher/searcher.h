#pragma once

#include "http/server.h"
#include "query/types.h"
#include "standins/searcher/catalogue.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace flamingousher::standins {

// Behaviour of a searcher. Can be changed at run time: PUT /control takes a JSON object of these members.
struct Behaviour {
    std::uint32_t serviceMs { 0 };
    std::uint32_t straggleMs { 0 }; // added to searches that straggle
    double straggleFraction { 1 }; // fraction of searches that straggle
    bool isDraining { false };
    bool isShedding { false };
    bool isSilent { false }; // accepts requests but never responds
    bool ignoresCancel { false };
    double reportedLoad { 0 }; // load returned by the status endpoint
    std::string crashOn; // a search that contains this text exits the process
    std::set<query::IndexVersion> versions { 1 };
    std::uint32_t shards { 0 }; // reported shard count; 0 reports the real one
};

// Stand-in for one searcher: serves one shard of a catalogue over the upstream protocol. As a single-owner service it
// counts how often each request was executed.
class Searcher {
public:
    Searcher(boost::asio::io_context&, std::shared_ptr<const ShardIndex>, std::uint32_t shard, std::uint32_t shards,
        std::uint32_t slots, const http::ServerLimits&, const Behaviour&);

    boost::system::error_code listen(const http::Endpoint& endpoint) { return server_.listen(endpoint); }

private:
    http::Response handle(const http::Request&, http::Exchange&);
    http::Response search(const http::Request&, http::Exchange&, const http::Target&);
    http::Response post(const http::Request&);
    http::Response status(const http::Request&) const;
    http::Response cancel(const http::Request&, const std::string& name);
    http::Response control(const http::Request&);
    http::Response refuse(const http::Request&, const std::string& reason, bool isNotRun = true) const;
    void waitFor(std::chrono::milliseconds, const bool& isCancelled);

    boost::asio::io_context& io_;
    std::shared_ptr<const ShardIndex> index_;
    std::uint32_t shard_;
    std::uint32_t shards_;
    std::uint32_t slots_;
    Behaviour behaviour_;
    std::uint32_t running_ { 0 };
    std::uint32_t maxRunning_ { 0 };
    std::uint64_t searches_ { 0 };
    std::uint64_t overSlots_ { 0 };
    std::unordered_map<std::string, bool*> cancelFlags_; // by request name
    std::unordered_map<std::string, std::uint32_t> runs_; // executions of non-idempotent requests, by identity or body
    std::mt19937_64 random_;
    http::Server server_;
};

} // namespace flamingousher::standins
