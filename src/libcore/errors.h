#pragma once

#include <boost/outcome/result.hpp>
#include <boost/system/error_code.hpp>

#include <span>
#include <string>
#include <string_view>

namespace galenaturn {

using error_code = boost::system::error_code;

/** A value or an error code. */
template <class T>
using result = boost::outcome_v2::result<T>;

using boost::outcome_v2::success;

/** An error category whose messages are in a table indexed by the enumerator. */
class table_category : public boost::system::error_category {
public:
    constexpr table_category(const char* name, std::span<const std::string_view> messages)
        : name_{name}, messages_{messages}
    {
    }

    [[nodiscard]] const char* name() const noexcept override { return name_; }
    [[nodiscard]] std::string message(int value) const override
    {
        if (value < 0 || static_cast<std::size_t>(value) >= messages_.size())
            return "unknown error";
        return std::string{messages_[static_cast<std::size_t>(value)]};
    }

private:
    const char* name_;
    std::span<const std::string_view> messages_;
};

/** Errors of the core library. */
enum class core_error {
    ok,
    file_unreadable,
    invalid_settings,
    invalid_catalogue,
    invalid_chart,
    unknown_event,
};

error_code make_error_code(core_error error);

} // namespace galenaturn

template <>
struct boost::system::is_error_code_enum<galenaturn::core_error> : std::true_type {
};
