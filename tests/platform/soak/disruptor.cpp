#include "disruptor.h"

#include <algorithm>
#include <array>
#include <csignal>

namespace galenaturn::soak {

using std::chrono::milliseconds;

namespace {

/** How long a started control process may take until it has caught up. */
constexpr milliseconds catch_up{4000};
constexpr milliseconds stands_still{600};

} // namespace

disruptor::disruptor(deployment& target, std::uint64_t seed, bool suspends_vms, link_cutter cutter)
    : target_{target}, random_{seed}, suspends_vms_{suspends_vms}, cutter_{std::move(cutter)}
{
    after(milliseconds{between(0, 1000)}, [this] { disturb(); });
}

std::int64_t disruptor::between(std::int64_t least, std::int64_t most)
{
    return std::uniform_int_distribution<std::int64_t>{least, most}(random_);
}

void disruptor::after(milliseconds span, std::function<void()> action)
{
    actions_.emplace(monotonic_now() + span, std::move(action));
}

std::vector<std::string> disruptor::advance()
{
    while (!actions_.empty() && actions_.begin()->first <= monotonic_now()) {
        const auto action = std::move(actions_.begin()->second);
        actions_.erase(actions_.begin());
        action();
    }
    auto faults = target_.collect_ended();
    for (const auto kind : {process_kind::control, process_kind::entry, process_kind::worker}) {
        for (auto* process : target_.all_of(kind)) {
            if (process->pid == 0 && restarting_.insert(process->name).second)
                after(milliseconds{healed_ ? 0 : between(50, 1500)},
                      [this, process] { start_again(*process); });
        }
    }
    return faults;
}

worker_life disruptor::next_life(bool is_cut)
{
    constexpr std::int64_t slowest = 980;
    return {between(500, 500'000), static_cast<double>(between(slowest, 1000)) / 1000,
            between(0, 1) * between(0, 4000), is_cut};
}

void disruptor::start_again(soak_process& target)
{
    restarting_.erase(target.name);
    if (target.pid != 0)
        return;
    if (target.kind == process_kind::worker)
        target_.start_worker(target, next_life(cut_off_.contains(&target)));
    else
        target_.start_member(target);
    if (target.kind == process_kind::control)
        busy_[target.name] = monotonic_now() + catch_up;
    else if (target.kind == process_kind::entry)
        busy_[target.name] = monotonic_now() + milliseconds{between(0, 4000)};
}

bool disruptor::is_free(const soak_process& target) const
{
    const auto found = busy_.find(target.name);
    return target.pid != 0 && !target.stopping &&
           (found == busy_.end() || found->second <= monotonic_now());
}

std::vector<soak_process*> disruptor::free_members(process_kind kind)
{
    std::vector<soak_process*> found;
    for (auto* process : target_.all_of(kind)) {
        if (is_free(*process))
            found.push_back(process);
    }
    return found;
}

void disruptor::disturb()
{
    if (healed_)
        return;
    ++disturbed_;
    const auto fault = cutter_ ? between(0, 9) : -1;
    const bool suspends = suspends_vms_ && between(0, 2) > 0;
    const auto kind = suspends ? 0 : between(0, 9);
    milliseconds span{0};
    if (fault >= 0 && fault < 4)
        span = cut_links();
    else if (fault == 4)
        span = lose_disk();
    else if (suspends)
        span = suspend_vms();
    else if (kind < 4)
        disturb_member(process_kind::entry);
    else if (kind < 7)
        disturb_member(process_kind::control);
    else if (kind < 9)
        restart_workers_of_domain(static_cast<int>(between(0, deployment::domain_count - 1)));
    else
        disturb_member(process_kind::worker);
    // Before a disk is lost all stay sound.
    const bool overlaps = between(0, 2) == 0 && fault != 4;
    after(overlaps ? milliseconds{between(0, 300)} : span + milliseconds{between(500, 2500)},
          [this] { disturb(); });
}

/** The leader or others: one, two, all but one or all at once, two in a row; or an entry. */
milliseconds disruptor::suspend_vms()
{
    const auto all = target_.all_of(process_kind::control).size();
    const std::array<std::size_t, 8> counts{0, 1, 1, 1, 1, 2, all - 1, all};
    const auto pattern = static_cast<std::size_t>(between(0, counts.size() - 1));
    const milliseconds span{between(0, 1) == 0 ? between(500, 3000) : between(5000, 9000)};
    auto controls = free_members(process_kind::control);
    std::shuffle(controls.begin(), controls.end(), random_);
    if (between(0, 2) > 0)
        std::partition(controls.begin(), controls.end(),
                       [leader = target_.leader()](auto* each) { return each == leader; });
    const auto count = std::min(counts[pattern], controls.size());
    for (std::size_t index = 0; index < count; ++index)
        suspend(*controls[index], span + milliseconds{between(0, 1) * between(0, 1000)});
    const bool two_in_a_row = pattern == 1 && controls.size() > 1;
    if (two_in_a_row)
        after(span, [this, next = controls.back()] {
            if (is_free(*next))
                suspend(*next, milliseconds{between(500, 4000)});
        });
    auto entries = free_members(process_kind::entry);
    std::shuffle(entries.begin(), entries.end(), random_);
    if (!entries.empty() && (count == 0 || between(0, 2) == 0))
        suspend(*entries.front(), span);
    return span;
}

std::vector<soak_process*> disruptor::choose_controls(std::size_t count)
{
    auto controls = free_members(process_kind::control);
    std::shuffle(controls.begin(), controls.end(), random_);
    if (between(0, 2) > 0)
        std::partition(controls.begin(), controls.end(),
                       [leader = target_.leader()](auto* each) { return each == leader; });
    controls.resize(std::min(count, controls.size()));
    return controls;
}

void disruptor::set_links(const std::vector<soak_process*>& group, std::int64_t direction,
                          bool is_cut)
{
    constexpr std::int64_t only_incoming = 1;
    constexpr std::int64_t only_outgoing = 2;
    for (const auto* member : group) {
        for (const auto* other : target_.all_of(process_kind::control)) {
            if (std::find(group.begin(), group.end(), other) != group.end())
                continue;
            if (direction != only_incoming)
                cutter_(*member, *other, is_cut);
            if (direction != only_outgoing)
                cutter_(*other, *member, is_cut);
        }
    }
    target_.note_cut(group, is_cut);
}

std::chrono::milliseconds disruptor::cut_links()
{
    const auto all = target_.all_of(process_kind::control).size();
    const auto most = std::max<std::int64_t>(1, static_cast<std::int64_t>(all - 1) / 2);
    const auto group = choose_controls(static_cast<std::size_t>(between(1, most)));
    const milliseconds span{between(0, 1) == 0 ? between(300, 1500) : between(2000, 7000)};
    if (group.empty())
        return milliseconds{0};
    const auto direction = between(0, 2);
    for (auto* member : group)
        busy_[member->name] = time_point::max();
    set_links(group, direction, true);
    cuts_.emplace(++last_cut_, link_cut{group, direction});
    after(span, [this, number = last_cut_] { heal_cut(number); });
    return span;
}

void disruptor::heal_cut(std::uint64_t number)
{
    const auto cut = cuts_.extract(number);
    if (cut.empty())
        return;
    set_links(cut.mapped().group, cut.mapped().direction, false);
    for (auto* member : cut.mapped().group)
        busy_[member->name] = monotonic_now() + milliseconds{500};
}

std::chrono::milliseconds disruptor::lose_disk()
{
    // Longer than a voter takes to be replaced and to catch up.
    constexpr milliseconds sound_for{6000};
    const auto all_free = [this] {
        return free_members(process_kind::control).size() ==
               target_.all_of(process_kind::control).size();
    };
    if (!all_free())
        return milliseconds{0};
    after(sound_for, [this, all_free] {
        if (!all_free())
            return;
        auto* const member = choose_controls(1).front();
        busy_[member->name] = time_point::max();
        target_.lose_disk(*member);
    });
    return sound_for;
}

void disruptor::disturb_member(process_kind kind)
{
    const auto free = free_members(kind);
    const auto all = target_.all_of(kind).size();
    const auto least = kind == process_kind::control ? all / 2 + 1 : all > 1 ? 1 : 0;
    if (free.empty() || free.size() <= least)
        return;
    auto& member =
        *free[static_cast<std::size_t>(between(0, static_cast<std::int64_t>(free.size()) - 1))];
    const auto choice = between(0, 9);
    if (kind != process_kind::worker && choice < 4)
        return stop_and_restart(member, SIGTERM);
    if (choice < 6)
        return stop_and_restart(member, SIGKILL);
    if (kind != process_kind::worker && choice < 8)
        return target_.signal(member, SIGHUP);
    suspend(member, milliseconds{between(100, 4000)});
}

/** `advance` starts it again once it has ended. */
void disruptor::stop_and_restart(soak_process& member, int number)
{
    busy_[member.name] = time_point::max();
    target_.signal(member, number);
    if (member.kind == process_kind::worker)
        busy_[member.name] = monotonic_now() + milliseconds{3000};
}

void disruptor::suspend(soak_process& target, milliseconds span)
{
    busy_[target.name] = time_point::max();
    target_.signal(target, SIGSTOP);
    suspended_.insert(&target);
    after(span, [this, &target] {
        if (suspended_.erase(&target) == 0)
            return;
        if (suspends_vms_ && between(0, 9) == 0)
            return stop_and_restart(target, SIGKILL);
        target_.signal(target, SIGCONT);
        busy_[target.name] = monotonic_now() + milliseconds{500};
    });
}

void disruptor::cut(const std::vector<soak_process*>& workers, bool is_cut)
{
    for (auto* worker : workers) {
        target_.order(*worker, is_cut ? "cut" : "heal");
        if (is_cut)
            cut_off_.insert(worker);
        else
            cut_off_.erase(worker);
    }
}

/** The next lives begin at once under the old ids, and are cut off soon after or from the start. */
void disruptor::restart_workers_of_domain(int domain)
{
    std::vector<soak_process*> workers;
    for (auto* worker : free_members(process_kind::worker)) {
        if (worker->domain == domain)
            workers.push_back(worker);
    }
    const bool begins_cut = between(0, 2) == 0;
    const milliseconds cut_after{begins_cut ? 0 : between(300, 2400)};
    const milliseconds cut_for{between(0, 2) == 0 ? between(10'000, 13'000)
                                                  : between(7000, 11'000)};
    const auto kill_and_start = [this, workers, begins_cut] {
        for (auto* worker : workers) {
            standing_still_.erase(worker);
            if (begins_cut)
                cut_off_.insert(worker);
            target_.signal(*worker, SIGKILL);
            start_again(*worker);
        }
    };
    for (auto* worker : workers) {
        busy_[worker->name] = time_point::max();
        standing_still_.insert(worker);
        target_.order(*worker, "still");
    }
    after(stands_still, kill_and_start);
    if (!begins_cut)
        after(stands_still + cut_after, [this, workers] { cut(workers, true); });
    after(stands_still + cut_after + cut_for, [this, workers] {
        cut(workers, false);
        for (auto* worker : workers)
            busy_[worker->name] = monotonic_now() + milliseconds{1000};
    });
}

void disruptor::heal()
{
    healed_ = true;
    actions_.clear();
    restarting_.clear();
    for (auto* process : suspended_)
        target_.signal(*process, SIGCONT);
    while (!cuts_.empty())
        heal_cut(cuts_.begin()->first);
    cut({cut_off_.begin(), cut_off_.end()}, false);
    for (auto* worker : standing_still_) {
        target_.signal(*worker, SIGKILL);
        start_again(*worker);
    }
    suspended_.clear();
    standing_still_.clear();
}

} // namespace galenaturn::soak
