#include "jsonreader.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>
#include <limits>

namespace galenaturn::http {

namespace json = boost::json;

namespace {

constexpr std::size_t max_name_bytes = 128;
constexpr std::size_t max_text_bytes = 512;
constexpr std::size_t max_document_depth = 8;
constexpr std::int64_t max_amount = std::int64_t{1} << 50;

bool is_visible(char character)
{
    return character > ' ' && character < '\x7f';
}

} // namespace

json_reader::json_reader(const json::value& value, std::string pointer,
                         std::vector<field_problem>& problems)
    : object_{value.if_object()}, pointer_{std::move(pointer)}, problems_{&problems}
{
    if (object_ != nullptr)
        return;
    object_ = &empty_object();
    problems_->push_back({pointer_, field_error::wrong_type, "an object"});
}

const json::object& json_reader::empty_object()
{
    static const json::object empty;
    return empty;
}

const json::value* json_reader::read_member(std::string_view key)
{
    read_keys_.emplace(key);
    return object_->if_contains(key);
}

void json_reader::report(std::string_view key, field_error error, std::string expected)
{
    // The constructor has already reported that the value is not an object.
    if (object_ == &empty_object())
        return;
    problems_->push_back({pointer_ + "/" + std::string{key}, error, std::move(expected)});
}

std::string json_reader::checked_name(std::string_view key, const json::value& value)
{
    const auto* text = value.if_string();
    if (text == nullptr) {
        report(key, field_error::wrong_type, "a text");
        return {};
    }
    if (text->empty() || text->size() > max_name_bytes ||
        !std::all_of(text->begin(), text->end(), is_visible)) {
        report(key, field_error::out_of_range, "1 to 128 visible ASCII characters");
        return {};
    }
    return std::string{text->data(), text->size()};
}

std::string json_reader::name(std::string_view key)
{
    const auto* value = read_member(key);
    if (value != nullptr)
        return checked_name(key, *value);
    report(key, field_error::missing, "a name");
    return {};
}

std::optional<std::string> json_reader::optional_name(std::string_view key)
{
    const auto* value = read_member(key);
    if (value == nullptr)
        return std::nullopt;
    return checked_name(key, *value);
}

std::string json_reader::text(std::string_view key)
{
    const auto* value = read_member(key);
    if (value == nullptr)
        return {};
    const auto* text = value->if_string();
    if (text == nullptr || text->size() > max_text_bytes) {
        report(key, text == nullptr ? field_error::wrong_type : field_error::out_of_range,
               "a text of at most 512 bytes");
        return {};
    }
    return std::string{text->data(), text->size()};
}

std::int64_t json_reader::checked_number(std::string_view key, const json::value& value,
                                         std::int64_t min, std::int64_t max)
{
    const auto expected =
        "a whole number from " + std::to_string(min) + " to " + std::to_string(max);
    if (!value.is_int64() && !value.is_uint64()) {
        report(key, field_error::wrong_type, expected);
        return min;
    }
    const bool too_large = value.is_uint64() && value.as_uint64() > static_cast<std::uint64_t>(max);
    const auto number = too_large           ? max
                        : value.is_uint64() ? static_cast<std::int64_t>(value.as_uint64())
                                            : value.as_int64();
    if (!too_large && number >= min && number <= max)
        return number;
    report(key, field_error::out_of_range, expected);
    return min;
}

std::int64_t json_reader::number(std::string_view key, std::int64_t min, std::int64_t max)
{
    const auto* value = read_member(key);
    if (value != nullptr)
        return checked_number(key, *value, min, max);
    report(key, field_error::missing, "a whole number");
    return min;
}

std::int64_t json_reader::number_or(std::string_view key, std::int64_t fallback, std::int64_t min,
                                    std::int64_t max)
{
    const auto* value = read_member(key);
    return value == nullptr ? fallback : checked_number(key, *value, min, max);
}

bool json_reader::flag(std::string_view key)
{
    const auto* value = read_member(key);
    if (value == nullptr)
        return false;
    if (value->is_bool())
        return value->as_bool();
    report(key, field_error::wrong_type, "true or false");
    return false;
}

ip_endpoint json_reader::endpoint(std::string_view key)
{
    const auto text = name(key);
    if (text.empty())
        return {};
    const auto parsed = parse_endpoint(text);
    if (parsed)
        return *parsed;
    report(key, field_error::out_of_range, "IP number:port");
    return {};
}

resources json_reader::amounts(std::string_view key)
{
    const auto* value = read_member(key);
    if (value == nullptr) {
        report(key, field_error::missing, "an object");
        return {};
    }
    json_reader inner{*value, pointer_ + "/" + std::string{key}, *problems_};
    resources read;
    read.processors = millicores{inner.number("processors_millicores", 0, max_amount)};
    read.memory = bytes{inner.number("memory_bytes", 0, max_amount)};
    read.accelerators = accelerator_count{inner.number_or("accelerators", 0, 0, max_amount)};
    inner.finish();
    return read;
}

std::vector<json_reader> json_reader::objects(std::string_view key, std::size_t max)
{
    const auto* value = read_member(key);
    if (value == nullptr)
        return {};
    const auto* array = value->if_array();
    if (array == nullptr || array->size() > max) {
        report(key, array == nullptr ? field_error::wrong_type : field_error::out_of_range,
               "an array of at most " + std::to_string(max) + " objects");
        return {};
    }
    std::vector<json_reader> readers;
    for (std::size_t index = 0; index < array->size(); ++index)
        readers.emplace_back((*array)[index],
                             pointer_ + "/" + std::string{key} + "/" + std::to_string(index),
                             *problems_);
    return readers;
}

std::size_t json_reader::choice(std::string_view key, const std::vector<std::string>& choices)
{
    const auto text = name(key);
    if (text.empty())
        return 0;
    const auto found = std::find(choices.begin(), choices.end(), text);
    if (found != choices.end())
        return static_cast<std::size_t>(found - choices.begin());
    std::string expected = "one of";
    for (const auto& possible : choices)
        expected += " " + possible;
    report(key, field_error::unknown_value, expected);
    return 0;
}

void json_reader::finish()
{
    for (const auto& field : *object_) {
        const std::string_view key{field.key().data(), field.key().size()};
        if (!read_keys_.contains(key))
            report(key.substr(0, max_name_bytes), field_error::unknown_field, "no such field");
    }
}

json::value parse_document(std::string_view body, std::vector<field_problem>& problems)
{
    json::parse_options options;
    options.max_depth = max_document_depth;
    boost::system::error_code error;
    auto document = json::parse({body.data(), body.size()}, error, {}, options);
    if (!error)
        return document;
    problems.push_back({"", field_error::malformed_document, error.message()});
    return nullptr;
}

} // namespace galenaturn::http
