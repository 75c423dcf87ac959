#pragma once

#include <galenaturn/messages.h>

#include <string>
#include <string_view>
#include <vector>

namespace galenaturn::http {

/** What is wrong with one field of a JSON document. */
enum class field_error : std::uint8_t {
    malformed_document,
    missing,
    wrong_type,
    out_of_range,
    unknown_value,
    unknown_field,
    mismatch,
};

/** A problem of one field; `pointer` is a JSON pointer to it. */
struct field_problem {
    std::string pointer;
    field_error error{field_error::missing};
    std::string expected;
};

/** A message read from JSON. `message` is valid only if `problems` is empty. */
template <class Message>
struct parsed_json {
    Message message{};
    std::vector<field_problem> problems;
};

/** Reads the body of PUT /v1/upstreams/{id}. `id` is the id in the path. */
parsed_json<wire::upstream_announcement> parse_upstream_announcement(std::string_view body,
                                                                     const upstream_id& id);
/** Reads the body of PUT /v1/workers/{id}. `id` is the id in the path. */
parsed_json<wire::worker_announcement> parse_worker_announcement(std::string_view body,
                                                                 const worker_id& id);
/** Reads the response to a worker's announcement. */
parsed_json<wire::worker_response> parse_worker_answer(std::string_view body);

std::string to_json(const wire::upstream_announcement& announcement);
std::string to_json(const wire::worker_announcement& announcement);
std::string to_json(const wire::worker_response& reply);

/** Returns all problems in one line, for the `detail` of a problem+json response. */
std::string problem_text(const std::vector<field_problem>& problems);

const char* to_string(field_error error);

} // namespace galenaturn::http
