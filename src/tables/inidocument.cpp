#include "tables/inidocument.h"

#include <boost/property_tree/ini_parser.hpp>

#include <sstream>

namespace flamingousher::tables {

tl::expected<IniDocument, std::string> parseIni(std::string_view text)
{
    boost::property_tree::ptree tree;
    std::istringstream stream { std::string(text) };
    try {
        boost::property_tree::read_ini(stream, tree);
    } catch (const boost::property_tree::ini_parser_error& error) {
        return tl::unexpected("line " + std::to_string(error.line()) + ": " + error.message());
    }
    IniDocument document;
    for (const auto& [name, child] : tree) {
        if (child.empty() && !child.data().empty())
            return tl::unexpected("key '" + name + "' is outside any section");
        IniSection section { name, {} };
        for (const auto& [key, value] : child)
            section.entries.emplace_back(key, value.data());
        document.sections.push_back(std::move(section));
    }
    return document;
}

} // namespace flamingousher::tables
