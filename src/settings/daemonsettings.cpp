#include "settings/daemonsettings.h"

#include "http/client.h"
#include "tables/inidocument.h"
#include "tables/sectionreader.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace flamingousher::settings {

namespace {

    constexpr std::size_t LeastKeyLength = 16;
    constexpr std::uint64_t MostTrafficThreads = 64;
    constexpr std::uint64_t LongestShutdownMs = 600'000;

    using tables::Fault;
    using tables::IniDocument;
    using tables::IniSection;
    using tables::SectionReader;

    // Reads the sections of a settings file; a section that is missing reads as empty.
    class SettingsReader {
    public:
        SettingsReader(const std::string& file, const IniDocument& document)
            : file_(file)
            , document_(document)
        {
        }

        template <typename Read> void section(const std::string& name, Read read)
        {
            known_.push_back(name);
            const auto found = std::ranges::find(document_.sections, name, &IniSection::name);
            const IniSection empty { name, {} };
            SectionReader reader(file_, found == document_.sections.end() ? empty : *found, faults_);
            read(reader);
            reader.rejectUnknownKeys();
        }

        void addFault(const std::string& section, const std::string& key, const std::string& message)
        {
            faults_.push_back({ file_, section, key, message });
        }

        std::vector<Fault> finish()
        {
            for (const IniSection& section : document_.sections) {
                if (std::ranges::find(known_, section.name) == known_.end())
                    faults_.push_back({ file_, section.name, {}, "is not a known section" });
            }
            return faults_;
        }

    private:
        std::string file_;
        const IniDocument& document_;
        std::vector<std::string> known_;
        std::vector<Fault> faults_;
    };

    http::Endpoint readEndpoint(SectionReader& reader, const std::string& key)
    {
        const std::string text = reader.text(key);
        const auto endpoint = http::parseEndpoint(text);
        if (endpoint)
            return *endpoint;
        if (!text.empty())
            reader.addFault(key, endpoint.error());
        return {};
    }

    std::string readChoice(SectionReader& reader, const std::string& key, const std::vector<std::string>& choices,
        const std::string& fallback)
    {
        std::string value = reader.text(key, fallback);
        if (std::ranges::find(choices, value) == choices.end())
            reader.addFault(key, "'" + value + "' is not one of the known values");
        return value;
    }

    DaemonSettings readAll(SettingsReader& reader)
    {
        DaemonSettings settings;
        reader.section("node", [&](SectionReader& section) {
            settings.name = section.text("name");
            settings.address = section.text("address");
            boost::system::error_code error;
            boost::asio::ip::make_address(settings.address, error);
            if (error && !settings.address.empty())
                section.addFault("address", "'" + settings.address + "' is not an IP number");
            settings.zone = section.text("zone");
            settings.region = section.text("region", "default");
            settings.readinessNoticeMs
                = static_cast<std::uint32_t>(section.integer("readiness_notice_ms", 0, LongestShutdownMs, 2'000));
            settings.shutdownTimeoutMs
                = static_cast<std::uint32_t>(section.integer("shutdown_timeout_ms", 100, LongestShutdownMs, 20'000));
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
        reader.section("peers", [&](SectionReader& section) {
            settings.peerKey = section.text("key");
            if (!settings.peerKey.empty() && settings.peerKey.size() < LeastKeyLength)
                section.addFault("key", "is shorter than " + std::to_string(LeastKeyLength) + " characters");
        });
        reader.section("threads", [&](SectionReader& section) {
            settings.trafficThreads = static_cast<std::uint32_t>(section.integer("traffic", 1, MostTrafficThreads, 1));
        });
        reader.section("log", [&](SectionReader& section) {
            settings.logLevel = readChoice(section, "level", { "debug", "info", "warn", "error" }, "info");
            settings.logFormat = readChoice(section, "format", { "text", "json" }, "text");
        });
        return settings;
    }

    // Each traffic thread listens for peers on a port of its own after that of the control thread.
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
    std::ifstream stream(file);
    if (!stream)
        return tl::unexpected(std::vector<std::string> { file + ": cannot be read" });
    std::ostringstream text;
    text << stream.rdbuf();
    return parseSettings(file, text.str());
}

tl::expected<DaemonSettings, std::vector<std::string>> parseSettings(const std::string& file, const std::string& text)
{
    const auto document = tables::parseIni(text);
    if (!document)
        return tl::unexpected(std::vector<std::string> { file + ": " + document.error() });
    SettingsReader reader(file, *document);
    DaemonSettings settings = readAll(reader);
    checkPorts(settings, reader);
    std::vector<std::string> lines;
    for (const Fault& fault : reader.finish())
        lines.push_back(toString(fault));
    if (lines.empty())
        return settings;
    return tl::unexpected(std::move(lines));
}

} // namespace flamingousher::settings
