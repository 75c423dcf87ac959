#pragma once

#include "announcementjson.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <set>

namespace galenaturn::http {

/** Reads the fields of one JSON object and adds every problem to a shared list. */
class json_reader {
public:
    /** `pointer` is where the object stands in the document. */
    json_reader(const boost::json::value& value, std::string pointer,
                std::vector<field_problem>& problems);

    /** Returns a name of 1 to 128 visible characters; a missing one is a problem. */
    std::string name(std::string_view key);
    /** Returns a name, or nothing where the field is missing. */
    std::optional<std::string> optional_name(std::string_view key);
    /** Returns a text of at most 512 bytes, empty where the field is missing. */
    std::string text(std::string_view key);
    /** Returns a whole number from `least` to `most`; a missing one is a problem. */
    std::int64_t number(std::string_view key, std::int64_t least, std::int64_t most);
    std::int64_t number_or(std::string_view key, std::int64_t fallback, std::int64_t least,
                           std::int64_t most);
    /** Returns false where the field is missing. */
    bool flag(std::string_view key);
    ip_endpoint endpoint(std::string_view key);
    resources amounts(std::string_view key);
    /** Returns the reader of each object in an array of at most `most`; none where missing. */
    std::vector<json_reader> objects(std::string_view key, std::size_t most);
    /** Returns the index of the text in `choices`. */
    std::size_t choice(std::string_view key, const std::vector<std::string>& choices);

    void report(std::string_view key, field_error error, std::string expected);
    /** Reports every field that was not read. */
    void finish();

private:
    const boost::json::value* take(std::string_view key);
    std::string checked_name(std::string_view key, const boost::json::value& value);
    std::int64_t checked_number(std::string_view key, const boost::json::value& value,
                                std::int64_t least, std::int64_t most);

    static const boost::json::object& empty_object();

    const boost::json::object* object_;
    std::string pointer_;
    std::vector<field_problem>* problems_;
    std::set<std::string, std::less<>> taken_;
};

/** Parses a document of bounded depth; a malformed one is reported and read as null. */
boost::json::value parse_document(std::string_view body, std::vector<field_problem>& problems);

} // namespace galenaturn::http
