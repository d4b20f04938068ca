#include "http/types.h"

#include <boost/url/encode.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <boost/url/url_view.hpp>

namespace flamingousher::http {

std::string Target::parameter(const std::string& name, const std::string& fallback) const
{
    const auto found = parameters.find(name);
    return found == parameters.end() ? fallback : found->second;
}

Target parseTarget(std::string_view text)
{
    Target target;
    const auto parsed = boost::urls::parse_origin_form({ text.data(), text.size() });
    if (!parsed)
        return target;
    target.path = parsed->path();
    for (const auto& parameter : parsed->params())
        target.parameters.emplace(parameter.key, parameter.value);
    return target;
}

std::string encodeParameter(std::string_view value)
{
    return boost::urls::encode({ value.data(), value.size() }, boost::urls::unreserved_chars);
}

std::string readField(const boost::beast::http::fields& fields, std::string_view name)
{
    const auto found = fields.find(boost::beast::string_view(name.data(), name.size()));
    return found == fields.end() ? std::string() : std::string(found->value());
}

bool hasField(const boost::beast::http::fields& fields, std::string_view name)
{
    return fields.find(boost::beast::string_view(name.data(), name.size())) != fields.end();
}

void setField(boost::beast::http::fields& fields, std::string_view name, std::string_view value)
{
    fields.set(
        boost::beast::string_view(name.data(), name.size()), boost::beast::string_view(value.data(), value.size()));
}

void addField(boost::beast::http::fields& fields, std::string_view name, std::string_view value)
{
    fields.insert(
        boost::beast::string_view(name.data(), name.size()), boost::beast::string_view(value.data(), value.size()));
}

Response makeResponse(const Request& request, Status status, const std::string& contentType, std::string body)
{
    Response response { status, request.version() };
    response.set(boost::beast::http::field::content_type, contentType);
    response.keep_alive(request.keep_alive());
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

Response makeJsonResponse(const Request& request, Status status, std::string body)
{
    return makeResponse(request, status, "application/json", std::move(body));
}

} // namespace flamingousher::http
