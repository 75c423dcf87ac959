#pragma once

#include "answers.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace galenaturn::http {

/** One request, as a handler sees it. */
struct call {
    const request& message;
    /** Values of the {names} of the route's pattern, decoded. */
    std::map<std::string, std::string> parameters;
    /** Values of the query string, decoded. */
    std::map<std::string, std::string> query;
    time_point arrived;
    /** Becomes true when the caller closes its side while the handler runs. */
    std::shared_ptr<const bool> abandoned;
    /** Called once when that happens; a handler may set it to cancel its work. */
    std::function<void()> on_abandoned;
    /** Set by a handler to close the connection half way through its answer; for failure tests. */
    bool cut_answer{false};
};

/** Returns the answer to one request. */
using handler = std::function<boost::asio::awaitable<response>(call&)>;

/** Which handler takes which request. */
class router {
public:
    /**
     * Adds a route. `pattern` has literal segments, {name} for one segment, and {name...} as last
     * segment for all the rest. verb::unknown takes every method.
     */
    void add(verb method, const std::string& pattern, handler target);

    enum class match { found, unknown_path, wrong_method };
    /** Fills the parameters of `target_call` and `target` where a route is found. */
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
