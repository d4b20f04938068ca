#include "http/parser.h"

#include <criterion/criterion.h>

#include <string>

using namespace flamingousher::http;
namespace beast = boost::beast;

namespace {

beast::error_code parse(ResponseParser& parser, const std::string& bytes)
{
    beast::error_code error;
    parser.eager(true);
    parser.header_limit(1024 * 1024);
    std::size_t parsed = 0;
    while (!error && !parser.is_done() && parsed < bytes.size())
        parsed += parser.put(boost::asio::buffer(bytes.data() + parsed, bytes.size() - parsed), error);
    return error;
}

std::string makeResponse(const std::string& header, const std::string& trailer)
{
    return "HTTP/1.1 200 OK\r\n" + header + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n" + trailer + "\r\n";
}

} // namespace

Test(MessageParser, parsesFieldsUpToTheLimit)
{
    ResponseParser parser;
    const std::string value(MaxFieldBytes, 'v');
    cr_assert(!parse(parser, makeResponse("A:" + value + "\r\n", std::string(MaxFieldBytes, 'n') + ":x\r\n")));
    cr_expect(parser.is_done());
    cr_expect_eq(parser.get()["A"].size(), value.size());
    cr_expect_eq(parser.get()[std::string(MaxFieldBytes, 'n')], "x");
}

// Fault: the parser threw, also for trailers, which its limit of the header does not bound.
Test(MessageParser, reportsFieldsBeyondTheLimit)
{
    const std::string tooMuch(MaxFieldBytes + 1, 'x');
    for (const std::string& field : { "A:" + tooMuch + "\r\n", tooMuch + ":a\r\n" }) {
        ResponseParser header;
        cr_expect_eq(parse(header, makeResponse(field, "")), beast::http::error::header_limit);
        ResponseParser trailer;
        cr_expect_eq(parse(trailer, makeResponse("", field)), beast::http::error::header_limit);
    }
}
