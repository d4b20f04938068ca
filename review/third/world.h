#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Thrown when a case cannot run.
struct SetupError {
    std::string reason;
};

// Loopback addresses of this run: "127.NET.group.number".
std::string address(int group, int number);

double secondsSince(Clock::time_point);

// Writes record.txt, a line for each event, with the seconds since the start of the run.
class Record {
public:
    explicit Record(const std::string& file);
    void write(const std::string& line);

private:
    std::mutex mutex_;
    std::ofstream out_;
    Clock::time_point start_ { Clock::now() };
};

// A connected stream socket. Reads and writes give up at a deadline.
class Socket {
public:
    Socket() = default;
    explicit Socket(int handle)
        : handle_(handle)
    {
    }
    Socket(Socket&& other) noexcept
        : handle_(std::exchange(other.handle_, -1))
    {
    }
    Socket& operator=(Socket&&) = delete;
    Socket(const Socket&) = delete;
    Socket& operator=(const Socket&) = delete;
    ~Socket();

    static std::optional<Socket> connect(const std::string& host, std::uint16_t port, Clock::time_point deadline);

    bool write(std::string_view, Clock::time_point deadline) const;

    // Appends what arrives. Returns false at the end of the stream, on an error, and at the deadline.
    bool read(std::string& buffer, Clock::time_point deadline) const;

    // Ends both directions; a thread that reads notices.
    void end() const;

private:
    int handle_ { -1 };
};

struct Message {
    std::string start; // request line or status line
    std::map<std::string, std::string> fields; // names in lower case
    std::string body;

    std::string field(const std::string& name) const;
};

// Reads one message with a stated length. Bytes beyond it stay in the buffer. An answer to HEAD has no body, whatever
// length it states.
std::optional<Message> readMessage(
    const Socket&, std::string& buffer, Clock::time_point deadline, bool isAnswerToHead = false);

// Accepts connections and serves each in a thread of its own, until the process ends.
void serve(const std::string& host, std::uint16_t port, std::function<void(Socket&)> handle);

// The platform's metadata store, as far as machines read it.
class Store {
public:
    static constexpr std::uint16_t Port = 8229;

    Store();
    void put(const std::string& key, const std::string& value);
    void erase(const std::string& key);

    // Closes the connections of all watches that wait.
    void cutWatches();
    int cuts() const { return cuts_; }

private:
    struct Item {
        std::string value;
        std::uint64_t revision;
    };
    struct Event {
        std::string key;
        std::optional<std::string> value; // empty: deleted
        std::uint64_t revision;
    };

    static std::string toJson(const std::string& key, const std::optional<std::string>& value, std::uint64_t revision);
    void handle(Socket&);
    std::string range(const std::map<std::string, std::string>& parameters);
    std::optional<std::string> watch(const std::map<std::string, std::string>& parameters);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    std::vector<Event> events_;
    std::uint64_t revision_ { 100 };
    std::uint64_t cutRounds_ { 0 };
    std::atomic<int> cuts_ { 0 };
};

// A sound searcher: runs each request for a while, and answers with records.
class Searcher {
public:
    static constexpr std::uint16_t Port = 8100;

    Searcher(std::string service, std::string id, std::string host, milliseconds work);

    const std::string& id() const { return id_; }
    std::string entry(const std::string& zone, int sequence) const; // value of its entry in the store
    std::vector<std::pair<Clock::time_point, std::string>> runs(); // arrival and id of each request that it ran

private:
    void handle(Socket&);

    std::string service_;
    std::string id_;
    std::string host_;
    milliseconds work_;
    std::mutex mutex_;
    std::vector<std::pair<Clock::time_point, std::string>> runs_;
};

// A machine of the system: one process with settings as the template of the deploy file makes them.
class Vm {
public:
    static constexpr std::uint16_t CallersPort = 8226;
    static constexpr std::uint16_t ReadinessPort = 8227;

    Vm(int number, const std::string& zone, const std::string& folder);
    ~Vm();
    Vm(const Vm&) = delete;
    Vm& operator=(const Vm&) = delete;

    const std::string& host() const { return host_; }
    bool isReady() const; // as the balancer asks
    bool isRunning();
    void awaitReady();

private:
    std::string host_;
    pid_t process_ { -1 };
};

// A folder under /tmp that is removed with this object.
class TemporaryFolder {
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;
    const std::string& path() const { return path_; }

private:
    std::string path_;
};

struct Answer {
    std::string outcome; // the status, or why there is none
    Message message;
    double seconds { 0 };

    bool isSuccess() const { return outcome.starts_with("2"); }
};

// Head of a client's GET request, without the empty line.
std::string requestHead(const std::string& path, const std::string& id, milliseconds limit);

// Sends a request on a new connection and waits for its answer up to the limit.
Answer ask(const std::string& host, const std::string& request, milliseconds limit);

// A route of the configuration to one service.
std::string routeJson(const std::string& name, const std::string& type, int timeoutMs, int goalMs, int priority);
std::string configurationJson(
    int version, const std::vector<std::string>& routes, const std::vector<std::string>& services);

} // namespace review
