#pragma once

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>

namespace flamingousher::http {

// The largest name, and the largest value, of a header or trailer field that a message can hold.
constexpr std::size_t MaxFieldBytes = 65'533;

// Parses one message. Reports a field that the message cannot hold as the error header_limit; the parser of the library
// throws, which would end the process out of a fiber or a completion handler.
template <bool isRequest>
class MessageParser : public boost::beast::http::parser<isRequest, boost::beast::http::string_body> {
private:
    void on_field_impl(boost::beast::http::field name, boost::beast::string_view nameText,
        boost::beast::string_view value, boost::beast::error_code& error) override
    {
        if (nameText.size() > MaxFieldBytes || value.size() > MaxFieldBytes)
            error = boost::beast::http::error::header_limit;
        else
            this->get().insert(name, nameText, value);
    }
};

using RequestParser = MessageParser<true>;
using ResponseParser = MessageParser<false>;

} // namespace flamingousher::http
