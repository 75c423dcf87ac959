#pragma once

#include "commands.h"
#include "entryclient.h"

#include <boost/json/value.hpp>

#include <sstream>
#include <string>
#include <vector>

namespace galenaturn::command_line {

/** Returns the JSON in `body`, or null where it is none. */
boost::json::value parse_answer(const std::string& body);
/** Returns the member `key` as text; empty where it is missing. */
std::string text_at(const boost::json::value& source, const std::string& key);
/** Returns the elements of the array `key`; none where it is missing. */
std::vector<boost::json::value> list_at(const boost::json::value& source, const std::string& key);

/** Prints what failed and how to go on; returns the exit code that belongs to it. */
exit_code report_failure(const reply& answer, const options& flags, output out,
                         const std::string& request = {});

/** Returns `value` as a stream writes it. */
template <class Value>
std::string text_of(const Value& value)
{
    std::ostringstream out;
    out << value;
    return out.str();
}

std::string processors_text(millicores processors);

} // namespace galenaturn::command_line
