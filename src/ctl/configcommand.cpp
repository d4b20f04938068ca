#include "configcheck/configcheck.h"
#include "ctl/commands.h"
#include "http/client.h"
#include "platform/decode.h"
#include "platform/names.h"
#include "platform/storeclient.h"
#include "runtime/fiberthread.h"
#include "settings/vmsettings.h"

#include <boost/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

namespace flamingousher::ctl {

namespace json = boost::json;
using configcheck::Finding;
using configcheck::Severity;
using configcheck::Surroundings;
using routing::Configuration;

namespace {

    constexpr double BytesPerMb = 1e6;

    std::optional<std::string> readText(const std::string& file)
    {
        std::ifstream stream(file);
        if (!stream) {
            std::cerr << file << ": cannot be read\n";
            return std::nullopt;
        }
        std::ostringstream text;
        text << stream.rdbuf();
        return text.str();
    }

    // Reads what a VM holds of the store, from its operators' port.
    class StoreReader {
    public:
        StoreReader(const Options& options)
            : options_(options)
            , thread_("ctl")
        {
        }

        // Returns the items with the prefix from the first process that answers.
        std::optional<std::vector<platform::StoreItem>> read(std::string_view prefix)
        {
            for (const std::string& address : options_.operators) {
                if (auto items = readFrom(address, prefix))
                    return items;
            }
            return std::nullopt;
        }

    private:
        std::optional<std::vector<platform::StoreItem>> readFrom(const std::string& address, std::string_view prefix)
        {
            const auto endpoint = http::parseEndpoint(address);
            if (!endpoint) {
                std::cerr << endpoint.error() << '\n';
                return std::nullopt;
            }
            std::vector<platform::StoreItem> items;
            for (std::string after;;) {
                const std::string target = platform::makeRangeTarget(prefix, after);
                const http::Request request = http::makeRequest(boost::beast::http::verb::get, target);
                const std::chrono::milliseconds timeout(options_.timeoutMs);
                const auto response
                    = thread_.call([&] { return http::fetch(thread_.io(), *endpoint, request, timeout); });
                const auto page = response && response->result() == http::Status::ok
                    ? platform::decodeRange(address, response->body())
                    : tl::unexpected(base::Error { base::ErrorCode::Unreachable, base::Step::Receive, address,
                        "does not tell its contents of the store", base::RunState::NotRun });
                if (!page) {
                    std::cerr << toString(page.error()) << '\n';
                    return std::nullopt;
                }
                items.insert(items.end(), page->items.begin(), page->items.end());
                if (!page->hasMore || page->items.empty())
                    return items;
                after = page->items.back().key;
            }
        }

        const Options& options_;
        runtime::FiberThread thread_;
    };

    std::map<std::string, std::set<std::string>> zonesOf(const std::vector<platform::StoreItem>& items)
    {
        std::map<std::string, std::set<std::string>> zones;
        for (const platform::StoreItem& item : items) {
            if (const auto upstream = platform::decodeUpstream(item.key, item.value))
                zones[upstream->service].insert(upstream->zone);
        }
        return zones;
    }

    void print(const Options& options, const std::vector<Finding>& findings, const std::vector<std::string>& changes)
    {
        if (!options.isJson) {
            for (const Finding& finding : findings)
                std::cout << toString(finding.severity) << ": " << finding.place << ' ' << finding.message << '\n';
            for (const std::string& change : changes)
                std::cout << "change: " << change << '\n';
            return;
        }
        json::array faults;
        for (const Finding& finding : findings)
            faults.push_back(json::object { { "severity", toString(finding.severity) }, { "place", finding.place },
                { "message", finding.message } });
        std::cout << json::serialize(json::object {
            { "findings", std::move(faults) }, { "changes", json::array(changes.begin(), changes.end()) } })
                  << '\n';
    }

    void compareVersions(const Configuration& inForce, const Configuration& next, std::vector<Finding>& findings)
    {
        if (next.version <= inForce.version)
            findings.push_back({ Severity::Error, "configuration",
                "has version " + std::to_string(next.version) + ", which is ignored: " + std::to_string(inForce.version)
                    + " is in force" });
    }

} // namespace

ExitCode checkStoreConfiguration(const Options& options, const std::string& file, const std::string& inForce,
    const std::string& vmSettings, bool asksOperators)
{
    const auto text = readText(file);
    if (!text)
        return ExitCode::Usage;
    const auto next = platform::decodeConfiguration(*text);
    if (!next) {
        print(options, { { Severity::Error, file, "cannot be decoded: " + next.error().detail } }, {});
        return ExitCode::Negative;
    }
    Surroundings surroundings;
    if (!vmSettings.empty()) {
        const auto settings = settings::loadVmSettings(vmSettings);
        if (!settings) {
            std::cerr << settings.error().front() << '\n';
            return ExitCode::Usage;
        }
        surroundings.regions = settings->regions;
        surroundings.memoryBytes = settings->memoryMb * BytesPerMb;
    }
    std::optional<std::string> textInForce;
    if (!inForce.empty()) {
        textInForce = readText(inForce);
        if (!textInForce)
            return ExitCode::Usage;
    } else if (asksOperators) {
        StoreReader reader(options);
        const auto items = reader.read(platform::key::Configuration);
        const auto upstreams = reader.read(platform::key::UpstreamPrefix);
        if (!items || !upstreams)
            return ExitCode::Unreachable;
        if (!items->empty())
            textInForce = items->front().value;
        surroundings.zonesByService = zonesOf(*upstreams);
    }
    std::vector<Finding> findings = configcheck::checkConfiguration(*next, surroundings);
    std::vector<std::string> changes;
    if (textInForce) {
        const auto before = platform::decodeConfiguration(*textInForce);
        if (!before) {
            std::cerr << "the configuration in force cannot be decoded: " << before.error().detail << '\n';
            return ExitCode::Usage;
        }
        compareVersions(*before, *next, findings);
        changes = configcheck::describeChanges(*before, *next);
    }
    print(options, findings, changes);
    const bool hasErrors
        = std::ranges::any_of(findings, [](const Finding& finding) { return finding.severity == Severity::Error; });
    return hasErrors ? ExitCode::Negative : ExitCode::Success;
}

} // namespace flamingousher::ctl
