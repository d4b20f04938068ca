#pragma once

#include "http/server.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace flamingousher::platform {

enum class StoreMode : std::uint8_t {
    Serving,
    Busy, // 503 to everything
    Limited, // 429 to everything
    Silent, // takes requests and never answers
};

// Stands in for the platform's metadata store: keys with revisions, ranges with pages, watches with a history that
// may be dropped. Used on the thread of its I/O context.
class StoreStandIn {
public:
    StoreStandIn(boost::asio::io_context&, std::size_t pageItems = 500);

    boost::system::error_code listen(const http::Endpoint& endpoint) { return server_.listen(endpoint); }
    http::Endpoint endpoint() const { return server_.localEndpoint(); }

    void put(const std::string& key, const std::string& value);
    void erase(const std::string& key);

    // Forgets the history: watches that ask for it are told that it has gone.
    void compact();
    void setMode(StoreMode mode) { mode_ = mode; }

    std::uint64_t revision() const { return revision_; }
    std::uint64_t calls() const { return calls_; }

private:
    struct Item {
        std::string value;
        std::uint64_t revision { 0 };
        std::uint64_t created { 0 };
    };

    struct Change {
        std::string key;
        std::uint64_t revision { 0 };
        bool isDeleted { false };
        std::string value;
    };

    http::Response handle(const http::Request&);
    http::Response range(const http::Request&, const http::Target&) const;
    http::Response watch(const http::Request&, const http::Target&);
    http::Response control(const http::Request&, const http::Target&);
    std::string changesAfter(std::uint64_t revision, const std::string& prefix) const;

    boost::asio::io_context& io_;
    std::size_t pageItems_;
    std::map<std::string, Item> items_;
    std::deque<Change> history_;
    std::uint64_t revision_ { 1 };
    std::uint64_t historyFrom_ { 1 }; // revision after which the history is complete
    std::uint64_t calls_ { 0 };
    StoreMode mode_ { StoreMode::Serving };
    http::Server server_;
};

} // namespace flamingousher::platform
