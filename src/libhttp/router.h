#pragma once

#include "responses.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace galenaturn::http {

/** A request and its context, as passed to a handler. */
struct call {
    const request& message;
    /** Values of the pattern's {name} segments, percent-decoded. */
    std::map<std::string, std::string> parameters;
    /** Parameters of the query string, percent-decoded. */
    std::map<std::string, std::string> query;
    time_point arrived;
    /**
     * True if the caller has closed the connection before the handler runs; becomes true when it
     * does so meanwhile.
     */
    std::shared_ptr<const bool> abandoned;
    /** Called once after `abandoned` has become true. A handler may set it to cancel its work. */
    std::function<void()> on_abandoned;
    /** Set by a handler to close the connection halfway through its response; for failure tests. */
    bool truncate_response{false};
};

/** Returns the response to one request. */
using handler = std::function<boost::asio::awaitable<response>(call&)>;

/** Maps methods and paths to handlers. */
class router {
public:
    /**
     * Adds a route. `pattern` has literal segments, {name} for one segment, and {name...} as last
     * segment for the rest of the path. verb::unknown matches every method.
     */
    void add(verb method, const std::string& pattern, handler target);

    enum class match { found, unknown_path, wrong_method };
    /** Fills `parameters` and `target` if a route is found. */
    match find(verb method, const std::string& path, std::map<std::string, std::string>& parameters,
               handler& target) const;

private:
    struct route {
        verb method;
        std::vector<std::string> segments;
        handler target;
    };
    std::vector<route> routes_;
};

} // namespace galenaturn::http
