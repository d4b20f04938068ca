#include "ctl/commands.h"

#include "http/client.h"
#include "runtime/fiberthread.h"
#include "tables/tablediff.h"
#include "tables/tableparser.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>
#include <sstream>
#include <thread>

namespace flamingousher::ctl {

namespace json = boost::json;

namespace {

    constexpr std::chrono::milliseconds PollInterval { 200 };
    constexpr std::chrono::milliseconds TopInterval { 1'000 };

    std::optional<std::string> readFile(const std::string& name)
    {
        std::ifstream stream(name);
        if (!stream) {
            std::cerr << name << ": cannot be read\n";
            return std::nullopt;
        }
        std::ostringstream text;
        text << stream.rdbuf();
        return text.str();
    }

    std::optional<tables::Tables> readTables(const std::string& routesFile, const std::string& poolsFile)
    {
        const auto routes = readFile(routesFile);
        const auto pools = readFile(poolsFile);
        if (!routes || !pools)
            return std::nullopt;
        auto parsed = tables::parseTables(0, *routes, *pools);
        if (parsed)
            return *parsed;
        for (const tables::Fault& fault : parsed.error())
            std::cerr << toString(fault) << '\n';
        return std::nullopt;
    }

    class Client {
    public:
        explicit Client(const Options& options)
            : options_(options)
            , thread_("ctl")
        {
        }

        tl::expected<http::Response, std::string> send(const std::string& address, boost::beast::http::verb method,
            const std::string& target, std::string body = {})
        {
            const auto endpoint = http::parseEndpoint(address);
            if (!endpoint)
                return tl::unexpected(endpoint.error());
            const http::Request request = http::makeRequest(method, target, std::move(body));
            const std::chrono::milliseconds timeout(options_.timeoutMs);
            auto response = thread_.call([&] { return http::fetch(thread_.io(), *endpoint, request, timeout); });
            if (!response)
                return tl::unexpected(toString(response.error()));
            return *std::move(response);
        }

        std::optional<json::value> get(const std::string& address, const std::string& target)
        {
            const auto response = send(address, boost::beast::http::verb::get, target);
            if (!response) {
                std::cerr << response.error() << '\n';
                return std::nullopt;
            }
            if (response->result() != http::Status::ok)
                return std::nullopt;
            boost::system::error_code error;
            json::value document = json::parse(response->body(), error);
            return error ? std::nullopt : std::optional(std::move(document));
        }

    private:
        const Options& options_;
        runtime::FiberThread thread_;
    };

    void printText(const json::value& value, int depth)
    {
        const std::string indent(static_cast<std::size_t>(depth) * 2, ' ');
        if (const json::object* object = value.if_object()) {
            for (const auto& [key, member] : *object) {
                const bool isNested = member.is_object() || member.is_array();
                std::cout << indent << std::string(key) << ':' << (isNested ? "\n" : " ");
                printText(member, isNested ? depth + 1 : 0);
            }
            return;
        }
        if (const json::array* array = value.if_array()) {
            for (const json::value& item : *array) {
                if (item.is_object()) {
                    std::cout << indent << "-\n";
                    printText(item, depth + 1);
                } else {
                    std::cout << indent << "- ";
                    printText(item, 0);
                }
            }
            return;
        }
        if (const json::string* text = value.if_string())
            std::cout << std::string(*text) << '\n';
        else
            std::cout << json::serialize(value) << '\n';
    }

    void print(const Options& options, const json::value& value)
    {
        if (options.isJson)
            std::cout << json::serialize(value) << '\n';
        else
            printText(value, 0);
    }

    ExitCode showDocuments(const Options& options, const std::string& target)
    {
        Client client(options);
        bool allReached = true;
        for (const std::string& address : options.operators) {
            const auto document = client.get(address, target);
            allReached = allReached && document;
            if (!document)
                continue;
            if (options.operators.size() > 1 && !options.isJson)
                std::cout << "== " << address << '\n';
            print(options, *document);
        }
        return allReached ? ExitCode::Success : ExitCode::Unreachable;
    }

    void printTimeline(const json::object& record)
    {
        for (const char* key : { "request_id", "route", "caller", "rank", "outcome", "elapsed_ms" }) {
            std::cout << key << ": ";
            printText(record.at(key), 0);
        }
        for (const json::value& value : record.at("events").as_array()) {
            const json::object& event = value.as_object();
            std::printf(
                "%10.3f ms  %-10s", event.at("at_ms").to_number<double>(), event.at("event").as_string().c_str());
            if (const json::value* upstream = event.if_contains("upstream"))
                std::printf("  shard %s %s", json::serialize(event.at("shard")).c_str(), upstream->as_string().c_str());
            if (const json::value* detail = event.if_contains("detail"))
                std::printf("  %s", detail->as_string().c_str());
            std::printf("\n");
        }
        std::fflush(stdout);
    }

    // Returns the request counters by name and labels, summed over all nodes.
    std::map<std::string, double> readMetrics(Client& client, const Options& options)
    {
        std::map<std::string, double> values;
        for (const std::string& address : options.operators) {
            const auto response = client.send(address, boost::beast::http::verb::get, "/metrics");
            if (!response)
                continue;
            std::istringstream lines(response->body());
            for (std::string line; std::getline(lines, line);) {
                const std::size_t space = line.rfind(' ');
                if (line.starts_with("flamingousher_requests_total") && space != std::string::npos)
                    values[line.substr(0, space)] += std::stod(line.substr(space + 1));
            }
        }
        return values;
    }

} // namespace

ExitCode checkTables(const std::string& routesFile, const std::string& poolsFile)
{
    const auto tables = readTables(routesFile, poolsFile);
    if (!tables)
        return ExitCode::Negative;
    std::cout << "accepted: " << tables->routes.size() << " routes, " << tables->pools.size() << " pools\n";
    return ExitCode::Success;
}

ExitCode diffTables(const std::vector<std::string>& files)
{
    const auto before = readTables(files[0], files[1]);
    const auto after = readTables(files[2], files[3]);
    if (!before || !after)
        return ExitCode::Negative;
    for (const std::string& line : tables::describeChanges(*before, *after))
        std::cout << line << '\n';
    return ExitCode::Success;
}

ExitCode showState(const Options& options)
{
    return showDocuments(options, "/state");
}

ExitCode showPeers(const Options& options)
{
    return showDocuments(options, "/peers");
}

ExitCode showTop(const Options& options)
{
    Client client(options);
    std::map<std::string, double> previous = readMetrics(client, options);
    for (std::uint32_t round = 0; options.rounds == 0 || round < options.rounds; ++round) {
        std::this_thread::sleep_for(TopInterval);
        const std::map<std::string, double> current = readMetrics(client, options);
        std::cout << "requests per second:\n";
        for (const auto& [name, value] : current)
            std::printf("  %10.1f  %s\n", value - previous[name], name.c_str());
        std::fflush(stdout);
        previous = current;
    }
    return ExitCode::Success;
}

ExitCode explainRequest(const Options& options, const std::string& requestId)
{
    Client client(options);
    for (const std::string& address : options.operators) {
        const auto record = client.get(address, "/explain?id=" + http::encodeParameter(requestId));
        if (!record)
            continue;
        if (options.isJson)
            std::cout << json::serialize(*record) << '\n';
        else
            printTimeline(record->as_object());
        return ExitCode::Success;
    }
    std::cerr << "no queried process has a record of " << requestId << '\n';
    return ExitCode::Negative;
}

ExitCode showConfiguration(const Options& options)
{
    Client client(options);
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(options.timeoutMs);
    for (;;) {
        std::vector<std::pair<std::string, json::value>> results;
        bool isInForce = true;
        for (const std::string& address : options.operators) {
            const auto document = client.get(address, "/configuration");
            const std::uint64_t revision
                = document ? document->as_object().at("revision").to_number<std::uint64_t>() : 0;
            isInForce = isInForce && document && revision >= options.waitForRevision;
            results.emplace_back(address, document.value_or(json::value { { "unreachable", true } }));
        }
        const bool isDone = isInForce || options.waitForRevision == 0 || std::chrono::steady_clock::now() >= end;
        if (isDone) {
            for (const auto& [address, document] : results)
                std::cout << address << ' ' << json::serialize(document) << '\n';
            return isInForce ? ExitCode::Success : ExitCode::Negative;
        }
        std::this_thread::sleep_for(PollInterval);
    }
}

ExitCode publishTables(
    const Options& options, const std::string& platform, const std::string& routesFile, const std::string& poolsFile)
{
    if (checkTables(routesFile, poolsFile) != ExitCode::Success)
        return ExitCode::Negative;
    Client client(options);
    const json::object body { { "routes", *readFile(routesFile) }, { "pools", *readFile(poolsFile) } };
    const auto response = client.send(platform, boost::beast::http::verb::put, "/v1/tables", json::serialize(body));
    if (!response) {
        std::cerr << response.error() << '\n';
        return ExitCode::Unreachable;
    }
    std::cout << response->body();
    return response->result() == http::Status::ok ? ExitCode::Success : ExitCode::Negative;
}

} // namespace flamingousher::ctl
