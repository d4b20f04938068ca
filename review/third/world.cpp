#include "world.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <sstream>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

    constexpr const char* Daemon = "target/src/daemon/flamingousherd";
    constexpr milliseconds IdleTime { 600'000 };
    constexpr milliseconds ReadyTime { 20'000 };

    sockaddr_in socketAddress(const std::string& host, std::uint16_t port)
    {
        sockaddr_in result {};
        result.sin_family = AF_INET;
        result.sin_port = htons(port);
        inet_pton(AF_INET, host.c_str(), &result.sin_addr);
        return result;
    }

    bool awaitSocket(int handle, short events, Clock::time_point deadline)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - Clock::now()).count();
        pollfd entry { handle, events, 0 };
        return left > 0 && ::poll(&entry, 1, static_cast<int>(left)) > 0;
    }

    std::string toLower(std::string text)
    {
        std::ranges::transform(text, text.begin(), [](unsigned char c) { return std::tolower(c); });
        return text;
    }

    std::string toBase64(const std::string& bytes)
    {
        constexpr const char* Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t at = 0; at < bytes.size(); at += 3) {
            std::uint32_t group = 0;
            for (std::size_t index = 0; index < 3; ++index)
                group = group << 8U | (at + index < bytes.size() ? static_cast<unsigned char>(bytes[at + index]) : 0U);
            for (std::size_t index = 0; index < 4; ++index)
                text += at + index > bytes.size() ? '=' : Digits[group >> (18 - 6 * index) & 63U];
        }
        return text;
    }

    std::string decodePercent(const std::string& text)
    {
        std::string result;
        for (std::size_t at = 0; at < text.size(); ++at) {
            if (text[at] == '%' && at + 2 < text.size()) {
                result += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
                at += 2;
            } else {
                result += text[at];
            }
        }
        return result;
    }

    std::map<std::string, std::string> parseParameters(const std::string& target)
    {
        std::map<std::string, std::string> parameters;
        const std::size_t question = target.find('?');
        if (question == std::string::npos)
            return parameters;
        std::stringstream query(target.substr(question + 1));
        for (std::string pair; std::getline(query, pair, '&');) {
            const std::size_t equals = pair.find('=');
            if (equals != std::string::npos)
                parameters[pair.substr(0, equals)] = decodePercent(pair.substr(equals + 1));
        }
        return parameters;
    }

    std::string makeResponse(const std::string& fields, const std::string& body)
    {
        return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    // Returns a listening socket, or -1 if the address is in use.
    int listenAt(const std::string& host, std::uint16_t port)
    {
        const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const sockaddr_in own = socketAddress(host, port);
        if (::bind(listener, reinterpret_cast<const sockaddr*>(&own), sizeof(own)) == 0 && ::listen(listener, 512) == 0)
            return listener;
        ::close(listener);
        return -1;
    }

    bool isFree(const std::string& host, std::uint16_t port)
    {
        const int listener = listenAt(host, port);
        if (listener >= 0)
            ::close(listener);
        return listener >= 0;
    }

    // Another run of these cases holds the same address, so the first test of a network reserves it.
    bool reserve(int number)
    {
        const std::string prefix = "127." + std::to_string(number) + ".";
        const int reservation = listenAt(prefix + "9.9", Store::Port);
        if (reservation < 0)
            return false;
        bool areFree = isFree(prefix + "1.1", Store::Port);
        for (int index = 1; index <= 9; ++index) {
            areFree = areFree && isFree(prefix + "3." + std::to_string(index), Searcher::Port);
            for (const std::uint16_t port : { 7740, 8224, 8226, 8227, 9180 })
                areFree = areFree && isFree(prefix + "2." + std::to_string(index), port);
        }
        if (!areFree)
            ::close(reservation);
        return areFree; // the reservation ends with this process
    }

    int network()
    {
        static const int number = [] {
            constexpr int First = 20;
            constexpr int Count = 200;
            for (int attempt = 0; attempt < Count; ++attempt) {
                const int candidate = First + (static_cast<int>(::getpid()) + attempt) % Count;
                if (reserve(candidate))
                    return candidate;
            }
            throw SetupError { "no free loopback addresses" };
        }();
        return number;
    }

} // namespace

std::string address(int group, int number)
{
    return "127." + std::to_string(network()) + "." + std::to_string(group) + "." + std::to_string(number);
}

double secondsSince(Clock::time_point start)
{
    return std::chrono::duration<double>(Clock::now() - start).count();
}

Record::Record(const std::string& file)
    : out_(file)
{
    if (!out_)
        throw SetupError { "cannot write " + file };
}

void Record::write(const std::string& line)
{
    std::array<char, 32> time {};
    std::snprintf(time.data(), time.size(), "%8.3f ", secondsSince(start_));
    const std::scoped_lock lock(mutex_);
    out_ << time.data() << line << '\n' << std::flush;
}

Socket::~Socket()
{
    if (handle_ >= 0)
        ::close(handle_);
}

std::optional<Socket> Socket::connect(const std::string& host, std::uint16_t port, Clock::time_point deadline)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const sockaddr_in peer = socketAddress(host, port);
    const int on = 1;
    ::setsockopt(socket.handle_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (::connect(socket.handle_, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer)) != 0) {
        if (errno != EINPROGRESS || !awaitSocket(socket.handle_, POLLOUT, deadline))
            return std::nullopt;
        int error = 0;
        socklen_t size = sizeof(error);
        ::getsockopt(socket.handle_, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0)
            return std::nullopt;
    }
    return socket;
}

bool Socket::write(std::string_view bytes, Clock::time_point deadline) const
{
    while (!bytes.empty()) {
        const ssize_t written = ::send(handle_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (written > 0)
            bytes.remove_prefix(static_cast<std::size_t>(written));
        else if ((errno != EAGAIN && errno != EINTR) || !awaitSocket(handle_, POLLOUT, deadline))
            return false;
    }
    return true;
}

bool Socket::read(std::string& buffer, Clock::time_point deadline) const
{
    std::array<char, 16 * 1024> bytes {};
    for (;;) {
        const ssize_t received = ::recv(handle_, bytes.data(), bytes.size(), 0);
        if (received > 0) {
            buffer.append(bytes.data(), static_cast<std::size_t>(received));
            return true;
        }
        if (received == 0 || (errno != EAGAIN && errno != EINTR) || !awaitSocket(handle_, POLLIN, deadline))
            return false;
    }
}

void Socket::end() const
{
    ::shutdown(handle_, SHUT_RDWR);
}

std::string Message::field(const std::string& name) const
{
    const auto found = fields.find(toLower(name));
    return found == fields.end() ? std::string() : found->second;
}

std::optional<Message> readMessage(
    const Socket& socket, std::string& buffer, Clock::time_point deadline, bool isAnswerToHead)
{
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!socket.read(buffer, deadline))
            return std::nullopt;
    }
    Message message;
    std::stringstream head(buffer.substr(0, end));
    buffer.erase(0, end + 4);
    for (std::string line; std::getline(head, line);) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const std::size_t colon = line.find(':');
        if (message.start.empty())
            message.start = line;
        else if (colon != std::string::npos)
            message.fields[toLower(line.substr(0, colon))]
                = line.substr(std::min(line.size(), line.find_first_not_of(' ', colon + 1)));
    }
    const std::string length = message.field("Content-Length");
    const std::size_t size = length.empty() || isAnswerToHead ? 0 : std::stoul(length);
    while (buffer.size() < size) {
        if (!socket.read(buffer, deadline))
            return std::nullopt;
    }
    message.body = buffer.substr(0, size);
    buffer.erase(0, size);
    return message;
}

void serve(const std::string& host, std::uint16_t port, std::function<void(Socket&)> handle)
{
    const int listener = listenAt(host, port);
    if (listener < 0)
        throw SetupError { "cannot listen at " + host + ":" + std::to_string(port) };
    std::thread([listener, handle = std::move(handle)] {
        for (;;) {
            const int accepted = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (accepted < 0)
                continue;
            const int yes = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
            std::thread([accepted, handle] {
                Socket socket(accepted);
                handle(socket);
            }).detach();
        }
    }).detach();
}

Store::Store()
{
    serve(address(1, 1), Port, [this](Socket& socket) { handle(socket); });
}

void Store::put(const std::string& key, const std::string& value)
{
    const std::scoped_lock lock(mutex_);
    items_[key] = { value, ++revision_ };
    events_.push_back({ key, value, revision_ });
    changed_.notify_all();
}

void Store::erase(const std::string& key)
{
    const std::scoped_lock lock(mutex_);
    items_.erase(key);
    events_.push_back({ key, std::nullopt, ++revision_ });
    changed_.notify_all();
}

std::string Store::toJson(const std::string& key, const std::optional<std::string>& value, std::uint64_t revision)
{
    const std::string head = R"({"key":")" + key + R"(","revision":)" + std::to_string(revision);
    return value ? head + R"(,"create-revision":)" + std::to_string(revision) + R"(,"lease":0,"value":")"
            + toBase64(*value) + "\"}"
                 : head + R"(,"deleted":true})";
}

void Store::handle(Socket& socket)
{
    std::string buffer;
    while (const auto request = readMessage(socket, buffer, Clock::now() + IdleTime)) {
        std::stringstream start(request->start);
        std::string method;
        std::string target;
        start >> method >> target;
        const auto parameters = parseParameters(target);
        const auto body = target.starts_with("/v1/kv-watch") ? watch(parameters) : range(parameters);
        if (!body) {
            socket.end();
            return;
        }
        const std::string response = makeResponse("Content-Type: application/json\r\nStore-Era: 1\r\n", *body);
        if (!socket.write(response, Clock::now() + IdleTime))
            return;
    }
}

std::string Store::range(const std::map<std::string, std::string>& parameters)
{
    const auto parameter = [&](const char* name) {
        const auto found = parameters.find(name);
        return found == parameters.end() ? std::string() : found->second;
    };
    const std::scoped_lock lock(mutex_);
    std::string items;
    for (const auto& [key, item] : items_) {
        if (key.starts_with(parameter("prefix")) && key > parameter("after"))
            items += (items.empty() ? "" : ",") + toJson(key, item.value, item.revision);
    }
    return R"({"items":[)" + items + R"(],"has-more":false,"as-of":)" + std::to_string(revision_) + "}";
}

// Returns nothing if the watch is cut.
std::optional<std::string> Store::watch(const std::map<std::string, std::string>& parameters)
{
    const std::uint64_t after = std::stoull(parameters.at("after"));
    const std::string prefix = parameters.contains("prefix") ? parameters.at("prefix") : "";
    const auto until = Clock::now() + milliseconds(std::stoul(parameters.at("wait-ms")));
    std::unique_lock lock(mutex_);
    const std::uint64_t cutRounds = cutRounds_;
    for (;;) {
        std::string events;
        for (const Event& event : events_) {
            if (event.revision > after && event.key.starts_with(prefix))
                events += (events.empty() ? "" : ",") + toJson(event.key, event.value, event.revision);
        }
        if (!events.empty() || Clock::now() >= until)
            return R"({"events":[)" + events + R"(],"as-of":)" + std::to_string(revision_) + "}";
        if (cutRounds != cutRounds_) {
            ++cuts_;
            return std::nullopt;
        }
        changed_.wait_until(lock, until);
    }
}

void Store::cutWatches()
{
    const std::scoped_lock lock(mutex_);
    ++cutRounds_;
    changed_.notify_all();
}

Searcher::Searcher(std::string service, std::string id, std::string host, milliseconds work)
    : service_(std::move(service))
    , id_(std::move(id))
    , host_(std::move(host))
    , work_(work)
{
    serve(host_, Port, [this](Socket& socket) { handle(socket); });
}

std::string Searcher::entry(const std::string& zone, int sequence) const
{
    return R"({"service":")" + service_ + R"(","address":")" + host_ + ":" + std::to_string(Port) + R"(","zone":")"
        + zone + R"(","version":"v1","max-concurrency":6,"state":"ready","warmup-left-ms":0,"seq":)"
        + std::to_string(sequence) + R"(,"born":1780000000000})";
}

std::vector<std::pair<Clock::time_point, std::string>> Searcher::runs()
{
    const std::scoped_lock lock(mutex_);
    return runs_;
}

void Searcher::handle(Socket& socket)
{
    std::string buffer;
    while (const auto request = readMessage(socket, buffer, Clock::now() + IdleTime)) {
        const std::string id = request->field("Flamingousher-Request-Id");
        if (request->field("Flamingousher-Target-Instance") != id_) {
            socket.write("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n", Clock::now() + IdleTime);
            continue;
        }
        {
            const std::scoped_lock lock(mutex_);
            runs_.emplace_back(Clock::now(), id);
        }
        std::this_thread::sleep_for(work_);
        const std::string body = "answer of " + id_ + " to " + id;
        std::string response = makeResponse(
            "Flamingousher-Request-Id: " + id + "\r\nFlamingousher-Response-Stamp: " + id_ + "." + id + "\r\n", body);
        if (request->start.starts_with("HEAD "))
            response.resize(response.size() - body.size());
        if (!socket.write(response, Clock::now() + IdleTime))
            return;
    }
}

Vm::Vm(int number, const std::string& zone, const std::string& folder)
    : host_(address(2, number))
{
    const std::string name = folder + "/vm" + std::to_string(number);
    std::ofstream settings(name + ".ini");
    settings << "[node]\nname = vm" << number << "\naddress = " << host_ << "\nzone = " << zone
             << "\nregion = r\nzones = z1=r,z2=r,z3=r\nprocessor = 0.25\nmemory_mb = 260\nmax_fds = 4100\n"
             << "shutdown_ms = 6e3\n[listen]\ncallers = " << host_ << ":8226\nreadiness = " << host_
             << ":8227\noperators = " << host_ << ":9180\nfanouts = " << host_ << ":7740\n"
             << "[platform]\nkind = store\nstore = " << address(1, 1) << ":" << Store::Port
             << "\n[peers]\ngossip = " << host_
             << ":8224\nkey = flamingousher-fleet-datagrams\nseeds = " << address(2, 1) << ":8224," << address(2, 2)
             << ":8224," << address(2, 3) << ":8224\n"
             << "[retries]\nratio = 0.2\nslack = 58\nwindow_ms = 10e3\n";
    settings.close();
    const std::string file = name + ".ini";
    const std::string log = name + ".log";
    process_ = ::fork();
    if (process_ == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::execl(Daemon, Daemon, "--settings", file.c_str(), nullptr);
        std::_Exit(127);
    }
}

Vm::~Vm()
{
    if (process_ > 0) {
        ::kill(process_, SIGKILL);
        ::waitpid(process_, nullptr, 0);
    }
}

bool Vm::isRunning()
{
    if (process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == process_)
        process_ = -1;
    return process_ > 0;
}

bool Vm::isReady() const
{
    const auto deadline = Clock::now() + milliseconds(1'000);
    const auto socket = Socket::connect(host_, ReadinessPort, deadline);
    std::string buffer;
    if (!socket || !socket->write("GET /v1/readiness HTTP/1.1\r\nHost: vm\r\n\r\n", deadline))
        return false;
    const auto response = readMessage(*socket, buffer, deadline);
    return response && response->start.find(" 200") != std::string::npos;
}

void Vm::awaitReady()
{
    for (const auto until = Clock::now() + ReadyTime; !isReady();) {
        if (!isRunning() || Clock::now() > until)
            throw SetupError { "the process at " + host_ + " does not become ready" };
        std::this_thread::sleep_for(milliseconds(100));
    }
}

TemporaryFolder::TemporaryFolder()
{
    std::string name = "/tmp/flamingousher-review-XXXXXX";
    if (!::mkdtemp(name.data()))
        throw SetupError { "no temporary folder" };
    path_ = name;
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
}

std::string requestHead(const std::string& path, const std::string& id, milliseconds limit)
{
    return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nFlamingousher-Request-Id: " + id
        + "\r\nFlamingousher-Deadline-Ms: " + std::to_string(limit.count()) + "\r\n";
}

Answer ask(const std::string& host, const std::string& request, milliseconds limit)
{
    const auto start = Clock::now();
    const auto deadline = start + limit;
    Answer answer;
    const auto socket = Socket::connect(host, Vm::CallersPort, deadline);
    std::string buffer;
    if (!socket) {
        answer.outcome = "no connection";
    } else if (!socket->write(request, deadline)) {
        answer.outcome = "not sent";
    } else if (auto message = readMessage(*socket, buffer, deadline, request.starts_with("HEAD "))) {
        answer.outcome = message->start.size() > 12 ? message->start.substr(9, 3) : "no status";
        answer.message = *std::move(message);
    } else {
        answer.outcome = Clock::now() >= deadline ? "no answer in time" : "closed";
    }
    answer.seconds = secondsSince(start);
    return answer;
}

std::string routeJson(const std::string& name, const std::string& type, int timeoutMs, int goalMs, int priority)
{
    return R"({"name":"r-)" + name + R"(","host":"h.example","prefix":"/)" + name + R"(/","route-type":")" + type
        + R"(","timeout-ms":)" + std::to_string(timeoutMs) + R"(,"goal-ms":)" + std::to_string(goalMs)
        + R"(,"priority":)" + std::to_string(priority) + R"(,"service":")" + name + R"(","max-attempts":2})";
}

std::string configurationJson(
    int version, const std::vector<std::string>& routes, const std::vector<std::string>& services)
{
    const auto join = [](const std::vector<std::string>& parts) {
        std::string text;
        for (const std::string& part : parts)
            text += (text.empty() ? "" : ",") + part;
        return text;
    };
    std::vector<std::string> described;
    for (const std::string& service : services)
        described.push_back(
            R"({"name":")" + service + R"(","health-path":"/health","max-conns":110,"protocol":"h1","tls":false})");
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + join(routes) + R"(],"services":[)"
        + join(described)
        + R"(],"limits":{"header-bytes":16384,"body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";
}

} // namespace review
