#include "suspendabledeployment.h"

#include <csignal>
#include <thread>

namespace galenaturn::suspension {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds publish_limit{30};
constexpr seconds leader_limit{20};

} // namespace

suspendable_deployment::suspendable_deployment(const std::filesystem::path& programs,
                                               std::filesystem::path folder,
                                               const soak::deployment_sizes& sizes)
    : folder_{std::move(folder)}, suspensions_{folder_}, processes_{programs, folder_, sizes}
{
    std::filesystem::remove(processes_.journal());
}

bool suspendable_deployment::start(std::uint64_t seed)
{
    std::mt19937_64 random{seed};
    if (!suspensions_.is_ready() || !processes_.start(random))
        return false;
    callers_.life_of = [this](const std::string& name) { return processes_.life_of(name); };
    for (const auto* control : processes_.all_of(soak::process_kind::control))
        callers_.controls.push_back({control->name, control->address});
    return publish();
}

void suspendable_deployment::suspend(soak::soak_process& process)
{
    suspensions_.begin(process);
    processes_.signal(process, SIGSTOP);
}

void suspendable_deployment::resume(soak::soak_process& process, clocks_left_behind clocks)
{
    suspensions_.end(process, clocks);
    processes_.signal(process, SIGCONT);
}

void suspendable_deployment::restart(soak::soak_process& control, bool loses_disk)
{
    if (loses_disk)
        processes_.lose_disk(control);
    else
        processes_.signal(control, SIGKILL);
    processes_.start_member(control);
}

bool suspendable_deployment::publish()
{
    return soak::publish_next(callers_, monotonic_now() + publish_limit);
}

soak::soak_process* suspendable_deployment::await_leader()
{
    const auto limit = monotonic_now() + leader_limit;
    while (monotonic_now() < limit) {
        if (auto* found = processes_.leader())
            return found;
        std::this_thread::sleep_for(milliseconds{50});
    }
    return nullptr;
}

int suspendable_deployment::acknowledged_version() const
{
    int newest = 0;
    for (const auto& change : callers_.changes) {
        if (change.acknowledged != time_point::max())
            newest = std::max(newest, change.version);
    }
    return newest;
}

} // namespace galenaturn::suspension
