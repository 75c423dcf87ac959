#pragma once

#include "archive.h"
#include "wireerrors.h"

#include <galenaturn/core.h>

#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <exception>

namespace galenaturn::wire {

/** Returns the bytes of `message`, any type with a cereal serialize function. */
template <class Message>
std::string encode(const Message& message)
{
    std::string target;
    output_archive archive{target};
    archive(message);
    return target;
}

/** Returns the message in `source`, or wire_error::malformed if it is truncated, too long or
 * invalid. */
template <class Message>
result<Message> decode(std::string_view source)
{
    try {
        Message message{};
        input_archive archive{source};
        archive(message);
        if (archive.remaining() != 0)
            return make_error_code(wire_error::malformed);
        return message;
    }
    catch (const std::exception&) {
        return make_error_code(wire_error::malformed);
    }
}

} // namespace galenaturn::wire
