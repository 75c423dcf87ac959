#include "gossipmessages.h"

#include <algorithm>

namespace galenaturn::membership {

namespace {

/** Encoded version, length of the id, incarnation number, sequence number and kind. */
constexpr std::size_t departure_fixed_bytes = 22;
/**
 * Encoded version, three name indexes, two lengths, port, incarnation number, sequence number,
 * slots, connections and busy slots.
 */
constexpr std::size_t arrival_fixed_bytes = 33;

} // namespace

std::size_t departure_delta::size_with(const departure& item)
{
    return departure_fixed_bytes + item.id.value().size();
}

bool departure_delta::add(const departure& item)
{
    if (items_.full())
        return false;
    items_.items.push_back(item);
    return true;
}

bool arrival_delta::has_name(const std::string& name) const
{
    return std::any_of(names_.items.begin(), names_.items.end(),
                       [&name](const short_text& item) { return item.value == name; });
}

std::uint8_t arrival_delta::name_index(const std::string& name) const
{
    const auto& names = names_.items;
    const auto found = std::find_if(names.begin(), names.end(),
                                    [&name](const short_text& item) { return item.value == name; });
    GN_INVARIANT(found != names.end(), {"name", name});
    return static_cast<std::uint8_t>(found - names.begin());
}

std::size_t arrival_delta::size_with(const arrival& item) const
{
    const auto& announcement = item.announcement;
    auto size =
        arrival_fixed_bytes + announcement.id.value().size() + announcement.address.address.size();
    for (const auto* name :
         {&announcement.service.value(), &announcement.domain.value(), &announcement.rack.value()})
        size += has_name(*name) ? 0 : name->size() + 1;
    return size;
}

bool arrival_delta::add(const arrival& item)
{
    constexpr std::size_t max_names = short_list<short_text>::capacity - 3;
    if (items_.size() >= short_list<arrival>::capacity || names_.items.size() > max_names)
        return false;
    const auto& announcement = item.announcement;
    for (const auto* name : {&announcement.service.value(), &announcement.domain.value(),
                             &announcement.rack.value()}) {
        if (!has_name(*name))
            names_.items.push_back({*name});
    }
    items_.push_back(item);
    return true;
}

} // namespace galenaturn::membership
