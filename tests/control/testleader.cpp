#include "testleader.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace galenaturn::controld {

namespace asio = boost::asio;

namespace {

/** A worker replies to a poll after this time; none of its runs ends by itself. */
constexpr duration poll_span = std::chrono::milliseconds{300};

process_settings leader_settings(job_settings jobs)
{
    process_settings settings;
    settings.self.id = process_id{"control-a"};
    settings.self.role = process_role::control;
    settings.self.domain = failure_domain_id{"hall-a"};
    settings.members = {settings.self};
    settings.charts_folder = GALENATURN_SOURCE_DIR "/charts";
    settings.jobs = jobs;
    return settings;
}

job_settings default_job_settings()
{
    job_settings settings;
    settings.lease = std::chrono::seconds{5};
    settings.lease_limit = std::chrono::seconds{10};
    return settings;
}

queue_table only_queue()
{
    queue_table table;
    auto& queue = table.queues.emplace_back();
    queue.name = "desk";
    queue.host = "jobs.test";
    queue.path_prefix = "/desk/";
    queue.service = service_id{"desk"};
    return table;
}

wire::record_workers make_fleet(std::size_t workers)
{
    wire::record_workers fleet;
    for (std::size_t number = 0; number < workers; ++number) {
        auto& worker = fleet.admitted.emplace_back();
        worker.id = worker_id{"w" + std::to_string(number)};
        worker.service = service_id{"desk"};
        worker.address = {"127.0.0.1", 1};
        worker.capacity = {millicores{64'000}, bytes{std::int64_t{256} << 30}, {}};
    }
    return fleet;
}

} // namespace

class test_leader::workers_in_process : public worker_commands {
public:
    explicit workers_in_process(test_leader& leader) : leader_{leader} {}

    asio::awaitable<command_reply> start(worker_target worker, schedule::start_command command,
                                         command_header /*header*/) override
    {
        leader_.starts_.push_back(command);
        leader_.runs_[worker.id][command.task] = command.run;
        co_await released(leader_.start_replies_held_);
        co_return accepted();
    }

    asio::awaitable<command_reply> stop(worker_target worker, schedule::stop_command command,
                                        command_header /*header*/) override
    {
        // A pass that sends the command has ended before it arrives.
        co_await asio::post(leader_.shared_.io, asio::use_awaitable);
        leader_.stops_.push_back({command, leader_.passes()});
        leader_.runs_[worker.id].erase(command.task);
        co_await released(leader_.stop_replies_held_);
        co_return accepted();
    }

    asio::awaitable<command_reply> pace(worker_target /*worker*/,
                                        schedule::pace_command /*command*/,
                                        command_header /*header*/) override
    {
        co_return accepted();
    }

    asio::awaitable<poll_reply> poll(worker_target worker, std::uint64_t acknowledged_completions,
                                     std::chrono::milliseconds wait, command_header header) override
    {
        auto& ended = leader_.ended_[worker.id];
        std::erase_if(ended,
                      [&](const auto& run) { return run.number <= acknowledged_completions; });
        if (worker.id == leader_.ended_on_) {
            ++leader_.polls_since_end_;
            leader_.leases_since_end_ += header.lease_until ? 1 : 0;
            leader_.acknowledged_ = acknowledged_completions;
        }
        // The reply is delayed until a run has ended.
        const bool replies_at_once = wait.count() == 0 || !ended.empty();
        wire::boot_timer timer{leader_.shared_.io, replies_at_once ? duration{} : poll_span};
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        poll_reply polled;
        polled.reply = accepted();
        const auto& all = leader_.ended_[worker.id];
        const auto listed = std::min(all.size(), leader_.max_listed_ends_);
        polled.report.ended.assign(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(listed));
        polled.report.complete = listed < leader_.max_listed_ends_;
        for (const auto& [task, run] : leader_.runs_[worker.id])
            polled.report.running.push_back({task, run, "", 50, 0});
        co_return polled;
    }

private:
    asio::awaitable<void> released(const bool& held)
    {
        while (held) {
            wire::boot_timer timer{leader_.shared_.io, std::chrono::milliseconds{1}};
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }

    static command_reply accepted()
    {
        command_reply reply;
        reply.result = schedule::command_result::accepted;
        reply.clock = std::chrono::duration_cast<std::chrono::milliseconds>(
            monotonic_now().time_since_epoch());
        return reply;
    }

    test_leader& leader_;
};

test_leader::test_leader(std::size_t workers)
    : test_leader{default_job_settings(), make_fleet(workers), [this](asio::io_context& /*io*/) {
                      return std::make_unique<workers_in_process>(*this);
                  }}
{
}

test_leader::test_leader(job_settings settings, wire::record_workers fleet,
                         const worker_factory& make_workers)
    : shared_{leader_settings(settings)}, roster_{shared_}
{
    hub_.state = [this]() -> const ledger::ledger_state& { return state_; };
    hub_.leads = [this] { return leads_; };
    hub_.lease_left = [] { return std::chrono::milliseconds{900}; };
    hub_.confirm_leadership = [this](time_point /*deadline*/) -> asio::awaitable<bool> {
        ++confirmations_;
        co_return quorum_confirms_;
    };
    hub_.current_term = [this] { return term{term_}; };
    hub_.leader = [] { return process_id{"control-a"}; };
    hub_.submit = [this](wire::command command,
                         time_point) -> asio::awaitable<wire::command_response> {
        const bool records_completions = std::holds_alternative<wire::record_completions>(command);
        while (records_completions && completions_stalled_) {
            wire::boot_timer timer{shared_.io, std::chrono::milliseconds{10}};
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        co_await wait_for_turn(++commands_received_);
        const bool refused = std::holds_alternative<wire::record_workers>(command) &&
                             std::exchange(refuses_workers_, false);
        auto response = refused ? wire::command_response{} : apply(std::move(command));
        ++commands_applied_;
        co_return response;
    };
    apply(std::move(fleet));
    service_ = std::make_unique<job_service>(shared_, hub_, roster_, make_workers(shared_.io),
                                             [](const std::string&) { return only_queue(); });
    GN_INVARIANT(service_->start().has_value(), {"workers", state_.workers.size()});
}

test_leader::~test_leader() = default;

void test_leader::begin_next_term()
{
    for (const auto& listener : hub_.leadership)
        listener(false);
    ++term_;
}

void test_leader::announce(const wire::worker_record& worker)
{
    wire::worker_presence presence;
    presence.worker = worker;
    presence.sequence = ++announcements_;
    service_->on_announcement(presence);
}

void test_leader::announce_end(const worker_id& worker)
{
    wire::worker_presence presence;
    presence.worker.id = worker;
    presence.left = true;
    service_->on_announcement(presence);
}

void test_leader::submit(const std::string& name, bool long_running)
{
    wire::job_step step;
    step.demand.processors = millicores{1000};
    step.long_running = long_running;
    submit_step(name, std::move(step));
}

void test_leader::submit_tasks(const std::string& name, std::uint32_t count, millicores each)
{
    wire::job_step step;
    step.count = count;
    step.demand.processors = each;
    submit_step(name, std::move(step));
}

void test_leader::submit_step(const std::string& name, wire::job_step step)
{
    wire::submit_job body;
    body.id = submission_id{name};
    body.queue.name = "desk";
    body.queue.service = service_id{"desk"};
    body.submitted = wall_now();
    body.spec.steps.push_back(std::move(step));
    apply(std::move(body));
}

void test_leader::cancel(const std::string& name)
{
    apply(wire::cancel_job{submission_id{name}, wall_now()});
}

wire::job_response test_leader::count_jobs()
{
    std::optional<wire::job_response> answer;
    wire::job_request request;
    request.verb = wire::job_verb::count;
    asio::co_spawn(shared_.io, service_->handle_request(std::move(request)),
                   [&](const std::exception_ptr& /*error*/, wire::job_response response) {
                       answer = std::move(response);
                   });
    run_until([&] { return answer.has_value(); });
    return answer.value_or(wire::job_response{});
}

std::shared_ptr<std::optional<wire::job_response>> test_leader::request(wire::job_verb verb,
                                                                        const std::string& name)
{
    wire::job_request request;
    request.verb = verb;
    request.host = "jobs.test";
    request.path = "/desk/" + name;
    request.job = submission_id{name};
    auto& step = request.spec.steps.emplace_back();
    step.demand.processors = millicores{1000};
    step.long_running = true;
    auto answer = std::make_shared<std::optional<wire::job_response>>();
    asio::co_spawn(shared_.io, service_->handle_request(std::move(request)),
                   [answer](const std::exception_ptr& /*error*/, wire::job_response response) {
                       *answer = std::move(response);
                   });
    return answer;
}

std::uint64_t test_leader::refused(const std::string& reason)
{
    return shared_.metrics
        .make_counter("galenaturn_job_requests_refused_total", {{"reason", reason}})
        .value();
}

asio::awaitable<void> test_leader::wait_for_turn(std::uint64_t turn)
{
    while (commands_held_ || turn != commands_applied_ + 1) {
        wire::boot_timer timer{shared_.io, std::chrono::milliseconds{1}};
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

void test_leader::end_a_run()
{
    const auto busy = std::find_if(runs_.begin(), runs_.end(),
                                   [](const auto& worker) { return !worker.second.empty(); });
    const auto run = busy->second.begin();
    ended_[busy->first].push_back(
        {++last_completion_, run->first, run->second, schedule::run_outcome::succeeded, ""});
    busy->second.erase(run);
    ended_on_ = busy->first;
    leases_since_end_ = 0;
    polls_since_end_ = 0;
}

void test_leader::end_all_runs()
{
    for (auto& [worker, runs] : runs_) {
        for (const auto& [ref, number] : std::exchange(runs, {}))
            ended_[worker].push_back(
                {++last_completion_, ref, number, schedule::run_outcome::succeeded, ""});
    }
}

bool test_leader::run_until(const std::function<bool()>& condition, duration limit)
{
    const auto deadline = monotonic_now() + limit;
    while (!condition()) {
        if (monotonic_now() >= deadline)
            return false;
        shared_.io.run_one_for(std::chrono::milliseconds{100});
    }
    return true;
}

void test_leader::run_for(duration span)
{
    run_until([] { return false; }, span);
}

void test_leader::count_rounds()
{
    asio::post(shared_.io, [this] {
        ++rounds_;
        count_rounds();
    });
}

bool test_leader::run_until_pass()
{
    const auto before = passes();
    return run_until([&] { return passes() > before; });
}

std::uint64_t test_leader::passes()
{
    return shared_.metrics.make_latency("galenaturn_job_pass_seconds").count();
}

bool test_leader::has_succeeded(const std::string& name) const
{
    return state_.jobs.at(submission_id{name}).phase == wire::job_phase::succeeded;
}

std::size_t test_leader::running() const
{
    std::size_t count = 0;
    for (const auto& [worker, runs] : runs_)
        count += runs.size();
    return count;
}

wire::command_response test_leader::apply(wire::command body)
{
    ledger::applied_change change;
    const wire::command_request request{request_id{"r" + std::to_string(++index_)},
                                        std::move(body)};
    auto response = ledger::apply_command(state_, request, log_index{index_}, change);
    for (const auto& listener : hub_.applied)
        listener(change);
    return response;
}

} // namespace galenaturn::controld
