#include "vmsuspensions.h"

#include <arpa/inet.h>

#include <cstdlib>
#include <utility>

namespace galenaturn::suspension {

namespace {

suspension_table* make_table(const std::filesystem::path& folder)
{
    std::filesystem::create_directories(folder);
    const auto path = folder / "suspensions";
    setenv(table_variable, path.c_str(), 1);
    return map_table(path.c_str(), true);
}

std::size_t slot_of(const soak::socket_address& address)
{
    return ntohl(inet_addr(address.ip.c_str())) % suspension_table::slots;
}

std::size_t slot_of(int pid)
{
    return static_cast<std::size_t>(pid) % suspension_table::slots;
}

} // namespace

vm_suspensions::vm_suspensions(const std::filesystem::path& folder) : table_{make_table(folder)} {}

void vm_suspensions::begin(const soak::soak_process& process)
{
    table_->is_away[slot_of(process.address)] = true;
    suspended_at_[process.name] = monotonic_now();
}

void vm_suspensions::end(const soak::soak_process& process, clocks_left_behind clocks)
{
    const auto suspended = suspended_at_.extract(process.name);
    if (suspended.empty())
        return;
    const std::chrono::nanoseconds span{monotonic_now() - suspended.mapped()};
    const auto slot = slot_of(process.pid);
    if (clocks != clocks_left_behind::none)
        table_->steady_behind_ns[slot] += span.count();
    if (clocks == clocks_left_behind::steady_and_boot)
        table_->boot_behind_ns[slot] += span.count();
    table_->is_away[slot_of(process.address)] = false;
}

void vm_suspensions::set_time_of_day(const soak::soak_process& process, duration ahead)
{
    table_->time_of_day_ahead_ns[slot_of(process.pid)] = std::chrono::nanoseconds{ahead}.count();
}

void vm_suspensions::set_link(const soak::soak_process& from, const soak::soak_process& to,
                              bool is_cut)
{
    table_->is_cut[link_slot(ntohl(inet_addr(from.address.ip.c_str())))]
                  [link_slot(ntohl(inet_addr(to.address.ip.c_str())))] = is_cut;
}

soak::suspension_observer suspends_like_vms(std::shared_ptr<vm_suspensions> suspensions)
{
    constexpr int clock_goes_on_each = 4;
    return [suspensions = std::move(suspensions), ended = 0](const soak::soak_process& process,
                                                             bool is_suspended) mutable {
        if (is_suspended)
            return suspensions->begin(process);
        const bool goes_on = ++ended % clock_goes_on_each == 0;
        suspensions->end(process, goes_on ? clocks_left_behind::none : clocks_left_behind::steady);
    };
}

soak::link_cutter cuts_links(std::shared_ptr<vm_suspensions> suspensions)
{
    return [suspensions = std::move(suspensions)](const soak::soak_process& from,
                                                  const soak::soak_process& to, bool is_cut) {
        suspensions->set_link(from, to, is_cut);
    };
}

} // namespace galenaturn::suspension
