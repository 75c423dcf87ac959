#pragma once

#include "arguments.h"

#include <galenaturn/http.h>

#include <string>
#include <vector>

namespace galenaturn::command_line {

/** What came of a request, after all tries. */
struct reply {
    /** Nothing came where this is 0. */
    unsigned status{0};
    std::string body;
    std::string version_tag;
    std::string digest;
    /** Why no entry gave a final answer, or the refusal's own words. */
    std::string problem;
    /** Set where a try may have reached the ledger and no final answer came. */
    bool outcome_unknown{false};

    [[nodiscard]] bool succeeded() const { return status / 100 == 2; }
};

/** Sends one request to entries in turn, under one request id, until one gives a final answer. */
class entry_client {
public:
    entry_client(std::vector<ip_endpoint> entries, duration timeout, std::string request_id);

    reply send(http::verb method, const std::string& target, const std::string& body = {},
               const std::vector<std::pair<std::string, std::string>>& headers = {});
    /** Asks only `address`, once. */
    static reply ask(const ip_endpoint& address, const std::string& target, duration timeout);

    [[nodiscard]] const std::string& request_id() const { return request_id_; }

private:
    std::vector<ip_endpoint> entries_;
    time_point deadline_;
    std::string request_id_;
};

/** Returns the exit code that belongs to `answer`. */
exit_code exit_code_of(const reply& answer);

} // namespace galenaturn::command_line
