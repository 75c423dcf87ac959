#include "ids.h"

#include <charconv>

namespace galenaturn {

namespace {

constexpr char life_separator = '@';

} // namespace

worker_id make_worker_id(const std::string& name, incarnation life)
{
    if (life == incarnation{})
        return worker_id{name};
    return worker_id{name + life_separator + std::to_string(life.value())};
}

incarnation incarnation_of(const worker_id& worker)
{
    const auto& id = worker.value();
    const auto separator = id.rfind(life_separator);
    std::uint64_t life = 0;
    if (separator == std::string::npos)
        return incarnation{};
    const auto* end = id.data() + id.size();
    const auto read = std::from_chars(id.data() + separator + 1, end, life);
    return read.ec == std::errc{} && read.ptr == end ? incarnation{life} : incarnation{};
}

std::string name_of(const worker_id& worker)
{
    const auto& id = worker.value();
    return incarnation_of(worker) == incarnation{} ? id : id.substr(0, id.rfind(life_separator));
}

} // namespace galenaturn
