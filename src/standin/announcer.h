#pragma once

#include "flags.h"

#include <boost/asio/awaitable.hpp>

namespace galenaturn::standin {

/** Sends announcements to one entry; switches to the next one after a failure. */
class announcer {
public:
    announcer(boost::asio::io_context& io, std::vector<ip_endpoint> entries);

    /** Sends a PUT request and returns the body of the response, or an error. */
    boost::asio::awaitable<result<std::string>> put(std::string target, std::string body,
                                                    duration timeout);

private:
    boost::asio::io_context& io_;
    std::vector<ip_endpoint> entries_;
    std::size_t current_;
};

} // namespace galenaturn::standin
