#include "disruptionlog.h"

#include <algorithm>

namespace galenaturn::soak {

void disruption_log::begin(const std::string& process, bool is_control, bool planned,
                           time_point from)
{
    const std::scoped_lock lock{mutex_};
    all_.push_back({process, is_control, planned, from, time_point::max()});
}

void disruption_log::end(const std::string& process, time_point until)
{
    const std::scoped_lock lock{mutex_};
    for (auto& each : all_) {
        if (each.process == process && each.until == time_point::max())
            each.until = until;
    }
}

template <class Predicate>
bool disruption_log::any_in(time_point from, time_point until, Predicate matches) const
{
    const std::scoped_lock lock{mutex_};
    return std::any_of(all_.begin(), all_.end(), [&](const auto& each) {
        return each.from <= until && each.until >= from && matches(each);
    });
}

bool disruption_log::disturbed(const std::string& process, time_point from, time_point until) const
{
    return any_in(from, until, [&](const auto& each) { return each.process == process; });
}

bool disruption_log::controls_disturbed(time_point from, time_point until) const
{
    return any_in(from, until, [](const auto& each) { return each.is_control; });
}

bool disruption_log::unplanned_near(const std::string& process, time_point from,
                                    time_point until) const
{
    return any_in(from, until, [&](const auto& each) {
        return !each.planned && (each.is_control || each.process == process);
    });
}

} // namespace galenaturn::soak
