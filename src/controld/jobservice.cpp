#include "jobservice.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace galenaturn::controld {

namespace asio = boost::asio;

namespace {

using wire::command_status;

/**
 * Interval of the periodic check of leases and command timeouts; completions and replies request a
 * pass at once.
 */
constexpr duration tick_interval = std::chrono::milliseconds{100};
/**
 * Interval at which the tail model is shared; the model changes slowly, so a new leader misses
 * little.
 */
constexpr duration tail_model_share_interval = std::chrono::seconds{2};
/** Interval of the capacity log event. */
constexpr duration capacity_log_interval = std::chrono::seconds{3};

} // namespace

job_service::job_service(daemon::context& shared, control_hub& hub, daemon::roster_service& roster,
                         std::unique_ptr<worker_commands> commands, queue_reader read_queues)
    : shared_{shared}, hub_{hub}, roster_{roster}, commands_{std::move(commands)},
      read_queues_{std::move(read_queues)}, counters_{shared.metrics}, tick_timer_{shared.io},
      slice_timer_{shared.io}, share_timer_{shared.io}, open_jobs_{shared.metrics.make_gauge(
                                                            "galenaturn_jobs_open")},
      known_workers_{shared.metrics.make_gauge("galenaturn_job_workers")},
      queues_version_{shared.metrics.make_gauge("galenaturn_queues_version")},
      queues_since_{shared.metrics.make_gauge("galenaturn_queues_in_force_since_seconds")},
      submissions_cancelled_before_{shared.metrics.make_counter(
          "galenaturn_job_requests_refused_total", {{"reason", "cancelled_before"}})},
      unknown_cancels_refused_{shared.metrics.make_counter("galenaturn_job_requests_refused_total",
                                                           {{"reason", "cancel_limit"}})},
      accept_latency_{shared.metrics.make_latency("galenaturn_job_accept_seconds")},
      record_latency_{shared.metrics.make_latency("galenaturn_job_record_seconds")},
      pass_latency_{shared.metrics.make_latency("galenaturn_job_pass_seconds")},
      slice_latency_{shared.metrics.make_latency("galenaturn_job_slice_seconds")},
      pass_interval_{shared.metrics.make_latency("galenaturn_job_pass_interval_seconds")},
      stop_delay_{shared.metrics.make_latency("galenaturn_job_stop_delay_seconds")},
      tick_delay_{shared.metrics.make_latency("galenaturn_job_tick_delay_seconds")}
{
    for (const auto status : wire::all_job_responses)
        response_counters_[status] = &shared.metrics.make_counter(
            "galenaturn_job_answers_total", {{"status", wire::to_string(status)}});
    const std::string name = "galenaturn_task_runs_total";
    counters_.add(name, {{"event", "planned"}}, counts_.planned);
    counters_.add(name, {{"event", "started"}}, counts_.starts);
    counters_.add(name, {{"event", "confirmed"}}, counts_.confirmed);
    counters_.add(name, {{"event", "refused"}}, counts_.refused);
    counters_.add(name, {{"event", "unanswered"}}, counts_.unanswered);
    counters_.add(name, {{"event", "stopped"}}, counts_.stops);
    counters_.add(name, {{"event", "succeeded"}}, counts_.succeeded);
    counters_.add(name, {{"event", "failed"}}, counts_.failed);
    counters_.add(name, {{"event", "lapsed"}}, counts_.expired);
    counters_.add(name, {{"event", "in_doubt"}}, counts_.in_doubt);
    counters_.add(name, {{"event", "lost"}}, counts_.lost);
    counters_.add(name, {{"event", "unlisted"}}, counts_.unlisted);
    counters_.add("galenaturn_worker_reports_incomplete_total", {}, counts_.incomplete_reports);
    counters_.add(name, {{"event", "adopted"}}, counts_.adopted);
    counters_.add(name, {{"event", "stray"}}, counts_.orphans);
    counters_.add(name, {{"event", "relieved"}}, counts_.stopped_for_tail);
    counters_.add(name, {{"event", "paced"}}, counts_.pace_changes);
    counters_.add(name, {{"event", "started_slowed"}}, counts_.slowed_starts);
    counters_.add_reasons<schedule::drop_reason>("galenaturn_starts_dropped_total",
                                                 counts_.dropped);
    counters_.add("galenaturn_worker_crashes_total", {}, counts_.worker_crashes);
    counters_.add("galenaturn_crash_suspects_total", {}, counts_.crash_suspects);
    counters_.add("galenaturn_job_passes_total", {}, counts_.passes);
    counters_.add("galenaturn_job_slices_total", {}, counts_.slices);
    counters_.add("galenaturn_placement_candidates_total", {}, counts_.candidates);
    hub_.applied.emplace_back([this](const auto& change) { on_applied_change(change); });
    hub_.leadership.emplace_back([this](bool leads) {
        if (!leads)
            end_term("leadership_lost");
    });
    roster_.find_local_leader = [this] { return hub_.leader(); };
    hub_.reported_leader = [this] { return roster_.reported_leader(); };
    shared_.frames.on(wire::frame_kind::worker_presences,
                      [this](const wire::hello& /*from*/, const wire::frame& received,
                             const wire::reply_function& /*reply*/) {
                          const auto batch = wire::decode<wire::worker_presences>(received.payload);
                          if (!batch)
                              return log_event(log_level::warning, "worker_beats_malformed", {});
                          for (const auto& presence : batch.value().presences) {
                              if (accept_announcement(presence))
                                  apply_announcement(presence);
                          }
                      });
    shared_.frames.on(wire::frame_kind::tail_model,
                      [this](const wire::hello& from, const wire::frame& received,
                             const wire::reply_function& /*reply*/) {
                          auto model = wire::decode<schedule::tail_model>(received.payload);
                          if (!model)
                              return log_event(log_level::warning, "tail_model_malformed",
                                               {{"process", from.process}});
                          if (!term_active_)
                              last_model_ = std::move(model).value();
                      });
    shared_.frames.on(
        wire::frame_kind::job_request,
        [this](const wire::hello& /*from*/, wire::frame received, wire::reply_function reply) {
            auto request = wire::decode<wire::job_request>(received.payload);
            if (!request)
                return log_event(log_level::warning, "job_request_malformed", {});
            asio::co_spawn(
                shared_.io, handle_request(std::move(request).value()),
                [reply = std::move(reply)](const std::exception_ptr& error, const auto& response) {
                    if (error)
                        return log_event(log_level::error, "job_request_failed", {});
                    reply(wire::encode(response));
                });
        });
}

result<void> job_service::start()
{
    schedule_tick();
    return success();
}

// Terms of leadership.

void job_service::begin_term_if_leading()
{
    const bool leads = hub_.leads();
    if (leads && !term_active_)
        begin_term();
}

void job_service::begin_term()
{
    const auto& state = hub_.state();
    ++generation_;
    term_active_ = true;
    token_ = hub_.current_term();
    connections_.clear();
    held_workers_.clear();
    const auto now = monotonic_now();
    term_began_at_ = now;
    timing_ = {};
    timing_.last_pass = now;
    scheduler_ =
        schedule::take_over(state.jobs, state.workers, shared_.settings.jobs, now, wall_now());
    scheduler_.interference = last_model_;
    load_ = {};
    log_event(log_level::info, "term_begun",
              {{"token", token_},
               {"open_jobs", scheduler_.jobs.size()},
               {"workers", scheduler_.workers.size()}});
    for (const auto& [id, record] : state.workers)
        open_connection(id);
    for (const auto& [id, announced] : announcements_) {
        const bool is_current = now - announced.last_seen < max_announcement_age;
        if (!announced.over && (is_current || announced.presence.left))
            apply_announcement(announced.presence);
    }
}

void job_service::end_term(const char* cause)
{
    if (!term_active_)
        return;
    ++generation_;
    term_active_ = false;
    log_event(log_level::info, "term_ended", {{"token", token_}, {"cause", cause}});
    connections_.clear();
    held_workers_.clear();
    scheduler_ = {};
}

bool job_service::in_term(std::uint64_t generation) const
{
    return term_active_ && generation == generation_;
}

void job_service::on_applied_change(const ledger::applied_change& change)
{
    const auto& state = hub_.state();
    // A snapshot replaces the whole state, including the queues.
    if (state.queues.version != queues_.version) {
        const auto previous = queues_.version;
        queues_ = read_queues_(state.queues.document);
        queues_.version = state.queues.version;
        queues_version_.set(static_cast<double>(queues_.version));
        queues_since_.set(std::chrono::duration<double>{wall_now().time_since_epoch()}.count());
        log_event(log_level::info, "queues_in_force",
                  {{"version", queues_.version},
                   {"previous", previous},
                   {"queues", queues_.queues.size()},
                   {"index", change.index},
                   {"leader", hub_.leader()},
                   {"term", hub_.current_term()}});
    }
    if (!term_active_)
        return asio::post(shared_.io, [this] { begin_term_if_leading(); });
    const auto now = monotonic_now();
    for (const auto& id : change.jobs) {
        const auto job = state.jobs.find(id);
        if (job == state.jobs.end())
            continue;
        log_end(job->second, now);
        schedule::on_job_record(scheduler_, job->second, now);
    }
    if (change.workers) {
        for (const auto& [id, record] : state.workers) {
            schedule::admit_worker(scheduler_, id);
            open_connection(id);
        }
        // A silent worker may announce itself again while its retirement is being recorded.
        auto withdrawn = schedule::withdraw_admissions(scheduler_, state.workers);
        if (!withdrawn.empty())
            update_ledger_workers(std::move(withdrawn), {});
    }
    if (change.jobs.empty())
        return;
    // The ledger may still be applying further changes.
    schedule_due_commands();
    schedule_pass();
}

// Scheduling passes.

void job_service::schedule_pass()
{
    timing_.wanted = true;
    schedule_slice();
}

void job_service::schedule_slice()
{
    const auto due = schedule::next_slice_at(scheduler_, timing_);
    if (!due || (slice_due_ && *slice_due_ <= *due))
        return;
    slice_due_ = due;
    slice_timer_.expires_at(std::max(*due, monotonic_now()));
    slice_timer_.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        slice_due_.reset();
        run_slice();
    });
}

void job_service::record_slice(time_point began, bool ends_pass)
{
    const auto ended = monotonic_now();
    const auto elapsed = ended - began;
    schedule::record_slice_time(timing_, began, ended);
    slice_latency_.record(elapsed);
    load_.passing += elapsed;
    load_.longest_slice = std::max(load_.longest_slice, elapsed);
    if (!ends_pass)
        return;
    const auto pass = schedule::record_pass_end(timing_, ended);
    pass_latency_.record(pass.time);
    load_.longest_pass = std::max(load_.longest_pass, pass.time);
    pass_interval_.record(pass.interval);
    load_.longest_interval = std::max(load_.longest_interval, pass.interval);
}

void job_service::log_begun_jobs()
{
    for (const auto& job : std::exchange(scheduler_.begun_jobs, {}))
        log_event(log_level::info, "job_started",
                  {{"job", job.id}, {"queue", job.queue}, {"waited_us", job.waited.count()}});
}

void job_service::log_end(const wire::job_record& record, time_point now) const
{
    const auto job = scheduler_.jobs.find(record.id);
    if (record.phase == wire::job_phase::open || job == scheduler_.jobs.end() || job->second.ending)
        return;
    log_event(log_level::info, "job_ended",
              {{"job", record.id},
               {"queue", job->second.queue.name},
               {"phase", wire::to_string(record.phase)},
               {"took_us", (now - job->second.arrived).count()},
               {"after_target_us", (now - job->second.target_completion).count()},
               {"work_core_s", job->second.work}});
}

/** Adds the command, in place of an earlier one for the same run. */
template <class Command>
void add_or_replace(std::deque<Command>& queue, const Command& command)
{
    const auto earlier = std::find_if(queue.begin(), queue.end(), [&](const auto& waiting) {
        return waiting.task == command.task && waiting.run == command.run;
    });
    if (earlier == queue.end())
        queue.push_back(command);
    else
        *earlier = command;
}

template <class Command>
void job_service::queue_commands(const std::vector<Command>& commands,
                                 std::deque<Command> worker_connection::*queue)
{
    for (const auto& command : commands) {
        const auto connection = connections_.find(command.worker);
        if (connection == connections_.end())
            continue;
        add_or_replace(connection->second.*queue, command);
        send_commands(command.worker);
    }
}

void job_service::queue_start(schedule::start_command command)
{
    const auto worker = command.worker;
    connections_[worker].starts.push_back(std::move(command));
    send_commands(worker);
}

asio::awaitable<void> job_service::start_suspect(job_service* self, schedule::start_command command,
                                                 std::uint64_t generation)
{
    wire::command body{wire::record_suspect_start{command.task, command.run, command.worker}};
    const auto outcome =
        co_await self->hub_.submit(std::move(body), monotonic_now() + ledger_command_timeout);
    if (!self->in_term(generation))
        co_return;
    if (outcome.status == command_status::accepted && self->connections_.contains(command.worker)) {
        self->queue_start(std::move(command));
        co_return;
    }
    self->drop_start(command, schedule::drop_reason::not_recorded);
}

void job_service::run_slice()
{
    if (!term_active_ || !hub_.leads())
        return;
    const auto began = monotonic_now();
    log_begun_jobs();
    auto slice = schedule::run_slice(scheduler_, timing_, began, wall_now());
    for (auto& command : slice.starts) {
        if (command.suspect)
            asio::co_spawn(shared_.io, start_suspect(this, std::move(command), generation_),
                           asio::detached);
        else
            queue_start(std::move(command));
    }
    send_due_commands();
    record_slice(began, slice.ends_pass);
    schedule_slice();
}

void job_service::send_due_commands()
{
    if (!term_active_ || !hub_.leads())
        return;
    send_held_commands();
    const auto now = monotonic_now();
    log_expired_leases(schedule::expire_leases(scheduler_, now), now);
    queue_commands(schedule::plan_stops(scheduler_, now), &worker_connection::stops);
    queue_commands(schedule::plan_paces(scheduler_, now), &worker_connection::paces);
}

void job_service::log_expired_leases(const std::vector<schedule::expired_lease>& leases,
                                     time_point now) const
{
    for (const auto& lease : leases) {
        const auto& worker = scheduler_.workers.at(lease.worker);
        log_event(log_level::info, "lease_expired",
                  {{"worker", lease.worker},
                   {"token", token_},
                   {"ended", lease.ended},
                   {"in_doubt", lease.in_doubt.size()},
                   {"silent_us", (now - worker.last_reply_at).count()}});
        for (const auto& [task, run] : lease.in_doubt)
            log_event(log_level::info, "start_in_doubt",
                      {{"task", task}, {"run", run}, {"worker", lease.worker}, {"token", token_}});
    }
}

void job_service::schedule_due_commands()
{
    if (std::exchange(due_commands_posted_, true))
        return;
    asio::post(shared_.io, [this] {
        due_commands_posted_ = false;
        send_due_commands();
    });
}

void job_service::schedule_tick()
{
    tick_due_ = monotonic_now() + tick_interval;
    tick_timer_.expires_at(tick_due_);
    tick_timer_.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        const auto delay = monotonic_now() - tick_due_;
        tick_delay_.record(delay);
        load_.longest_tick_delay = std::max(load_.longest_tick_delay, delay);
        begin_term_if_leading();
        send_due_commands();
        retire_ended_departures();
        retire_silent_workers();
        repeat_retirements();
        schedule_pass();
        log_capacity();
        schedule::forget_silent_workers(announcements_, monotonic_now());
        share_tail_model();
        counts_ = scheduler_.counts;
        counters_.update();
        open_jobs_.set(static_cast<double>(scheduler_.jobs.size()));
        known_workers_.set(static_cast<double>(scheduler_.workers.size()));
        schedule_tick();
    });
}

void job_service::share_tail_model()
{
    const auto now = monotonic_now();
    if (!term_active_ || now < next_model_share_)
        return;
    next_model_share_ = now + tail_model_share_interval;
    last_model_ = scheduler_.interference;
    send_to_controls(wire::frame_kind::tail_model, wire::encode(last_model_));
}

void job_service::log_capacity()
{
    const auto now = monotonic_now();
    if (!term_active_ || now < next_capacity_log_)
        return;
    next_capacity_log_ = now + capacity_log_interval;
    const auto capacity = schedule::summarize_capacity(scheduler_);
    log_event(log_level::info, "room",
              {{"token", token_},
               {"open_jobs", capacity.open_jobs},
               {"waiting_tasks", capacity.waiting_tasks},
               {"waiting_long_running", capacity.waiting_long_running},
               {"waiting_reserved", capacity.waiting_reserved},
               {"workers", scheduler_.workers.size()},
               {"serving_workers", capacity.serving_workers},
               {"mixed_workers", capacity.mixed_workers},
               {"reserved", capacity.reserved},
               {"filled_beside_serving", capacity.best_effort_beside_serving},
               {"filled_elsewhere", capacity.best_effort_elsewhere},
               {"relieved", scheduler_.counts.stopped_for_tail},
               {"relieved_in_trials", scheduler_.counts.stopped_in_trial},
               {"trials_running", scheduler_.trials.running},
               {"trial_harm", scheduler_.trials.harm},
               {"pairs_known",
                scheduler_.interference.known.tolerant + scheduler_.interference.known.interfering},
               {"pairs_interfering", scheduler_.interference.known.interfering},
               {"paced", scheduler_.counts.pace_changes},
               {"trials", scheduler_.counts.trials},
               {"slowed_starts", scheduler_.counts.slowed_starts}});
    log_load();
}

void job_service::log_load()
{
    const auto& counts = scheduler_.counts;
    log_event(log_level::info, "leader_load",
              {{"token", token_},
               {"passes", counts.passes - load_.passes},
               {"slices", counts.slices - load_.slices},
               {"candidates", counts.candidates - load_.candidates},
               {"passing_us", load_.passing.count()},
               {"longest_pass_us", load_.longest_pass.count()},
               {"longest_slice_us", load_.longest_slice.count()},
               {"longest_interval_us", load_.longest_interval.count()},
               {"longest_stop_delay_us", load_.longest_stop_delay.count()},
               {"longest_accept_us", load_.longest_accept.count()},
               {"longest_record_us", load_.longest_record.count()},
               {"longest_tick_delay_us", load_.longest_tick_delay.count()}});
    load_ = {};
    load_.passes = counts.passes;
    load_.slices = counts.slices;
    load_.candidates = counts.candidates;
}

} // namespace galenaturn::controld
