#pragma once

#include "deployment.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace galenaturn::soak {

/**
 * Disturbs a deployment in series and overlapping, as its seed tells. More than half of the control
 * processes and at least one entry are left alone. All work is done in `advance`, so that the
 * processes belong to the calling thread.
 */
class disruptor {
public:
    /**
     * With `suspends_vms` any number of control processes may be suspended at once. With `cutter`
     * links between control processes are cut, and their disks are lost one at a time.
     */
    disruptor(deployment& target, std::uint64_t seed, bool suspends_vms = false,
              link_cutter cutter = {});

    /** Does what is due. Returns what processes did against the rules. */
    std::vector<std::string> advance();
    /** Resumes, heals and starts again all that is disturbed, and disturbs nothing more. */
    void heal();
    [[nodiscard]] std::size_t count() const { return disturbed_; }

private:
    void disturb();
    void disturb_member(process_kind kind);
    /** Returns for how long. */
    std::chrono::milliseconds suspend_vms();
    /** Some control processes, the leader more often, are cut off from the others. */
    std::chrono::milliseconds cut_links();
    /** Loses a disk once all control processes have been sound for long enough. */
    std::chrono::milliseconds lose_disk();
    void heal_cut(std::uint64_t number);
    void set_links(const std::vector<soak_process*>& group, std::int64_t direction, bool is_cut);
    /** Returns up to `count` free control processes, more often with the leader. */
    std::vector<soak_process*> choose_controls(std::size_t count);
    void stop_and_restart(soak_process& member, int number);
    void suspend(soak_process& target, std::chrono::milliseconds span);
    void restart_workers_of_domain(int domain);
    void start_again(soak_process& target);
    void cut(const std::vector<soak_process*>& workers, bool is_cut);
    void after(std::chrono::milliseconds span, std::function<void()> action);
    [[nodiscard]] bool is_free(const soak_process& target) const;
    [[nodiscard]] std::vector<soak_process*> free_members(process_kind kind);
    std::int64_t between(std::int64_t least, std::int64_t most);
    worker_life next_life(bool is_cut);

    deployment& target_;
    std::mt19937_64 random_;
    bool suspends_vms_;
    link_cutter cutter_;
    std::multimap<time_point, std::function<void()>> actions_;
    /** Disturbed processes, with when each may be disturbed again. */
    std::map<std::string, time_point> busy_;
    struct link_cut {
        std::vector<soak_process*> group;
        std::int64_t direction{0};
    };
    std::map<std::uint64_t, link_cut> cuts_;
    std::uint64_t last_cut_{0};
    std::set<soak_process*> suspended_;
    std::set<soak_process*> standing_still_;
    std::set<soak_process*> cut_off_;
    std::set<std::string> restarting_;
    std::size_t disturbed_{0};
    bool healed_{false};
};

} // namespace galenaturn::soak
