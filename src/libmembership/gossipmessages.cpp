#include "gossipmessages.h"

#include <algorithm>

namespace galenaturn::membership {

namespace {

/** Version, id's length, life, sequence and kind. */
constexpr std::size_t departure_fixed_size = 22;
/** Version, three places, two lengths, port, life, sequence, slots, connections, busy slots. */
constexpr std::size_t arrival_fixed_size = 33;

} // namespace

std::size_t departure_delta::size_with(const departure& item)
{
    return departure_fixed_size + item.id.value().size();
}

bool departure_delta::add(const departure& item)
{
    if (items_.full())
        return false;
    items_.items.push_back(item);
    return true;
}

bool arrival_delta::knows(const std::string& name) const
{
    return std::any_of(names_.items.begin(), names_.items.end(),
                       [&name](const short_text& known) { return known.value == name; });
}

std::uint8_t arrival_delta::place_of(const std::string& name) const
{
    const auto& known = names_.items;
    const auto found = std::find_if(known.begin(), known.end(),
                                    [&name](const short_text& item) { return item.value == name; });
    GN_INVARIANT(found != known.end(), {"name", name});
    return static_cast<std::uint8_t>(found - known.begin());
}

std::size_t arrival_delta::size_with(const arrival& item) const
{
    const auto& said = item.said;
    auto size = arrival_fixed_size + said.id.value().size() + said.address.address.size();
    for (const auto* name : {&said.service.value(), &said.domain.value(), &said.rack.value()})
        size += knows(*name) ? 0 : name->size() + 1;
    return size;
}

bool arrival_delta::add(const arrival& item)
{
    constexpr std::size_t most_names = short_list<short_text>::capacity - 3;
    if (items_.size() >= short_list<arrival>::capacity || names_.items.size() > most_names)
        return false;
    const auto& said = item.said;
    for (const auto* name : {&said.service.value(), &said.domain.value(), &said.rack.value()}) {
        if (!knows(*name))
            names_.items.push_back({*name});
    }
    items_.push_back(item);
    return true;
}

} // namespace galenaturn::membership
