#include "virtualworld.h"

#include <algorithm>
#include <utility>

namespace galenaturn::schedule {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point clock_start{std::chrono::hours{100}};
/**
 * Maximum deviation of a clock's rate. Two clocks differ by less than the clock margin of the
 * leases.
 */
constexpr double clock_skew = 0.0045;
constexpr duration control_tick = milliseconds{100};
constexpr duration answer_hold = seconds{1};
constexpr double loss = 0.03;
constexpr double repeat = 0.05;
constexpr double slow = 0.03;

ledger::applied_change apply(ledger::ledger_state& state, log_index index,
                             const wire::command& command)
{
    wire::command_request request;
    request.id = request_id{std::to_string(index.value())};
    request.body = command;
    ledger::applied_change change;
    ledger::apply_command(state, request, index, change);
    return change;
}

} // namespace

virtual_world::virtual_world(const world_options& options)
    : options_{options}, random_{options.seed}
{
    findings found;
    chart_ = load_task_chart(options.charts_folder, found);
    GN_INVARIANT(found.empty(), {"findings", found.text()});
    const auto skew = [this] {
        return 1 + clock_skew * std::uniform_real_distribution<>{-1, 1}(random_);
    };
    for (std::size_t number = 0; number < options.domains; ++number) {
        auto& at = *controls_.emplace_back(std::make_unique<control>());
        at.number = number;
        at.domain = failure_domain_id{"domain-" + std::to_string(number)};
        at.process = process_id{"control-" + std::to_string(number)};
        at.clock_rate = skew();
        at.steward.domain = at.domain;
        at.steward.chart = &chart_;
        for (std::size_t index = 0; index < options.workers_a_domain; ++index) {
            auto& site = *workers_.emplace_back(std::make_unique<worker_site>());
            site.home = number;
            site.clock_rate = skew();
            site.worker.id =
                worker_id{"worker-" + std::to_string(number) + "-" + std::to_string(index)};
            site.worker.domain = at.domain;
            site.worker.rack = rack_id{"rack-" + std::to_string(index % 2)};
            site.worker.capacity = {millicores{8000}, bytes{8000}, accelerator_count{1}};
        }
    }
    domain_cut_.resize(options.domains);
    add_tasks();
}

virtual_world::~virtual_world() = default;

void virtual_world::add_tasks()
{
    for (const auto* name : {"large", "small"}) {
        const owner_id id{name};
        catalogue_.owners[id] = {
            id, 1, {millicores{60'000}, bytes{60'000}, accelerator_count{9}}, 0, 0};
    }
    for (std::size_t number = 0; number < options_.tasks; ++number) {
        wire::task_record record;
        record.id = task_id{"task-" + std::to_string(number)};
        record.job = job_id{"job-" + std::to_string(number % 7)};
        record.owner = owner_id{number % 3 == 0 ? "small" : "large"};
        record.task_class = number % 5 == 0 ? work_class::watcher : work_class::batch;
        record.urgent = number % 11 == 0;
        record.demand = {millicores{500 + 500 * static_cast<int>(random_() % 8)},
                         bytes{100 + static_cast<int>(random_() % 2000)},
                         accelerator_count{number % 13 == 0 ? 1 : 0}};
        record.hold = seconds{10 + static_cast<int>(random_() % 40)};
        needs_[record.id] = record.task_class == work_class::watcher
                                ? duration{}
                                : random_span(seconds{2}, seconds{60});
        schedule_at(random_span({}, options_.faulty), [this, record] {
            committed_.tasks[record.id] = record;
            for (auto& voter : controls_) {
                voter->state.tasks[record.id] = record;
                on_record(voter->assigner, record.id, &record, log_index{voter->applied},
                          local(voter->clock_rate));
            }
        });
    }
}

void virtual_world::schedule_at(duration when, action act)
{
    events_.emplace(when, std::move(act));
}

void virtual_world::every(duration interval, const action& act)
{
    schedule_at(now_ + interval, [this, interval, act] {
        act();
        every(interval, act);
    });
}

void virtual_world::send(action act)
{
    if (faulty_ && chance(loss))
        return;
    if (faulty_ && chance(repeat))
        schedule_at(now_ + random_span(milliseconds{1}, seconds{5}), act);
    const auto longest = faulty_ && chance(slow) ? duration{seconds{4}} : milliseconds{20};
    schedule_at(now_ + random_span(milliseconds{1}, longest), std::move(act));
}

time_point virtual_world::local(double clock_rate) const
{
    return clock_start +
           duration{static_cast<duration::rep>(static_cast<double>(now_.count()) * clock_rate)};
}

bool virtual_world::chance(double probability)
{
    return std::uniform_real_distribution<>{0, 1}(random_) < probability;
}

duration virtual_world::random_span(duration least, duration most)
{
    return duration{
        std::uniform_int_distribution<duration::rep>{least.count(), most.count()}(random_)};
}

bool virtual_world::connected(std::size_t from, std::size_t to) const
{
    return controls_[from]->up && controls_[to]->up &&
           (from == to || (!domain_cut_[from] && !domain_cut_[to]));
}

bool virtual_world::has_quorum(std::size_t number) const
{
    std::size_t reached = 0;
    for (std::size_t other = 0; other < controls_.size(); ++other)
        reached += connected(number, other) ? 1 : 0;
    return 2 * reached > controls_.size();
}

virtual_world::control* virtual_world::leader()
{
    if (!leads_ || !has_quorum(*leader_))
        return nullptr;
    return controls_[*leader_].get();
}

/**
 * A leader without a quorum stops leading at once. Another one starts after the longest leader
 * lease.
 */
void virtual_world::watch_leader()
{
    if (leads_ && !has_quorum(*leader_)) {
        leads_ = false;
        leader_lost_ = now_;
        end_leading(controls_[*leader_]->assigner);
    }
    if (leads_ || (leader_ && now_ < leader_lost_ + seconds{2}))
        return;
    const auto first = random_() % controls_.size();
    for (std::size_t step = 0; step < controls_.size(); ++step) {
        const auto candidate = (first + step) % controls_.size();
        if (!has_quorum(candidate))
            continue;
        auto& next = *controls_[candidate];
        leader_ = candidate;
        leads_ = true;
        ++counts_.leaders;
        catch_up(next);
        begin_leading(next.assigner, local(next.clock_rate));
        return;
    }
}

/**
 * A command is executed by the process that leads when it arrives, even if its sender no longer
 * leads.
 */
void virtual_world::submit(std::size_t from, const wire::command& command, const action& done)
{
    send([this, from, command, done] {
        if (leader() == nullptr || !connected(from, *leader_))
            return;
        commit(command);
        if (done)
            send(done);
    });
}

void virtual_world::commit(const wire::command& command)
{
    apply(committed_, log_index{log_.size() + 1}, command);
    log_.push_back(command);
    if (const auto* assign = std::get_if<wire::assign_tasks>(&command)) {
        for (const auto& item : assign->items) {
            const auto& task = committed_.tasks.at(item.id);
            assigned_progress_[{item.id, task.assignment}] = checkpoint_progress(task.checkpoint);
            counts_.moves += item.from_stewardship == epoch{} ? 0 : 1;
        }
        check_quotas();
    }
    catch_up(*controls_[*leader_]);
}

void virtual_world::catch_up(control& voter)
{
    while (voter.applied < log_.size()) {
        const auto change = apply(voter.state, log_index{voter.applied + 1}, log_[voter.applied]);
        ++voter.applied;
        take_change(voter, change);
    }
}

void virtual_world::take_change(control& voter, const ledger::applied_change& change)
{
    const auto now = local(voter.clock_rate);
    if (change.stewardships) {
        for (const auto& [domain, held] : voter.state.stewardships)
            on_stewardship(voter.assigner, domain, held.steward, held.number);
        take_stewardship(voter);
    }
    for (const auto& id : change.tasks) {
        const auto& record = voter.state.tasks.at(id);
        on_record(voter.assigner, id, &record, log_index{voter.applied}, now);
        if (voter.up && voter.steward.stewardship != epoch{})
            on_record(voter.steward, id, &record, false, now);
    }
}

void virtual_world::take_stewardship(control& voter)
{
    const auto& held = voter.state.stewardships[voter.domain];
    const bool active = voter.steward.stewardship != epoch{};
    if (active && held.number > voter.steward.stewardship)
        renumber_stewardship(voter.steward, held.number);
    if (active || held.number != voter.granted || voter.granted == epoch{})
        return;
    const auto now = local(voter.clock_rate);
    begin_stewardship(voter.steward, held.number, now);
    on_catalogue(voter.steward, catalogue_);
    for (const auto& [id, record] : voter.state.tasks)
        on_record(voter.steward, id, &record, true, now);
}

void virtual_world::tick_control(control& at)
{
    if (!at.up)
        return;
    if (leader_ && connected(at.number, *leader_) && leads_ && chance(0.5))
        catch_up(at);
    const auto now = local(at.clock_rate);
    on_tick(at.steward, now);
    answer_workers(at);
    if (!at.steward.reports.empty() && chance(0.5)) {
        const auto items = due_reports(at.steward, 100);
        submit(at.number, wire::report_tasks{items}, [&at, items, life = at.life] {
            if (at.up && at.life == life)
                on_reports_accepted(at.steward, items);
        });
    }
    if (leader() != &at)
        return;
    const auto moves = reclaim_silent(at.assigner, 100, now);
    if (!moves.items.empty()) {
        // Proposals may reach a later leader long after they were made.
        submit(at.number, moves, {});
        schedule_at(now_ + seconds{6}, [&at, moves] { on_proposal_failed(at.assigner, moves); });
    }
    const auto chosen = assign_pending(at.assigner, 100, now);
    if (!chosen.items.empty()) {
        commit(chosen);
        on_proposal_failed(at.assigner, chosen);
    }
}

void virtual_world::send_steward_heartbeat(control& at)
{
    if (!at.up)
        return;
    at.heartbeat = at.heartbeat.next();
    steward_heartbeat beat;
    beat.process = at.process;
    beat.domain = at.domain;
    beat.life = at.life;
    beat.number = at.heartbeat;
    beat.stewardship = at.steward.stewardship;
    beat.applied = log_index{at.applied};
    beat.load = current_load(at.steward);
    const auto sent = local(at.clock_rate);
    send([this, beat, from = at.number, sent] { answer_steward(beat, from, sent); });
}

void virtual_world::answer_steward(const steward_heartbeat& beat, std::size_t from, time_point sent)
{
    auto* leading = leader();
    if (leading == nullptr || !connected(from, leading->number))
        return;
    const auto decision = on_steward_heartbeat(leading->assigner, beat, local(leading->clock_rate));
    if (decision.grant)
        submit(leading->number, *decision.grant, {});
    if (!decision.answer || decision.answer->stewardship == epoch{})
        return;
    send([this, answer = *decision.answer, from, life = beat.life, sent] {
        auto& at = *controls_[from];
        if (!at.up || at.life != life || domain_cut_[from])
            return;
        at.granted = std::max(at.granted, answer.stewardship);
        take_stewardship(at);
        if (at.steward.stewardship == answer.stewardship)
            on_heartbeat_acknowledged(at.steward, sent);
    });
}

void virtual_world::take_announcement(control& at, const wire::worker_announcement& announced)
{
    if (!at.up || at.steward.stewardship == epoch{})
        return;
    const auto now = local(at.clock_rate);
    if (on_announcement(at.steward, announced, now) == announcement_result::late)
        return;
    at.held[announced.id] = {announced.heartbeat, now + answer_hold};
    on_tick(at.steward, now);
    answer_workers(at);
}

void virtual_world::answer_workers(control& at)
{
    const auto now = local(at.clock_rate);
    for (auto held = at.held.begin(); held != at.held.end();) {
        const auto worker = at.steward.workers.find(held->first);
        const bool due = worker != at.steward.workers.end() && worker->second.due &&
                         !awaits_ledger(at.steward, held->first);
        if (worker != at.steward.workers.end() && !due && now < held->second.second) {
            ++held;
            continue;
        }
        if (worker != at.steward.workers.end()) {
            const auto answer = answer_worker(at.steward, held->first, now);
            const auto site = std::find_if(workers_.begin(), workers_.end(), [&](const auto& one) {
                return one->worker.id == held->first;
            });
            send([this, to = site->get(), answer, life = (*site)->worker.life] {
                take_answer(*to, answer, life);
            });
        }
        held = at.held.erase(held);
    }
}

world_counts virtual_world::run()
{
    for (auto& voter : controls_) {
        on_catalogue(voter->assigner, catalogue_);
        every(control_tick, [this, at = voter.get()] { tick_control(*at); });
        every(milliseconds{500}, [this, at = voter.get()] { send_steward_heartbeat(*at); });
    }
    for (auto& site : workers_) {
        every(milliseconds{100}, [this, at = site.get()] { tick_worker(*at); });
        every(milliseconds{700}, [this, at = site.get()] { send_worker_heartbeat(*at); });
    }
    every(milliseconds{100}, [this] { watch_leader(); });
    start_faults();
    const auto end = options_.faulty + options_.healing;
    while (now_ < end && counts_.finished < options_.tasks) {
        const auto next = events_.begin();
        now_ = next->first;
        const auto act = std::move(next->second);
        events_.erase(next);
        act();
        check_promises();
    }
    GN_INVARIANT(counts_.finished == options_.tasks, {"seed", options_.seed},
                 {"finished", counts_.finished});
    return counts_;
}

} // namespace galenaturn::schedule
