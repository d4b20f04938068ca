#include "fleet/configurationstore.h"

#include "tables/inidocument.h"
#include "tables/tableparser.h"

#include <xxhash.h>

#include <algorithm>

namespace flamingousher::fleet {

namespace {

    // Revisions for which the difference to the newest is kept.
    constexpr std::size_t KeptSteps = 256;

    void compare(const Sections& before, const Sections& after, Sections& changed, std::vector<std::string>& removed)
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

    // Adds a later difference of one table to an earlier one.
    void append(Sections& changed, std::vector<std::string>& removed, const Sections& laterChanged,
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

tl::expected<Sections, std::string> toSections(const std::string& text)
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
            return tl::unexpected("section [" + section.name + "] stands twice");
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
    compare(before.routes, after.routes, delta.changedRoutes, delta.removedRoutes);
    compare(before.pools, after.pools, delta.changedPools, delta.removedPools);
    return delta;
}

ApplyResult ConfigurationStore::applyPublished(
    std::uint64_t revision, const std::string& routes, const std::string& pools)
{
    if (revision <= id_.revision)
        return ApplyResult::AlreadyKnown;
    // The published bytes decide: they are what "flamingousherctl check" has seen.
    const auto parsed = tables::parseTables(revision, routes, pools);
    if (!parsed) {
        refused_ = RefusedRevision { revision, {} };
        for (const tables::Fault& fault : parsed.error())
            refused_->faults.push_back(toString(fault));
        return ApplyResult::Refused;
    }
    return accept(revision, { *toSections(routes), *toSections(pools) });
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
    steps_.push_back({ before, std::move(delta) });
    if (steps_.size() > KeptSteps)
        steps_.pop_front();
    current_ = std::move(next);
    tables_ = std::make_shared<const tables::Tables>(*std::move(parsed));
    return ApplyResult::Applied;
}

std::optional<TablesDelta> ConfigurationStore::deltaFrom(const ConfigurationId& current) const
{
    if (id_.revision == 0 || current.revision >= id_.revision)
        return std::nullopt;
    const auto first = std::ranges::find(steps_, current, &Step::before);
    if (first == steps_.end() || current.revision == 0) {
        TablesDelta whole = makeDelta({}, current_);
        whole.to = id_.revision;
        whole.digest = id_.digest;
        return whole;
    }
    TablesDelta sum = first->delta;
    for (auto step = std::next(first); step != steps_.end(); ++step) {
        append(sum.changedRoutes, sum.removedRoutes, step->delta.changedRoutes, step->delta.removedRoutes);
        append(sum.changedPools, sum.removedPools, step->delta.changedPools, step->delta.removedPools);
        sum.to = step->delta.to;
        sum.digest = step->delta.digest;
    }
    return sum;
}

} // namespace flamingousher::fleet
