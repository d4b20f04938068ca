#pragma once

#include "http/types.h"
#include "second/record.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace flamingousher::review {

struct SearcherSpec {
    std::string service;
    std::string id;
    http::Endpoint endpoint;
    std::uint32_t slots { 6 };
    std::uint32_t queue { 12 };
    std::chrono::milliseconds work { 15 };
    std::size_t bodyBytes { 400 };

    bool operator==(const SearcherSpec&) const = default;
};

// A searcher as the pages describe it: refuses what is for another one, runs as many requests as it has slots, queues a
// few, stops at the time limit that it gets, and echoes the request's id in all answers. Its faults are hooks. Used on
// one thread, and never destroyed while that runs.
class Searcher {
public:
    // What one connection has seen before a request.
    struct ConnectionState {
        std::size_t answered { 0 };
        std::string lastId; // of the last answered request
    };

    Searcher(boost::asio::io_context&, const SearcherSpec&, Record&);

    boost::system::error_code listen();

    // Returns bytes that are sent when a request has arrived, before it is run. May be empty.
    std::function<std::string(const http::Request&, const ConnectionState&)> sendBefore;

    // Returns bytes that are sent in place of the answer to a request that has run. May be empty.
    std::function<std::optional<std::string>(const http::Request&)> spoil;

    // Returns whether the request fails: it runs and is answered 500. May be empty.
    std::function<bool(const http::Request&)> fails;

    const SearcherSpec& spec() const { return spec_; }
    const std::map<std::string, std::uint32_t>& runs() const { return runs_; } // by id
    const std::set<std::string>& arrived() const { return arrived_; } // ids of all that was not for another searcher

    static std::string makeStamp(const SearcherSpec&, const std::string& requestId);

private:
    void serve(boost::asio::ip::tcp::socket&);
    http::Response answer(const http::Request&);
    http::Response refuse(const http::Request&, http::Status) const;
    http::Response makeResponse(const http::Request&, http::Status) const;

    boost::asio::io_context& io_;
    SearcherSpec spec_;
    Record& record_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::uint32_t running_ { 0 };
    std::uint32_t queued_ { 0 };
    std::map<std::string, std::uint32_t> runs_;
    std::set<std::string> arrived_;
};

} // namespace flamingousher::review
