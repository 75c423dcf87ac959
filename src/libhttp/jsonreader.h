#pragma once

#include "announcementjson.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <set>

namespace galenaturn::http {

/** Reads the fields of one JSON object and appends every problem to a shared list. */
class json_reader {
public:
    /** `pointer` is the JSON pointer to the object in its document. */
    json_reader(const boost::json::value& value, std::string pointer,
                std::vector<field_problem>& problems);

    /** Returns a name of 1 to 128 visible characters; a missing one is a problem. */
    std::string name(std::string_view key);
    /** Returns a name, or nothing if the field is missing. */
    std::optional<std::string> optional_name(std::string_view key);
    /** Returns a text of at most 512 bytes; empty if the field is missing. */
    std::string text(std::string_view key);
    /** Returns an integer from `min` to `max`; a missing one is a problem. */
    std::int64_t number(std::string_view key, std::int64_t min, std::int64_t max);
    std::int64_t number_or(std::string_view key, std::int64_t fallback, std::int64_t min,
                           std::int64_t max);
    /** Returns a boolean; false if the field is missing. */
    bool flag(std::string_view key);
    ip_endpoint endpoint(std::string_view key);
    resources amounts(std::string_view key);
    /** Returns a reader for each object of an array of at most `max`; none if it is missing. */
    std::vector<json_reader> objects(std::string_view key, std::size_t max);
    /** Returns the index of the text in `choices`. */
    std::size_t choice(std::string_view key, const std::vector<std::string>& choices);

    void report(std::string_view key, field_error error, std::string expected);
    /** Reports each field that was not read as unknown. */
    void finish();

private:
    const boost::json::value* read_member(std::string_view key);
    std::string checked_name(std::string_view key, const boost::json::value& value);
    std::int64_t checked_number(std::string_view key, const boost::json::value& value,
                                std::int64_t min, std::int64_t max);

    static const boost::json::object& empty_object();

    const boost::json::object* object_;
    std::string pointer_;
    std::vector<field_problem>* problems_;
    std::set<std::string, std::less<>> read_keys_;
};

/** Parses a document of limited depth. Reports a malformed one and returns null. */
boost::json::value parse_document(std::string_view body, std::vector<field_problem>& problems);

} // namespace galenaturn::http
