#include "jobservice.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace galenaturn::controld {

namespace asio = boost::asio;

namespace {

using schedule::announcement_news;
using wire::command_status;
using wire::job_answer_status;

/**
 * Interval of the periodic check of leases and command time-outs; completions and replies trigger a
 * pass at once.
 */
constexpr duration tick_interval = std::chrono::milliseconds{100};
/**
 * Minimum pause between passes, so that events are handled in batches; far below any job objective.
 */
constexpr duration least_rest = std::chrono::milliseconds{10};
/**
 * A pass is followed by a pause of this multiple of its duration, so that passes take at most one
 * fifth of the time.
 */
constexpr int rest_factor = 4;
/**
 * Announcements are forwarded in batches at this interval. A worker that is leaving has to be known
 * to all processes well before its drain ends.
 */
constexpr duration share_interval = std::chrono::milliseconds{200};
/** A new leader uses announcements up to this age. */
constexpr duration announcement_ttl = std::chrono::seconds{10};
/**
 * Interval at which the tail model is shared; the model changes slowly, so a new leader misses
 * little.
 */
constexpr duration model_share_interval = std::chrono::seconds{2};
/** Interval of the capacity log event. */
constexpr duration room_log_interval = std::chrono::seconds{3};
/** Maximum time that a caller waits for the ledger. */
constexpr duration command_limit = std::chrono::milliseconds{1500};

} // namespace

job_service::job_service(daemon::context& shared, control_hub& hub, daemon::roster_service& roster,
                         std::unique_ptr<worker_orders> orders, queue_reader read)
    : shared_{shared}, hub_{hub}, roster_{roster}, orders_{std::move(orders)},
      read_queues_{std::move(read)}, counters_{shared.metrics}, tick_timer_{shared.io},
      pass_timer_{shared.io}, share_timer_{shared.io}, open_jobs_{shared.metrics.make_gauge(
                                                           "galenaturn_jobs_open")},
      known_workers_{shared.metrics.make_gauge("galenaturn_job_workers")},
      accept_latency_{shared.metrics.make_latency("galenaturn_job_accept_seconds")}
{
    for (const auto status : wire::all_job_answers)
        answers_[status] = &shared.metrics.make_counter("galenaturn_job_answers_total",
                                                        {{"status", wire::to_string(status)}});
    const std::string name = "galenaturn_task_runs_total";
    counters_.add(name, {{"event", "started"}}, counts_.starts);
    counters_.add(name, {{"event", "confirmed"}}, counts_.confirmed);
    counters_.add(name, {{"event", "refused"}}, counts_.refused);
    counters_.add(name, {{"event", "unanswered"}}, counts_.unanswered);
    counters_.add(name, {{"event", "stopped"}}, counts_.stops);
    counters_.add(name, {{"event", "succeeded"}}, counts_.succeeded);
    counters_.add(name, {{"event", "failed"}}, counts_.failed);
    counters_.add(name, {{"event", "lapsed"}}, counts_.lapsed);
    counters_.add(name, {{"event", "adopted"}}, counts_.adopted);
    counters_.add(name, {{"event", "stray"}}, counts_.strays);
    counters_.add(name, {{"event", "relieved"}}, counts_.relieved);
    counters_.add(name, {{"event", "paced"}}, counts_.paced);
    hub_.applied.emplace_back([this](const auto& change) { take_change(change); });
    hub_.leadership.emplace_back([this](bool leads) {
        if (!leads)
            end_term("leadership_lost");
    });
    roster_.own_view_of_leader = [this] { return hub_.leader(); };
    shared_.frames.on(wire::frame_kind::worker_beats,
                      [this](const wire::hello& /*from*/, const wire::frame& received,
                             const wire::reply_function& /*reply*/) {
                          const auto told = wire::decode<wire::worker_beats>(received.payload);
                          if (!told)
                              return log_event(log_level::warning, "worker_beats_malformed", {});
                          for (const auto& beat : told.value().beats) {
                              if (note(beat))
                                  bring_in(beat);
                          }
                      });
    shared_.frames.on(wire::frame_kind::tail_model,
                      [this](const wire::hello& from, const wire::frame& received,
                             const wire::reply_function& /*reply*/) {
                          auto model = wire::decode<schedule::tail_model>(received.payload);
                          if (!model)
                              return log_event(log_level::warning, "tail_model_malformed",
                                               {{"process", from.process}});
                          if (!serving_)
                              last_model_ = std::move(model).value();
                      });
    shared_.frames.on(
        wire::frame_kind::job_request,
        [this](const wire::hello& /*from*/, wire::frame received, wire::reply_function reply) {
            auto request = wire::decode<wire::job_request>(received.payload);
            if (!request)
                return log_event(log_level::warning, "job_request_malformed", {});
            asio::co_spawn(
                shared_.io, answer(std::move(request).value()),
                [reply = std::move(reply)](const std::exception_ptr& failed, const auto& given) {
                    if (failed)
                        return log_event(log_level::error, "job_request_failed", {});
                    reply(wire::encode(given));
                });
        });
}

result<void> job_service::start()
{
    tick_later();
    return success();
}

// Terms.

void job_service::watch_leadership()
{
    const bool leads = hub_.leads();
    if (leads && !serving_)
        begin_term();
}

void job_service::begin_term()
{
    const auto& state = hub_.state();
    ++session_;
    serving_ = true;
    token_ = hub_.current_term();
    lines_.clear();
    const auto now = monotonic_now();
    scheduler_ =
        schedule::take_over(state.jobs, state.workers, shared_.settings.jobs, now, wall_now());
    scheduler_.tails = last_model_;
    log_event(log_level::info, "term_begun",
              {{"token", token_},
               {"open_jobs", scheduler_.jobs.size()},
               {"workers", scheduler_.workers.size()}});
    for (const auto& [id, record] : state.workers)
        open_line(id);
    for (const auto& [id, known] : announcements_) {
        if (now - known.heard < announcement_ttl)
            bring_in(known.beat);
    }
}

void job_service::end_term(const char* cause)
{
    if (!serving_)
        return;
    ++session_;
    serving_ = false;
    log_event(log_level::info, "term_ended", {{"token", token_}, {"cause", cause}});
    lines_.clear();
    scheduler_ = {};
}

bool job_service::in_term(std::uint64_t session) const
{
    return serving_ && session == session_;
}

void job_service::take_change(const ledger::applied_change& change)
{
    const auto& state = hub_.state();
    // A snapshot replaces the whole state, including the queues.
    if (state.queues.version != queues_.version) {
        queues_ = read_queues_(state.queues.document);
        queues_.version = state.queues.version;
        log_event(log_level::info, "queues_in_force",
                  {{"version", queues_.version}, {"queues", queues_.queues.size()}});
    }
    if (!serving_)
        return asio::post(shared_.io, [this] { watch_leadership(); });
    const auto now = monotonic_now();
    for (const auto& id : change.jobs) {
        const auto job = state.jobs.find(id);
        if (job != state.jobs.end())
            schedule::take_record(scheduler_, job->second, now);
    }
    if (change.workers) {
        for (const auto& [id, record] : state.workers) {
            schedule::admit_worker(scheduler_, id);
            open_line(id);
        }
    }
    if (!change.jobs.empty())
        wake();
}

// Announcements.

bool job_service::note(const wire::worker_beat& beat)
{
    const auto news = schedule::note_announcement(announcements_, beat, monotonic_now());
    if (news == announcement_news::first)
        log_event(log_level::info, "worker_announced",
                  {{"worker", beat.worker.id},
                   {"address", beat.worker.address},
                   {"failure_domain", beat.worker.domain},
                   {"sequence", beat.sequence}});
    if (news == announcement_news::leaving)
        log_event(log_level::info, "worker_leaving",
                  {{"worker", beat.worker.id}, {"left", beat.left}, {"sequence", beat.sequence}});
    return news != announcement_news::late;
}

void job_service::hear(const wire::worker_beat& beat)
{
    if (!note(beat))
        return;
    bring_in(beat);
    share(beat);
}

void job_service::share(const wire::worker_beat& beat)
{
    to_share_.push_back(beat);
    if (beat.leaving || beat.left)
        return send_shared();
    if (!sharing_)
        share_later();
}

void job_service::share_later()
{
    sharing_ = true;
    share_timer_.expires_after(share_interval);
    share_timer_.async_wait([this](const boost::system::error_code& error) {
        sharing_ = false;
        if (!error)
            send_shared();
    });
}

void job_service::send_shared()
{
    const wire::worker_beats told{std::exchange(to_share_, {})};
    if (told.beats.empty())
        return;
    tell_controls(wire::frame_kind::worker_beats, wire::encode(told));
}

void job_service::tell_controls(wire::frame_kind kind, const std::string& payload)
{
    for (const auto& [process, known] : roster_.known().controls) {
        if (auto* link = shared_.peers.find(process))
            link->send(kind, payload);
    }
}

void job_service::bring_in(const wire::worker_beat& beat)
{
    if (!serving_)
        return;
    const auto& id = beat.worker.id;
    const auto& noted = hub_.state().workers;
    if (beat.left) {
        if (noted.contains(id))
            retire(id, "left");
        return;
    }
    schedule::hear_worker(scheduler_, beat);
    if (!noted.contains(id))
        note_in_ledger({beat.worker}, {});
}

void job_service::note_in_ledger(std::vector<wire::worker_record> admitted,
                                 std::vector<worker_id> retired)
{
    asio::co_spawn(shared_.io, keep_note(this, {std::move(admitted), std::move(retired)}, session_),
                   asio::detached);
}

asio::awaitable<void> job_service::keep_note(job_service* self, wire::note_workers note,
                                             std::uint64_t session)
{
    if (!self->in_term(session))
        co_return;
    wire::command body{std::move(note)};
    const auto outcome =
        co_await self->hub_.submit(std::move(body), monotonic_now() + command_limit);
    // The next announcement of the worker retries.
    if (outcome.status != command_status::accepted)
        log_event(log_level::warning, "worker_not_noted",
                  {{"status", wire::to_string(outcome.status)}, {"reason", outcome.reason}});
}

// Passes.

void job_service::wake()
{
    if (std::exchange(pass_due_, true))
        return;
    pass_timer_.expires_at(std::max(next_pass_, monotonic_now()));
    pass_timer_.async_wait([this](const boost::system::error_code& error) {
        pass_due_ = false;
        if (!error)
            pass();
    });
}

void job_service::rest_after_pass(time_point began)
{
    const auto ended = monotonic_now();
    next_pass_ = ended + std::max(least_rest, (ended - began) * rest_factor);
}

template <class Order>
void job_service::hand_out(const std::vector<Order>& orders, std::deque<Order> worker_line::*queue)
{
    for (const auto& order : orders) {
        const auto line = lines_.find(order.worker);
        if (line == lines_.end())
            continue;
        (line->second.*queue).push_back(order);
        send_orders(order.worker);
    }
}

void job_service::pass()
{
    if (!serving_ || !hub_.leads())
        return;
    const auto now = monotonic_now();
    schedule::expire_leases(scheduler_, now);
    schedule::leave_workers(scheduler_, now);
    hand_out(schedule::plan_stops(scheduler_, now), &worker_line::stops);
    hand_out(schedule::plan_paces(scheduler_, now), &worker_line::paces);
    for (auto& order : schedule::plan_starts(scheduler_, now, wall_now())) {
        const auto worker = order.worker;
        lines_[worker].starts.push_back(std::move(order));
        send_orders(worker);
    }
    rest_after_pass(now);
}

void job_service::tick_later()
{
    tick_timer_.expires_after(tick_interval);
    tick_timer_.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        watch_leadership();
        pass();
        log_room();
        schedule::forget_silent_workers(announcements_, monotonic_now());
        share_model();
        counts_ = scheduler_.counts;
        counters_.update();
        open_jobs_.set(static_cast<double>(scheduler_.jobs.size()));
        known_workers_.set(static_cast<double>(scheduler_.workers.size()));
        tick_later();
    });
}

void job_service::share_model()
{
    const auto now = monotonic_now();
    if (!serving_ || now < next_model_share_)
        return;
    next_model_share_ = now + model_share_interval;
    last_model_ = scheduler_.tails;
    tell_controls(wire::frame_kind::tail_model, wire::encode(last_model_));
}

void job_service::log_room()
{
    const auto now = monotonic_now();
    if (!serving_ || now < next_room_log_)
        return;
    next_room_log_ = now + room_log_interval;
    const auto room = schedule::summarize(scheduler_);
    log_event(log_level::info, "room",
              {{"token", token_},
               {"open_jobs", room.open_jobs},
               {"waiting_tasks", room.waiting_tasks},
               {"workers", scheduler_.workers.size()},
               {"serving_workers", room.serving_workers},
               {"mixed_workers", room.mixed_workers},
               {"reserved", room.reserved},
               {"filled_beside_serving", room.filled_beside_serving},
               {"filled_elsewhere", room.filled_elsewhere},
               {"relieved", scheduler_.counts.relieved},
               {"paced", scheduler_.counts.paced},
               {"trials", scheduler_.counts.trials}});
}

// Callers.

asio::awaitable<wire::job_answer> job_service::answer(wire::job_request request)
{
    const auto arrived = monotonic_now();
    const auto text = request.request;
    const auto verb = request.verb;
    const auto job = request.job;
    wire::job_answer given;
    const auto* queue = find_queue(queues_, request.host, request.path);
    // The table may be replaced while the ledger request is pending.
    const auto queue_name = queue == nullptr ? std::string{} : queue->name;
    if (!serving_ || !hub_.leads())
        given = wire::unavailable_answer("this process does not lead");
    else if (queues_.version == 0)
        given = wire::unavailable_answer("no queues were published yet");
    else if (queue == nullptr)
        given.status = job_answer_status::unknown_queue;
    else if (verb == wire::job_verb::submit)
        given = co_await submit(std::move(request), *queue);
    else if (verb == wire::job_verb::cancel)
        given = co_await cancel(std::move(request));
    else if (verb == wire::job_verb::show)
        given = show(request);
    else {
        given.status = job_answer_status::ok;
        given.waiting = schedule::jobs_waiting(scheduler_, queue_name);
    }
    answers_[given.status]->add();
    const auto took = monotonic_now() - arrived;
    if (verb == wire::job_verb::submit)
        accept_latency_.record(took);
    if (verb == wire::job_verb::submit || given.status != job_answer_status::ok)
        log_event(log_level::info, "job_answered",
                  {{"request", text},
                   {"verb", wire::to_string(verb)},
                   {"job", job},
                   {"queue", queue_name},
                   {"status", wire::to_string(given.status)},
                   {"queues_version", queues_.version},
                   {"token", token_},
                   {"reason", given.reason},
                   {"took_us", took.count()}});
    co_return given;
}

asio::awaitable<wire::job_answer> job_service::submit(wire::job_request request,
                                                      wire::queue_settings queue)
{
    wire::job_answer given;
    given.status = job_answer_status::ok;
    if (hub_.state().jobs.contains(request.job))
        co_return given;
    wire::submit_job body;
    body.id = request.job;
    body.queue = std::move(queue);
    body.spec = std::move(request.spec);
    body.submitted = wall_now();
    wire::command command{std::move(body)};
    const auto outcome = co_await hub_.submit(std::move(command), monotonic_now() + command_limit);
    const auto status = outcome.status;
    given.reason = outcome.reason;
    if (status == command_status::accepted || status == command_status::duplicate)
        co_return given;
    if (status == command_status::rejected)
        given.status = job_answer_status::rejected;
    else if (status == command_status::unknown)
        given.status = job_answer_status::unknown;
    else
        given = wire::unavailable_answer(outcome.reason);
    co_return given;
}

asio::awaitable<wire::job_answer> job_service::cancel(wire::job_request request)
{
    wire::job_answer given;
    const auto known = hub_.state().jobs.find(request.job);
    if (known == hub_.state().jobs.end()) {
        given.status = job_answer_status::unknown_job;
        co_return given;
    }
    given.status = job_answer_status::ok;
    if (known->second.phase != wire::job_phase::open)
        co_return given;
    wire::cancel_job cancelled;
    cancelled.id = request.job;
    cancelled.now = wall_now();
    wire::command body{std::move(cancelled)};
    const auto outcome = co_await hub_.submit(std::move(body), monotonic_now() + command_limit);
    const auto status = outcome.status;
    if (status == command_status::unknown)
        given.status = job_answer_status::unknown;
    else if (status != command_status::accepted && status != command_status::duplicate)
        given = wire::unavailable_answer(outcome.reason);
    co_return given;
}

wire::job_answer job_service::show(const wire::job_request& request) const
{
    wire::job_answer given;
    const auto known = hub_.state().jobs.find(request.job);
    if (known == hub_.state().jobs.end()) {
        given.status = job_answer_status::unknown_job;
        return given;
    }
    given.status = job_answer_status::ok;
    given.phase = known->second.phase;
    given.started = schedule::has_started(scheduler_, request.job);
    return given;
}

} // namespace galenaturn::controld
