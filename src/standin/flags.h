#pragma once

#include <galenaturn/http.h>

#include <string>
#include <vector>

namespace galenaturn::standin {

/** Parses "ip:port,ip:port"; ends the program with exit code 2 if an address is malformed. */
std::vector<ip_endpoint> parse_endpoints(const std::string& text);
/** Prints the message and ends the program with exit code 2. */
[[noreturn]] void fail_usage(const std::string& message);

/** Each of these runs one stand-in until a signal or for --seconds; returns the exit code. */
int run_upstream();
int run_worker();
int run_load();

} // namespace galenaturn::standin
