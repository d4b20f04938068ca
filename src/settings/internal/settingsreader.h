#pragma once

#include "http/client.h"
#include "tables/inidocument.h"
#include "tables/sectionreader.h"

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace flamingousher::settings {

// Reads the sections of a settings file. A missing section is treated as empty.
class SettingsReader {
public:
    SettingsReader(const std::string& file, const tables::IniDocument&);

    template <typename Read> void section(const std::string& name, Read read)
    {
        readSections_.push_back(name);
        const tables::IniSection found = find(name);
        tables::SectionReader reader(file_, found, faults_);
        read(reader);
        reader.rejectUnknownKeys();
    }

    void addFault(const std::string& section, const std::string& key, const std::string& message);

    // Returns all faults, including one for each section that has not been read.
    std::vector<tables::Fault> finish();

private:
    tables::IniSection find(const std::string& name) const;

    std::string file_;
    const tables::IniDocument& document_;
    std::vector<std::string> readSections_;
    std::vector<tables::Fault> faults_;
};

// Reads an "IP:port" value. Adds a fault if it is malformed.
http::Endpoint readEndpoint(tables::SectionReader&, const std::string& key);
std::optional<http::Endpoint> readOptionalEndpoint(tables::SectionReader&, const std::string& key);

std::string readChoice(tables::SectionReader&, const std::string& key, const std::vector<std::string>& choices,
    const std::string& fallback);

// Reads the shared secret of the fleet. Adds a fault if it is too short.
std::string readPeerKey(tables::SectionReader&);

tl::expected<std::string, std::vector<std::string>> readFile(const std::string& file);

// Parses the text and reads the settings from it. On failure returns all faults.
template <typename Settings, typename Read>
tl::expected<Settings, std::vector<std::string>> readSettings(
    const std::string& file, const std::string& text, Read read)
{
    const auto document = tables::parseIni(text);
    if (!document)
        return tl::unexpected(std::vector<std::string> { file + ": " + document.error() });
    SettingsReader reader(file, *document);
    Settings settings = read(reader);
    std::vector<std::string> lines;
    for (const tables::Fault& fault : reader.finish())
        lines.push_back(toString(fault));
    if (lines.empty())
        return settings;
    return tl::unexpected(std::move(lines));
}

} // namespace flamingousher::settings
