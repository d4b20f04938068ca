#pragma once

#include "http/server.h"
#include "review/record.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <random>
#include <string>

namespace flamingousher::review {

// Distribution of the work of a request: log-normal, cut off at a maximum.
struct WorkTime {
    double meanMs { 10 };
    double spread { 0.35 };
    double maxMs { 100 };
};

struct SearcherSpec {
    std::string service;
    std::string id;
    std::string zone;
    std::uint32_t slots { 3 };
    std::uint32_t queue { 18 };
    std::size_t bodyBytes { 400 };

    bool operator==(const SearcherSpec&) const = default;
};

// A request that a searcher began to work on.
struct Run {
    std::string requestId;
    std::string stamp;
    std::string body; // the whole body of the response
    unsigned status { 200 };
};

// A searcher as the pages describe it. A fault replaces the response of a request that has run.
class Searcher {
public:
    using Fault = std::function<void(const Run&, http::Response&)>;

    Searcher(boost::asio::io_context&, Record&, SearcherSpec);

    boost::system::error_code listen(const http::Endpoint& endpoint) { return server_.listen(endpoint); }
    void setWork(const std::string& pathPrefix, const WorkTime& work) { work_[pathPrefix] = work; }
    void setFault(Fault fault) { fault_ = std::move(fault); }

    const SearcherSpec& spec() const { return spec_; }

    // All runs, by request id. A request may run here more than once.
    const std::multimap<std::string, Run>& runs() const { return runs_; }

private:
    http::Response answer(const http::Request&);
    http::Response run(const http::Request&, const std::string& requestId);
    http::Response refuse(const http::Request&, http::Status, const std::string& requestId) const;
    std::chrono::microseconds drawWork(const std::string& target);
    std::string makeBody();

    boost::asio::io_context& io_;
    Record& record_;
    SearcherSpec spec_;
    std::map<std::string, WorkTime> work_; // by prefix of the path
    Fault fault_;
    std::mt19937 random_;
    std::uint32_t running_ { 0 };
    std::uint32_t queued_ { 0 };
    std::uint64_t lastStamp_ { 0 };
    std::multimap<std::string, Run> runs_;
    http::Server server_;
};

} // namespace flamingousher::review
