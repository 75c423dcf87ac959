#include "clustersimulation.h"

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
constexpr duration max_response_delay = seconds{1};
constexpr double message_loss_probability = 0.03;
constexpr double repeated_message_probability = 0.05;
constexpr double slow_message_probability = 0.03;

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

cluster_simulation::cluster_simulation(const simulation_options& options)
    : options_{options}, random_{options.seed}
{
    findings found;
    chart_ = load_task_chart(options.charts_folder, found);
    GN_INVARIANT(found.empty(), {"findings", found.text()});
    const auto skew = [this] {
        return 1 + clock_skew * std::uniform_real_distribution<>{-1, 1}(random_);
    };
    for (std::size_t number = 0; number < options.domains; ++number) {
        auto& control = *controls_.emplace_back(std::make_unique<control_process>());
        control.number = number;
        control.domain = failure_domain_id{"domain-" + std::to_string(number)};
        control.process = process_id{"control-" + std::to_string(number)};
        control.clock_rate = skew();
        control.steward.domain = control.domain;
        control.steward.chart = &chart_;
        for (std::size_t index = 0; index < options.workers_per_domain; ++index) {
            auto& site = *workers_.emplace_back(std::make_unique<worker_site>());
            site.control_index = number;
            site.clock_rate = skew();
            site.worker.id =
                worker_id{"worker-" + std::to_string(number) + "-" + std::to_string(index)};
            site.worker.domain = control.domain;
            site.worker.rack = rack_id{"rack-" + std::to_string(index % 2)};
            site.worker.capacity = {millicores{8000}, bytes{8000}, accelerator_count{1}};
        }
    }
    domain_partitioned_.resize(options.domains);
    add_tasks();
}

cluster_simulation::~cluster_simulation() = default;

void cluster_simulation::add_tasks()
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
        work_needed_[record.id] = record.task_class == work_class::watcher
                                      ? duration{}
                                      : random_span(seconds{2}, seconds{60});
        schedule_at(random_span({}, options_.fault_period), [this, record] {
            committed_.tasks[record.id] = record;
            for (auto& voter : controls_) {
                voter->state.tasks[record.id] = record;
                on_task_record(voter->assigner, record.id, &record, log_index{voter->applied},
                               local_time(voter->clock_rate));
            }
        });
    }
}

void cluster_simulation::schedule_at(duration when, action act)
{
    events_.emplace(when, std::move(act));
}

void cluster_simulation::every(duration interval, const action& act)
{
    schedule_at(now_ + interval, [this, interval, act] {
        act();
        every(interval, act);
    });
}

void cluster_simulation::send(action act)
{
    if (faults_enabled_ && chance(message_loss_probability))
        return;
    if (faults_enabled_ && chance(repeated_message_probability))
        schedule_at(now_ + random_span(milliseconds{1}, seconds{5}), act);
    const auto max_delay = faults_enabled_ && chance(slow_message_probability)
                               ? duration{seconds{4}}
                               : milliseconds{20};
    schedule_at(now_ + random_span(milliseconds{1}, max_delay), std::move(act));
}

time_point cluster_simulation::local_time(double clock_rate) const
{
    return clock_start +
           duration{static_cast<duration::rep>(static_cast<double>(now_.count()) * clock_rate)};
}

bool cluster_simulation::chance(double probability)
{
    return std::uniform_real_distribution<>{0, 1}(random_) < probability;
}

duration cluster_simulation::random_span(duration shortest, duration longest)
{
    return duration{
        std::uniform_int_distribution<duration::rep>{shortest.count(), longest.count()}(random_)};
}

bool cluster_simulation::connected(std::size_t from, std::size_t to) const
{
    return controls_[from]->up && controls_[to]->up &&
           (from == to || (!domain_partitioned_[from] && !domain_partitioned_[to]));
}

bool cluster_simulation::has_quorum(std::size_t number) const
{
    std::size_t reached = 0;
    for (std::size_t other = 0; other < controls_.size(); ++other)
        reached += connected(number, other) ? 1 : 0;
    return 2 * reached > controls_.size();
}

cluster_simulation::control_process* cluster_simulation::leader()
{
    if (!leads_ || !has_quorum(*leader_))
        return nullptr;
    return controls_[*leader_].get();
}

/**
 * A leader without a quorum stops leading at once. Another one starts after the longest leader
 * lease.
 */
void cluster_simulation::update_leader()
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
        begin_leading(next.assigner, local_time(next.clock_rate));
        return;
    }
}

/**
 * A command is executed by the process that leads when it arrives, even if its sender no longer
 * leads.
 */
void cluster_simulation::submit(std::size_t from, const wire::command& command, const action& done)
{
    send([this, from, command, done] {
        if (leader() == nullptr || !connected(from, *leader_))
            return;
        commit(command);
        if (done)
            send(done);
    });
}

void cluster_simulation::commit(const wire::command& command)
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

void cluster_simulation::catch_up(control_process& voter)
{
    while (voter.applied < log_.size()) {
        const auto change = apply(voter.state, log_index{voter.applied + 1}, log_[voter.applied]);
        ++voter.applied;
        apply_change(voter, change);
    }
}

void cluster_simulation::apply_change(control_process& voter, const ledger::applied_change& change)
{
    const auto now = local_time(voter.clock_rate);
    if (change.stewardships) {
        for (const auto& [domain, held] : voter.state.stewardships)
            on_stewardship(voter.assigner, domain, held.steward, held.number);
        follow_stewardship(voter);
    }
    for (const auto& id : change.tasks) {
        const auto& record = voter.state.tasks.at(id);
        on_task_record(voter.assigner, id, &record, log_index{voter.applied}, now);
        if (voter.up && voter.steward.stewardship != epoch{})
            on_task_record(voter.steward, id, &record, false, now);
    }
}

void cluster_simulation::follow_stewardship(control_process& voter)
{
    const auto& held = voter.state.stewardships[voter.domain];
    const bool active = voter.steward.stewardship != epoch{};
    if (active && held.number > voter.steward.stewardship)
        renumber_stewardship(voter.steward, held.number);
    if (active || held.number != voter.granted || voter.granted == epoch{})
        return;
    const auto now = local_time(voter.clock_rate);
    begin_stewardship(voter.steward, held.number, now);
    on_catalogue(voter.steward, catalogue_);
    for (const auto& [id, record] : voter.state.tasks)
        on_task_record(voter.steward, id, &record, true, now);
}

void cluster_simulation::tick_control(control_process& control)
{
    if (!control.up)
        return;
    if (leader_ && connected(control.number, *leader_) && leads_ && chance(0.5))
        catch_up(control);
    const auto now = local_time(control.clock_rate);
    on_tick(control.steward, now);
    respond_to_workers(control);
    if (!control.steward.pending_reports.empty() && chance(0.5)) {
        const auto items = next_reports(control.steward, 100);
        submit(control.number, wire::report_tasks{items},
               [&control, items, incarnation_number = control.incarnation_number] {
                   if (control.up && control.incarnation_number == incarnation_number)
                       on_reports_accepted(control.steward, items);
               });
    }
    if (leader() != &control)
        return;
    const auto moves = reassign_from_silent_domains(control.assigner, 100, now);
    if (!moves.items.empty()) {
        // Proposals may reach a later leader long after they were made.
        submit(control.number, moves, {});
        schedule_at(now_ + seconds{6},
                    [&control, moves] { on_proposal_failed(control.assigner, moves); });
    }
    const auto chosen = assign_pending(control.assigner, 100, now);
    if (!chosen.items.empty()) {
        commit(chosen);
        on_proposal_failed(control.assigner, chosen);
    }
}

void cluster_simulation::send_steward_heartbeat(control_process& control)
{
    if (!control.up)
        return;
    control.heartbeat = control.heartbeat.next();
    steward_heartbeat beat;
    beat.process = control.process;
    beat.domain = control.domain;
    beat.process_incarnation = control.incarnation_number;
    beat.number = control.heartbeat;
    beat.stewardship = control.steward.stewardship;
    beat.applied_index = log_index{control.applied};
    beat.load = current_load(control.steward);
    const auto sent = local_time(control.clock_rate);
    send([this, beat, from = control.number, sent] { respond_to_steward(beat, from, sent); });
}

void cluster_simulation::respond_to_steward(const steward_heartbeat& beat, std::size_t from,
                                            time_point sent)
{
    auto* leading = leader();
    if (leading == nullptr || !connected(from, leading->number))
        return;
    const auto decision =
        on_steward_heartbeat(leading->assigner, beat, local_time(leading->clock_rate));
    if (decision.grant)
        submit(leading->number, *decision.grant, {});
    if (!decision.response || decision.response->stewardship == epoch{})
        return;
    send([this, response = *decision.response, from, incarnation_number = beat.process_incarnation,
          sent] {
        auto& control = *controls_[from];
        if (!control.up || control.incarnation_number != incarnation_number ||
            domain_partitioned_[from])
            return;
        control.granted = std::max(control.granted, response.stewardship);
        follow_stewardship(control);
        if (control.steward.stewardship == response.stewardship)
            on_heartbeat_acknowledged(control.steward, sent);
    });
}

void cluster_simulation::receive_announcement(control_process& control,
                                              const wire::worker_announcement& announced)
{
    if (!control.up || control.steward.stewardship == epoch{})
        return;
    const auto now = local_time(control.clock_rate);
    if (on_announcement(control.steward, announced, now) == announcement_result::outdated)
        return;
    control.deferred_responses[announced.id] = {announced.heartbeat, now + max_response_delay};
    on_tick(control.steward, now);
    respond_to_workers(control);
}

void cluster_simulation::respond_to_workers(control_process& control)
{
    const auto now = local_time(control.clock_rate);
    for (auto deferred = control.deferred_responses.begin();
         deferred != control.deferred_responses.end();) {
        const auto worker = control.steward.workers.find(deferred->first);
        const bool due = worker != control.steward.workers.end() && worker->second.response_due &&
                         !has_unacknowledged_outcome(control.steward, deferred->first);
        if (worker != control.steward.workers.end() && !due && now < deferred->second.second) {
            ++deferred;
            continue;
        }
        if (worker != control.steward.workers.end()) {
            const auto response = make_worker_response(control.steward, deferred->first, now);
            const auto site = std::find_if(workers_.begin(), workers_.end(), [&](const auto& one) {
                return one->worker.id == deferred->first;
            });
            send([this, to = site->get(), response,
                  incarnation_number = (*site)->worker.worker_incarnation] {
                on_worker_response(*to, response, incarnation_number);
            });
        }
        deferred = control.deferred_responses.erase(deferred);
    }
}

simulation_counts cluster_simulation::run()
{
    for (auto& voter : controls_) {
        on_catalogue(voter->assigner, catalogue_);
        every(control_tick, [this, control = voter.get()] { tick_control(*control); });
        every(milliseconds{500},
              [this, control = voter.get()] { send_steward_heartbeat(*control); });
    }
    for (auto& site : workers_) {
        every(milliseconds{100}, [this, target = site.get()] { tick_worker(*target); });
        every(milliseconds{700}, [this, target = site.get()] { send_worker_heartbeat(*target); });
    }
    every(milliseconds{100}, [this] { update_leader(); });
    start_faults();
    const auto end = options_.fault_period + options_.recovery_period;
    while (now_ < end && counts_.finished < options_.tasks) {
        const auto next = events_.begin();
        now_ = next->first;
        const auto act = std::move(next->second);
        events_.erase(next);
        act();
        check_invariants();
    }
    GN_INVARIANT(counts_.finished == options_.tasks, {"seed", options_.seed},
                 {"finished", counts_.finished});
    return counts_;
}

} // namespace galenaturn::schedule
