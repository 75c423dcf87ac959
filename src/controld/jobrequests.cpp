#include "jobservice.h"

namespace galenaturn::controld {

namespace asio = boost::asio;

using wire::command_status;
using wire::job_response_status;

namespace {

/**
 * Returns whether a later leader may have accepted changes after which the answer would be another.
 * The end of a job is final, and submissions and cancellations are committed.
 */
bool may_be_outdated(wire::job_verb verb, const wire::job_response& response)
{
    if (verb == wire::job_verb::count && response.status == job_response_status::ok)
        return true;
    if (verb == wire::job_verb::show && response.status == job_response_status::ok)
        return response.phase == wire::job_phase::open;
    return response.status == job_response_status::unknown_queue ||
           response.status == job_response_status::unknown_job;
}

} // namespace

asio::awaitable<wire::job_response> job_service::handle_request(wire::job_request request)
{
    const auto arrived = monotonic_now();
    const auto request_id = request.request;
    const auto verb = request.verb;
    const auto job = request.job;
    const auto host = request.host;
    const auto path = request.path;
    // All of these may have changed once the ledger has answered.
    const auto version = queues_.version;
    const auto decided_in = hub_.current_term();
    const bool leads = term_active_ && hub_.leads();
    wire::job_response response;
    const auto* queue = find_queue(queues_, request.host, request.path);
    // The table may be replaced while the ledger request is pending.
    const auto queue_name = queue == nullptr ? std::string{} : queue->name;
    if (!leads)
        response = wire::unavailable_response("this process does not lead");
    else if (queues_.version == 0)
        response = wire::unavailable_response("no queues were published yet");
    else if (queue == nullptr)
        response.status = job_response_status::unknown_queue;
    else if (verb == wire::job_verb::submit)
        response = co_await submit(std::move(request), *queue);
    else if (verb == wire::job_verb::cancel)
        response = co_await cancel(std::move(request), queue_name);
    else if (verb == wire::job_verb::show)
        response = show(request);
    else {
        response.status = job_response_status::ok;
        response.waiting = schedule::jobs_waiting(scheduler_, queue_name);
        log_count(queue_name, response.waiting);
    }
    const bool confirmed = !may_be_outdated(verb, response) ||
                           co_await hub_.confirm_leadership(arrived + ledger_command_timeout);
    if (!confirmed)
        response = wire::unavailable_response("no quorum confirms that this process leads");
    if (leads && confirmed) {
        response.queues_version = version;
        response.queues_term = decided_in;
    }
    response_counters_[response.status]->add();
    const auto elapsed = monotonic_now() - arrived;
    if (verb == wire::job_verb::submit) {
        accept_latency_.record(elapsed);
        load_.longest_accept = std::max(load_.longest_accept, elapsed);
    }
    if (verb == wire::job_verb::submit || response.status != job_response_status::ok)
        log_event(log_level::info, "job_answered",
                  {{"request", request_id},
                   {"verb", wire::to_string(verb)},
                   {"job", job},
                   {"host", host},
                   {"path", path},
                   {"queue", queue_name},
                   {"status", wire::to_string(response.status)},
                   {"queues_version", version},
                   {"token", decided_in},
                   {"reason", response.reason},
                   {"took_us", elapsed.count()}});
    co_return response;
}

asio::awaitable<wire::job_response> job_service::submit(wire::job_request request,
                                                        wire::queue_settings queue)
{
    wire::job_response response;
    response.status = job_response_status::ok;
    if (hub_.state().jobs.contains(request.job))
        co_return response;
    if (hub_.state().cancelled_submissions.contains(request.job))
        co_return refuse_cancelled("the job was cancelled before");
    wire::submit_job body;
    body.id = request.job;
    body.queue = std::move(queue);
    body.spec = std::move(request.spec);
    body.submitted = wall_now();
    wire::command command{std::move(body)};
    const auto outcome =
        co_await hub_.submit(std::move(command), monotonic_now() + ledger_command_timeout);
    const auto status = outcome.status;
    response.reason = outcome.reason;
    if (status == command_status::accepted || status == command_status::duplicate)
        co_return response;
    if (status == command_status::conflict)
        co_return refuse_cancelled(outcome.reason);
    if (status == command_status::rejected)
        response.status = job_response_status::rejected;
    else if (status == command_status::unknown)
        response.status = job_response_status::unknown;
    else
        response = wire::unavailable_response(outcome.reason);
    co_return response;
}

asio::awaitable<wire::job_response> job_service::cancel(wire::job_request request,
                                                        std::string queue)
{
    wire::job_response response;
    const auto& state = hub_.state();
    const auto found = state.jobs.find(request.job);
    const bool known = found != state.jobs.end();
    response.status = known ? job_response_status::ok : job_response_status::unknown_job;
    if (known ? found->second.phase != wire::job_phase::open
              : state.cancelled_submissions.contains(request.job))
        co_return response;
    if (!known && !ledger::may_cancel_unknown_job(unknown_cancels_, state, queue))
        co_return refuse_unknown_cancel("too many unknown jobs of the queue were cancelled");
    // A job that is not known may be submitted by a request that is still on the way.
    wire::cancel_job cancelled;
    cancelled.id = request.job;
    const auto recorded_at = ledger::record_time(state, wall_now());
    cancelled.now = recorded_at;
    wire::command body{std::move(cancelled)};
    const auto outcome =
        co_await hub_.submit(std::move(body), monotonic_now() + ledger_command_timeout);
    const auto status = outcome.status;
    if (status == command_status::rejected)
        ledger::note_unknown_cancel(unknown_cancels_, queue, recorded_at);
    if (status == command_status::accepted || status == command_status::duplicate)
        response.status = job_response_status::ok;
    else if (status == command_status::rejected)
        response.status = job_response_status::unknown_job;
    else if (status == command_status::unknown)
        response.status = job_response_status::unknown;
    else
        response = wire::unavailable_response(outcome.reason);
    co_return response;
}

wire::job_response job_service::refuse_cancelled(std::string reason)
{
    submissions_cancelled_before_.add();
    auto response = wire::unavailable_response(std::move(reason));
    // An early repetition is refused again.
    response.retry_after = {};
    return response;
}

wire::job_response job_service::refuse_unknown_cancel(std::string reason)
{
    unknown_cancels_refused_.add();
    return wire::unavailable_response(std::move(reason));
}

void job_service::log_count(const std::string& queue, std::uint64_t waiting) const
{
    const auto now = monotonic_now();
    const auto summary = schedule::summarize_queue(scheduler_, queue, now);
    log_event(log_level::info, "jobs_counted",
              {{"queue", queue},
               {"waiting", waiting},
               {"open", summary.open},
               {"begun", summary.begun},
               {"unconfirmed", summary.unconfirmed},
               {"ending", summary.ending},
               {"longest_wait_us", summary.longest_wait.count()},
               {"queues_version", queues_.version},
               {"token", token_},
               {"term_age_us", (now - term_began_at_).count()}});
}

wire::job_response job_service::show(const wire::job_request& request) const
{
    wire::job_response response;
    const auto found = hub_.state().jobs.find(request.job);
    if (found == hub_.state().jobs.end()) {
        response.status = job_response_status::unknown_job;
        return response;
    }
    response.status = job_response_status::ok;
    response.phase = found->second.phase;
    response.started = schedule::has_started(scheduler_, request.job);
    return response;
}

} // namespace galenaturn::controld
