#include "settings/daemonsettings.h"

#include "settings/internal/settingsreader.h"

namespace flamingousher::settings {

namespace {

    constexpr std::uint64_t MaxTrafficThreads = 64;
    constexpr std::uint64_t MaxShutdownMs = 600'000;

    using tables::SectionReader;

    DaemonSettings readSections(SettingsReader& reader)
    {
        DaemonSettings settings;
        reader.section("node", [&](SectionReader& section) {
            settings.name = section.text("name");
            settings.address = section.text("address");
            boost::system::error_code error;
            boost::asio::ip::make_address(settings.address, error);
            if (error && !settings.address.empty())
                section.addFault("address", "'" + settings.address + "' is not an IP address");
            settings.zone = section.text("zone");
            settings.region = section.text("region", "default");
            settings.readinessNoticeMs
                = static_cast<std::uint32_t>(section.integer("readiness_notice_ms", 0, MaxShutdownMs, 2'000));
            settings.shutdownTimeoutMs
                = static_cast<std::uint32_t>(section.integer("shutdown_timeout_ms", 100, MaxShutdownMs, 20'000));
        });
        reader.section("listen", [&](SectionReader& section) {
            settings.callers = readEndpoint(section, "callers");
            settings.peers = readEndpoint(section, "peers");
            settings.operators = readEndpoint(section, "operators");
        });
        reader.section("platform", [&](SectionReader& section) {
            settings.configuration = readEndpoint(section, "configuration");
            settings.vms = readEndpoint(section, "vms");
        });
        reader.section("peers", [&](SectionReader& section) { settings.peerKey = readPeerKey(section); });
        reader.section("threads", [&](SectionReader& section) {
            settings.trafficThreads = static_cast<std::uint32_t>(section.integer("traffic", 1, MaxTrafficThreads, 1));
        });
        reader.section("log", [&](SectionReader& section) {
            settings.logLevel = readChoice(section, "level", { "debug", "info", "warn", "error" }, "info");
            settings.logFormat = readChoice(section, "format", { "text", "json" }, "text");
        });
        return settings;
    }

    // The control thread listens for peers on the first port, the traffic threads on one of the following ports each.
    void checkPorts(const DaemonSettings& settings, SettingsReader& reader)
    {
        const std::uint32_t first = settings.peers.port();
        const std::uint32_t last = first + settings.trafficThreads;
        const auto collides = [&](const http::Endpoint& endpoint) {
            return endpoint.address() == settings.peers.address() && endpoint.port() >= first
                && endpoint.port() <= last;
        };
        const std::string message
            = "is among the peers' ports " + std::to_string(first) + " to " + std::to_string(last);
        if (collides(settings.callers))
            reader.addFault("listen", "callers", message);
        if (collides(settings.operators))
            reader.addFault("listen", "operators", message);
    }

} // namespace

tl::expected<DaemonSettings, std::vector<std::string>> loadSettings(const std::string& file)
{
    return readFile(file).and_then([&](const std::string& text) { return parseSettings(file, text); });
}

tl::expected<DaemonSettings, std::vector<std::string>> parseSettings(const std::string& file, const std::string& text)
{
    return readSettings<DaemonSettings>(file, text, [](SettingsReader& reader) {
        DaemonSettings settings = readSections(reader);
        checkPorts(settings, reader);
        return settings;
    });
}

} // namespace flamingousher::settings
