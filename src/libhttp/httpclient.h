#pragma once

#include "httpserver.h"

namespace galenaturn::http {

/** Sends one request on a connection of its own and returns the whole answer. */
boost::asio::awaitable<result<response>> fetch(boost::asio::io_context& io, ip_endpoint address,
                                               request message, time_point deadline);

/** Makes a request with the headers that every one of our clients sends. */
request make_request(verb method, const std::string& target, std::string body = {},
                     const std::string& content_type = "application/json");

} // namespace galenaturn::http
