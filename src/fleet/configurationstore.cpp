#include "fleet/configurationstore.h"

#include "tables/inidocument.h"
#include "tables/tableparser.h"

#include <xxhash.h>

#include <algorithm>

namespace flamingousher::fleet {

namespace {

    // Number of revisions from which a delta to the newest one is available.
    constexpr std::size_t MaxHistory = 256;

    void diff(const Sections& before, const Sections& after, Sections& changed, std::vector<std::string>& removed)
    {
        for (const auto& [name, body] : after) {
            const auto old = before.find(name);
            if (old == before.end() || old->second != body)
                changed.emplace(name, body);
        }
        for (const auto& [name, body] : before) {
            if (!after.contains(name))
                removed.push_back(name);
        }
    }

    void patch(Sections& sections, const Sections& changed, const std::vector<std::string>& removed)
    {
        for (const std::string& name : removed)
            sections.erase(name);
        for (const auto& [name, body] : changed)
            sections.insert_or_assign(name, body);
    }

    // Merges a later delta of one table into an earlier one.
    void mergeChanges(Sections& changed, std::vector<std::string>& removed, const Sections& laterChanged,
        const std::vector<std::string>& laterRemoved)
    {
        for (const std::string& name : laterRemoved) {
            changed.erase(name);
            removed.push_back(name);
        }
        for (const auto& [name, body] : laterChanged) {
            changed.insert_or_assign(name, body);
            std::erase(removed, name);
        }
    }

} // namespace

tl::expected<Sections, std::string> parseSections(const std::string& text)
{
    const auto document = tables::parseIni(text);
    if (!document)
        return tl::unexpected(document.error());
    Sections sections;
    for (const tables::IniSection& section : document->sections) {
        std::vector<std::string> lines;
        lines.reserve(section.entries.size());
        for (const auto& [key, value] : section.entries)
            lines.push_back(key + " = " + value + "\n");
        std::ranges::sort(lines);
        std::string body;
        for (const std::string& line : lines)
            body += line;
        if (!sections.emplace(section.name, body).second)
            return tl::unexpected("section [" + section.name + "] is defined twice");
    }
    return sections;
}

std::string toText(const Sections& sections)
{
    std::string text;
    for (const auto& [name, body] : sections)
        text += "[" + name + "]\n" + body;
    return text;
}

std::uint64_t digestOf(const CanonicalTables& tables)
{
    const std::string text = toText(tables.routes) + '\0' + toText(tables.pools);
    return XXH3_64bits(text.data(), text.size());
}

TablesDelta makeDelta(const CanonicalTables& before, const CanonicalTables& after)
{
    TablesDelta delta;
    diff(before.routes, after.routes, delta.changedRoutes, delta.removedRoutes);
    diff(before.pools, after.pools, delta.changedPools, delta.removedPools);
    return delta;
}

ApplyResult ConfigurationStore::applyPublished(
    std::uint64_t revision, const std::string& routes, const std::string& pools)
{
    if (revision <= id_.revision)
        return ApplyResult::AlreadyKnown;
    // Validate the published text itself, as "flamingousherctl check" does.
    const auto parsed = tables::parseTables(revision, routes, pools);
    if (!parsed) {
        refused_ = RefusedRevision { revision, {} };
        for (const tables::Fault& fault : parsed.error())
            refused_->faults.push_back(toString(fault));
        return ApplyResult::Refused;
    }
    return accept(revision, { *parseSections(routes), *parseSections(pools) });
}

ApplyResult ConfigurationStore::applyDelta(const TablesDelta& delta)
{
    if (delta.to <= id_.revision)
        return ApplyResult::AlreadyKnown;
    if (delta.from != 0 && delta.from != id_.revision)
        return ApplyResult::Mismatch;
    CanonicalTables next = delta.from == 0 ? CanonicalTables {} : current_;
    patch(next.routes, delta.changedRoutes, delta.removedRoutes);
    patch(next.pools, delta.changedPools, delta.removedPools);
    if (digestOf(next) != delta.digest)
        return ApplyResult::Mismatch;
    return accept(delta.to, std::move(next));
}

ApplyResult ConfigurationStore::accept(std::uint64_t revision, CanonicalTables next)
{
    auto parsed = tables::parseTables(revision, toText(next.routes), toText(next.pools));
    if (!parsed)
        return ApplyResult::Refused;
    TablesDelta delta = makeDelta(current_, next);
    delta.from = id_.revision;
    delta.to = revision;
    delta.digest = digestOf(next);
    const ConfigurationId before = id_;
    id_ = { revision, delta.digest };
    history_.push_back({ before, std::move(delta) });
    if (history_.size() > MaxHistory)
        history_.pop_front();
    current_ = std::move(next);
    tables_ = std::make_shared<const tables::Tables>(*std::move(parsed));
    return ApplyResult::Applied;
}

std::optional<TablesDelta> ConfigurationStore::deltaFrom(const ConfigurationId& base) const
{
    if (id_.revision == 0 || base.revision >= id_.revision)
        return std::nullopt;
    const auto first = std::ranges::find(history_, base, &Change::before);
    if (first == history_.end() || base.revision == 0) {
        TablesDelta full = makeDelta({}, current_);
        full.to = id_.revision;
        full.digest = id_.digest;
        return full;
    }
    TablesDelta combined = first->delta;
    for (auto change = std::next(first); change != history_.end(); ++change) {
        mergeChanges(
            combined.changedRoutes, combined.removedRoutes, change->delta.changedRoutes, change->delta.removedRoutes);
        mergeChanges(
            combined.changedPools, combined.removedPools, change->delta.changedPools, change->delta.removedPools);
        combined.to = change->delta.to;
        combined.digest = change->delta.digest;
    }
    return combined;
}

} // namespace flamingousher::fleet
