#pragma once

#include "httpserver.h"

#include <boost/asio/ip/tcp.hpp>

namespace galenaturn::http {

/** Sends one request on a new connection and returns the complete response. */
boost::asio::awaitable<result<response>> fetch(boost::asio::io_context& io, ip_endpoint address,
                                               request message, time_point deadline);

/** Returns a request with the headers that all clients of this project send. */
request make_request(verb method, const std::string& target, std::string body = {},
                     const std::string& content_type = "application/json");

/** Returns whether the peer of an idle connection has neither closed it nor sent anything. */
bool is_open_and_idle(boost::asio::ip::tcp::socket& socket);

} // namespace galenaturn::http
