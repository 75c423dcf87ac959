#pragma once

#include "commands.h"
#include "entryclient.h"

#include <boost/json/value.hpp>

#include <sstream>
#include <string>
#include <vector>

namespace galenaturn::command_line {

/** Parses `body` as JSON. Returns null if it is malformed. */
boost::json::value parse_response(const std::string& body);
/** Returns the member `key` as text; empty if it is missing. */
std::string text_at(const boost::json::value& source, const std::string& key);
/** Returns the elements of the array `key`; none if it is missing. */
std::vector<boost::json::value> list_at(const boost::json::value& source, const std::string& key);

/** Prints what failed and what the user can do about it. Returns the exit code. */
exit_code report_failure(const reply& response, const options& flags, output out,
                         const std::string& request = {});

/** Formats `value` with its stream operator. */
template <class Value>
std::string text_of(const Value& value)
{
    std::ostringstream out;
    out << value;
    return out.str();
}

std::string processors_text(millicores processors);

} // namespace galenaturn::command_line
