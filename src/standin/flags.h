#pragma once

#include <galenaturn/http.h>

#include <string>
#include <vector>

namespace galenaturn::standin {

/** Parses "ip:port,ip:port"; ends the program with exit code 2 where one is malformed. */
std::vector<ip_endpoint> parse_endpoints(const std::string& text);
/** Ends the program with exit code 2 and a message. */
[[noreturn]] void fail_usage(const std::string& message);

/** Each runs one stand-in until a signal or --seconds and returns the exit code. */
int run_upstream();
int run_worker();
int run_load();

} // namespace galenaturn::standin
