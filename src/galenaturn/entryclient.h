#pragma once

#include "arguments.h"

#include <galenaturn/http.h>

#include <string>
#include <vector>

namespace galenaturn::command_line {

/** Result of a request after all attempts. */
struct reply {
    /** HTTP status; 0 if no response was received. */
    unsigned status{0};
    std::string body;
    std::string version_tag;
    std::string digest;
    /** Why there is no final response, or the reason that a rejecting response gives. */
    std::string problem;
    /** Set if an attempt may have reached the ledger but there was no final response. */
    bool outcome_unknown{false};

    [[nodiscard]] bool succeeded() const { return status / 100 == 2; }
};

/** Sends a request to the entries in turn, with the same request id, until a final response. */
class entry_client {
public:
    entry_client(std::vector<ip_endpoint> entries, duration timeout, std::string request_id);

    reply send(http::verb method, const std::string& target, const std::string& body = {},
               const std::vector<std::pair<std::string, std::string>>& headers = {});
    /** Sends one GET request to `address`, without retries. */
    static reply get_once(const ip_endpoint& address, const std::string& target, duration timeout);

    [[nodiscard]] const std::string& request_id() const { return request_id_; }

private:
    std::vector<ip_endpoint> entries_;
    time_point deadline_;
    std::string request_id_;
};

/** Returns the exit code for `response`. */
exit_code exit_code_of(const reply& response);

} // namespace galenaturn::command_line
