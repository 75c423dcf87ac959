#pragma once

#include "bootclock.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <ostream>

namespace galenaturn {

/** An amount of one unit. Amounts of different units neither compare nor convert. */
template <class Tag>
class quantity {
public:
    constexpr quantity() = default;
    constexpr explicit quantity(std::int64_t value) : value_{value} {}

    [[nodiscard]] constexpr std::int64_t value() const { return value_; }

    constexpr auto operator<=>(const quantity&) const = default;

    constexpr quantity& operator+=(quantity other)
    {
        value_ += other.value_;
        return *this;
    }
    constexpr quantity& operator-=(quantity other)
    {
        value_ -= other.value_;
        return *this;
    }
    friend constexpr quantity operator+(quantity left, quantity right) { return left += right; }
    friend constexpr quantity operator-(quantity left, quantity right) { return left -= right; }

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(value_);
    }

private:
    std::int64_t value_{0};
};

template <class Tag>
std::ostream& operator<<(std::ostream& out, quantity<Tag> amount)
{
    return out << amount.value();
}

using bytes = quantity<struct bytes_tag>;
/** Thousandths of one processor. */
using millicores = quantity<struct millicores_tag>;
using accelerator_count = quantity<struct accelerator_tag>;

/** Resources that a task reserves or a worker provides. */
struct resources {
    millicores processors;
    bytes memory;
    accelerator_count accelerators;

    constexpr bool operator==(const resources&) const = default;

    constexpr resources& operator+=(const resources& other)
    {
        processors += other.processors;
        memory += other.memory;
        accelerators += other.accelerators;
        return *this;
    }
    constexpr resources& operator-=(const resources& other)
    {
        processors -= other.processors;
        memory -= other.memory;
        accelerators -= other.accelerators;
        return *this;
    }
    friend constexpr resources operator+(resources left, const resources& right)
    {
        return left += right;
    }
    friend constexpr resources operator-(resources left, const resources& right)
    {
        return left -= right;
    }

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(processors, memory, accelerators);
    }
};

/** Returns whether all of `demand` is available in `free`. */
constexpr bool fits(const resources& demand, const resources& free)
{
    return demand.processors <= free.processors && demand.memory <= free.memory &&
           demand.accelerators <= free.accelerators;
}

/** A time span on any clock. */
using duration = boot_clock::duration;
/** A time on the monotonic clock of this VM; never sent to other processes. */
using time_point = boot_clock::time_point;
/** A time on the wall clock; for deadlines that outlive a process or are sent to other VMs. */
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/** Returns the monotonic time. Only daemons call this; decisions take `now` as an argument. */
inline time_point monotonic_now()
{
    return boot_clock::now();
}

/** Returns the wall time. Only daemons call this. */
inline wall_time wall_now()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

} // namespace galenaturn
