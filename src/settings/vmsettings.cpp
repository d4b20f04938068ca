#include "settings/vmsettings.h"

#include "settings/internal/settingsreader.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>

#include <algorithm>
#include <cmath>

namespace flamingousher::settings {

namespace {

    constexpr double MaxProcessor = 1'024; // cores
    constexpr double MinMemoryMb = 32;
    constexpr double MaxMemoryMb = 16'000'000;
    constexpr double MaxDescriptors = 100'000'000;
    constexpr double MaxShutdownMs = 600'000;
    constexpr double MaxRetryWindowMs = 600'000;
    constexpr double MaxRetrySlack = 1'000'000;
    constexpr double MaxWarmUpFactor = 1'000;
    constexpr double MaxWarmUpSlack = 1'000'000;

    using tables::SectionReader;

    std::vector<std::string> readList(SectionReader& section, const std::string& key)
    {
        std::vector<std::string> items;
        boost::algorithm::split(items, section.text(key, std::string()), boost::algorithm::is_any_of(","));
        for (std::string& item : items)
            boost::algorithm::trim(item);
        std::erase(items, std::string());
        return items;
    }

    std::map<std::string, std::string> readZones(SectionReader& section)
    {
        std::map<std::string, std::string> zones;
        for (const std::string& item : readList(section, "zones")) {
            const std::size_t equals = item.find('=');
            if (equals == std::string::npos) {
                section.addFault("zones", "'" + item + "' is not of the form ZONE=REGION");
                continue;
            }
            zones.emplace(item.substr(0, equals), item.substr(equals + 1));
        }
        return zones;
    }

    std::chrono::milliseconds readDuration(
        SectionReader& section, const std::string& key, double min, double max, std::chrono::milliseconds fallback)
    {
        return std::chrono::milliseconds(
            std::llround(section.number(key, min, max, static_cast<double>(fallback.count()))));
    }

    VmSettings readSections(SettingsReader& reader)
    {
        VmSettings settings;
        reader.section("node", [&](SectionReader& section) {
            settings.name = section.text("name");
            settings.address = section.text("address");
            settings.zone = section.text("zone");
            settings.region = section.text("region", "default");
            settings.processor = section.number("processor", 0, MaxProcessor, settings.processor);
            settings.memoryMb = section.number("memory_mb", MinMemoryMb, MaxMemoryMb, settings.memoryMb);
            settings.maxDescriptors
                = static_cast<std::uint32_t>(section.number("max_fds", 0, MaxDescriptors, settings.maxDescriptors));
            settings.shutdownTime = readDuration(section, "shutdown_ms", 1'000, MaxShutdownMs, settings.shutdownTime);
            settings.regions = readZones(section);
        });
        reader.section("listen", [&](SectionReader& section) {
            settings.callers = readEndpoint(section, "callers");
            settings.readiness = readEndpoint(section, "readiness");
            settings.operators = readEndpoint(section, "operators");
            settings.fanouts = readOptionalEndpoint(section, "fanouts");
        });
        reader.section("platform", [&](SectionReader& section) {
            readChoice(section, "kind", { "store" }, "store");
            settings.store = readEndpoint(section, "store");
        });
        reader.section("peers", [&](SectionReader& section) {
            settings.gossip = readEndpoint(section, "gossip");
            settings.peerKey = readPeerKey(section);
            settings.seeds = readList(section, "seeds");
            for (const std::string& seed : settings.seeds) {
                if (const auto endpoint = http::parseEndpoint(seed); !endpoint)
                    section.addFault("seeds", endpoint.error());
            }
        });
        reader.section("retries", [&](SectionReader& section) {
            settings.retryRatio = section.fraction("ratio", settings.retryRatio);
            settings.retrySlack = section.number("slack", 0, MaxRetrySlack, settings.retrySlack);
            settings.retryWindow = readDuration(section, "window_ms", 100, MaxRetryWindowMs, settings.retryWindow);
        });
        reader.section("warmup", [&](SectionReader& section) {
            settings.warmUpFactor = section.number("factor", 0, MaxWarmUpFactor, settings.warmUpFactor);
            settings.warmUpSlack = section.number("slack", 0, MaxWarmUpSlack, settings.warmUpSlack);
        });
        return settings;
    }

} // namespace

PlatformKind platformKind(const std::string& text)
{
    const auto document = tables::parseIni(text);
    if (!document)
        return PlatformKind::Tables;
    for (const tables::IniSection& section : document->sections) {
        const bool isStore = section.name == "platform"
            && std::ranges::find(section.entries, std::pair<std::string, std::string>("kind", "store"))
                != section.entries.end();
        if (isStore)
            return PlatformKind::Store;
    }
    return PlatformKind::Tables;
}

PlatformKind loadPlatformKind(const std::string& file)
{
    return platformKind(readFile(file).value_or(std::string()));
}

tl::expected<VmSettings, std::vector<std::string>> loadVmSettings(const std::string& file)
{
    return readFile(file).and_then([&](const std::string& text) { return parseVmSettings(file, text); });
}

tl::expected<VmSettings, std::vector<std::string>> parseVmSettings(const std::string& file, const std::string& text)
{
    return readSettings<VmSettings>(file, text, readSections);
}

} // namespace flamingousher::settings
