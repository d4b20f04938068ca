#include "routing/routetable.h"

#include <criterion/criterion.h>

using namespace flamingousher::routing;

namespace {

RouteTable makeTable()
{
    Configuration configuration;
    configuration.version = 7;
    configuration.routes = { { .name = "all", .host = "a.example", .pathPrefix = "/" },
        { .name = "list", .host = "a.example", .pathPrefix = "/list/" },
        { .name = "deep", .host = "a.example", .pathPrefix = "/list/deep/" },
        { .name = "other", .host = "B.example", .pathPrefix = "/list/" } };
    configuration.services = { { "s", 31 } };
    return RouteTable(std::make_shared<const Configuration>(configuration));
}

std::string nameOf(const Route* route)
{
    return route ? route->name : "none";
}

} // namespace

Test(RouteTable, matchesLongestPrefixOfHost)
{
    const RouteTable table = makeTable();
    cr_assert_eq(nameOf(table.find("a.example", "/list/deep/1")), "deep");
    cr_assert_eq(nameOf(table.find("a.example", "/list/deeper")), "list");
    cr_assert_eq(nameOf(table.find("a.example", "/list")), "all");
    cr_assert_eq(nameOf(table.find("a.example", "/")), "all");
}

Test(RouteTable, matchesHostIgnoringPortAndCase)
{
    const RouteTable table = makeTable();
    cr_assert_eq(nameOf(table.find("b.EXAMPLE:8080", "/list/1")), "other");
    cr_assert_eq(nameOf(table.find("b.example", "/1")), "none");
    cr_assert_eq(nameOf(table.find("c.example", "/list/1")), "none");
    cr_assert_eq(nameOf(table.find("a.example", "")), "none");
}

Test(RouteTable, findsServicesByName)
{
    const RouteTable table = makeTable();
    cr_assert_eq(table.service("s")->maxConnections, 31);
    cr_assert_null(table.service("t"));
}
