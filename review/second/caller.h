#pragma once

#include "http/types.h"
#include "second/record.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <random>
#include <string>

namespace flamingousher::review {

struct CallerSpec {
    std::string name; // begins the ids of its requests
    http::Endpoint vm;
    std::string method { "GET" };
    std::string host;
    std::string path; // prefix of the route
    std::chrono::milliseconds timeLimit { 2'000 };
    std::chrono::milliseconds pause { 0 }; // between an answer and the next request
    std::size_t bodyBytes { 0 };
    std::chrono::milliseconds leavesWithin { 0 }; // closes its connection after some time up to this; 0: it stays
    bool isRecorded { true };

    bool operator==(const CallerSpec&) const = default;
};

// How a request ended for its caller.
struct Outcome {
    unsigned status { 0 }; // 0: no answer
    std::string stamp;
    std::string partStamps; // separated by commas
    bool isClosed { false }; // the connection ended without an answer
    bool isKept { false }; // the connection had carried an answer before
    double sentMs { 0 };
    double endedMs { 0 };
};

// Sends one request after the other over one connection, which it keeps and opens anew when it ends. A request that
// gets no answer counts as ended; it is not sent again. Used on one thread.
class Caller {
public:
    Caller(boost::asio::io_context&, const CallerSpec&, Record&, std::map<std::string, Outcome>& outcomes);

    // Runs in the calling fiber.
    void run(TimePoint until);

private:
    std::chrono::milliseconds patience();

    boost::asio::io_context& io_;
    CallerSpec spec_;
    Record& record_;
    std::map<std::string, Outcome>& outcomes_; // by id
    std::size_t sent_ { 0 };
    std::mt19937 random_ { std::random_device {}() };
};

} // namespace flamingousher::review
