#include "tables/tablediff.h"

#include <map>

namespace flamingousher::tables {

namespace {

    template <typename Item> using Index = std::map<std::string, const Item*>;

    template <typename Item> Index<Item> indexByName(const std::vector<Item>& items)
    {
        Index<Item> index;
        for (const Item& item : items)
            index.emplace(item.name, &item);
        return index;
    }

    template <typename Item>
    void appendChanges(const std::string& kind, const std::vector<Item>& before, const std::vector<Item>& after,
        std::vector<std::string>& lines)
    {
        const Index<Item> oldItems = indexByName(before);
        const Index<Item> newItems = indexByName(after);
        for (const auto& [name, item] : oldItems) {
            if (!newItems.contains(name))
                lines.push_back("- " + kind + " " + name);
        }
        for (const auto& [name, item] : newItems) {
            const auto found = oldItems.find(name);
            if (found == oldItems.end())
                lines.push_back("+ " + kind + " " + name);
            else if (!(*found->second == *item))
                lines.push_back("~ " + kind + " " + name);
        }
    }

    std::vector<Upstream> allUpstreams(const Tables& tables)
    {
        std::vector<Upstream> upstreams;
        for (const Pool& pool : tables.pools)
            upstreams.insert(upstreams.end(), pool.upstreams.begin(), pool.upstreams.end());
        return upstreams;
    }

    std::vector<Pool> withoutUpstreams(std::vector<Pool> pools)
    {
        for (Pool& pool : pools)
            pool.upstreams.clear();
        return pools;
    }

} // namespace

std::vector<std::string> describeChanges(const Tables& before, const Tables& after)
{
    std::vector<std::string> lines;
    appendChanges("route", before.routes, after.routes, lines);
    appendChanges("pool", withoutUpstreams(before.pools), withoutUpstreams(after.pools), lines);
    appendChanges("upstream", allUpstreams(before), allUpstreams(after), lines);
    return lines;
}

} // namespace flamingousher::tables
