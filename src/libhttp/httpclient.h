#pragma once

#include "httpserver.h"

#include <boost/beast/core/tcp_stream.hpp>

namespace galenaturn::http {

/** Sends one request on a connection of its own and returns the whole answer. */
boost::asio::awaitable<result<response>> fetch(boost::asio::io_context& io, ip_endpoint address,
                                               request message, time_point deadline);

/** Makes a request with the headers that every one of our clients sends. */
request make_request(verb method, const std::string& target, std::string body = {},
                     const std::string& content_type = "application/json");

/** Returns whether the other side of an idle connection has neither closed nor sent anything. */
bool is_quiet(boost::beast::tcp_stream& stream);

} // namespace galenaturn::http
