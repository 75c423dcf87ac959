#include "ledgerservice.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <csignal>

namespace galenaturn::controld {

namespace asio = boost::asio;

namespace {

using wire::command_status;

/** Interval of checks for a voter change; a newcomer needs several to become a voter. */
constexpr duration voter_maintenance_interval = std::chrono::milliseconds{100};
constexpr duration expiry_interval = std::chrono::seconds{5};
/** Maximum number of commands that wait for the disk; further ones are refused, not run. */
constexpr std::size_t max_queued_commands = 8192;

constexpr std::array all_statuses{command_status::accepted,   command_status::conflict,
                                  command_status::duplicate,  command_status::rejected,
                                  command_status::not_leader, command_status::unavailable,
                                  command_status::unknown};

runner_events make_runner_events(std::function<void(const ledger::log_entry&)> committed,
                                 std::function<bool(const std::string&)> install_snapshot,
                                 std::function<std::string()> snapshot,
                                 std::function<void(bool)> leadership, std::function<void()> failed,
                                 std::function<void()> disk_idle,
                                 std::function<process_id()> reported_leader)
{
    return {std::move(committed),      std::move(install_snapshot), std::move(snapshot),
            std::move(leadership),     std::move(failed),           std::move(disk_idle),
            std::move(reported_leader)};
}

} // namespace

ledger_service::ledger_service(daemon::context& shared, control_hub& hub)
    : shared_{shared}, hub_{hub},
      runner_{shared,
              make_runner_events(
                  [this](const auto& entry) { apply(entry); },
                  [this](const auto& snapshot) { return install_snapshot(snapshot); },
                  [this] { return ledger::encode_snapshot(state_); },
                  [this](bool leads) { on_leadership_change(leads); },
                  [this] { stop_after_disk_failure(); }, [this] { propose_queued(); },
                  [this] { return hub_.reported_leader ? hub_.reported_leader() : process_id{}; })},
      push_{shared}, expiry_timer_{shared.io}, voter_maintenance_timer_{shared.io}
{
    for (const auto status : all_statuses)
        command_counters_[status] = &shared.metrics.make_counter(
            "galenaturn_ledger_commands_total", {{"status", wire::to_string(status)}});
    hub_.state = [this]() -> const ledger::ledger_state& { return state_; };
    hub_.leads = [this] { return runner_.may_read(); };
    hub_.lease_left = [this] { return runner_.lease_left(); };
    hub_.confirm_leadership = [this](time_point deadline) { return confirm_leadership(deadline); };
    hub_.current_term = [this] {
        return runner_.running() ? runner_.state().hard.current_term : term{};
    };
    hub_.leader = [this] { return leader(); };
    hub_.submit = [this](wire::command body, time_point deadline) {
        return submit(std::move(body), deadline);
    };
    shared_.status_contributors.emplace_back([this](daemon::process_status& process) {
        if (!runner_.running())
            return;
        const auto& document = ledger::catalogue_in_force(state_);
        process.version = document.version;
        process.digest = document.digest;
        process.ledger = status();
    });
    add_frame_handlers();
    add_routes();
}

result<void> ledger_service::start()
{
    if (auto started = runner_.start(); !started)
        return started;
    schedule_expiry();
    if (shared_.settings.join)
        schedule_voter_maintenance();
    return success();
}

void ledger_service::add_frame_handlers()
{
    shared_.frames.on(wire::frame_kind::ledger_command, [this](const wire::hello& /*from*/,
                                                               const wire::frame& received,
                                                               const wire::reply_function& reply) {
        auto request = wire::decode<wire::command_request>(received.payload);
        if (!request)
            return reply(wire::encode(refuse(command_status::rejected, "malformed command")));
        enqueue_command(
            std::move(request).value(),
            [reply](const wire::command_response& response) { reply(wire::encode(response)); });
    });
    shared_.frames.on(wire::frame_kind::ledger_query,
                      [this](const wire::hello& /*from*/, const wire::frame& received,
                             const wire::reply_function& reply) {
                          const auto request = wire::decode<wire::query_request>(received.payload);
                          if (!request)
                              return reply(wire::encode(wire::query_response{}));
                          answer_query(request.value(), reply);
                      });
    shared_.frames.on(wire::frame_kind::voter_change, [this](const wire::hello& /*from*/,
                                                             const wire::frame& received,
                                                             const wire::reply_function& reply) {
        const auto request = wire::decode<wire::voter_change_request>(received.payload);
        reply(wire::encode(request ? change_voters(request.value())
                                   : refuse(command_status::rejected, "malformed request")));
    });
}

void ledger_service::add_routes()
{
    const std::array<std::pair<const char*, wire::voter_change_kind>, 3> changes{{
        {"add", wire::voter_change_kind::add},
        {"promote", wire::voter_change_kind::promote},
        {"remove", wire::voter_change_kind::remove},
    }};
    for (const auto& [name, kind] : changes) {
        const auto route = std::string{"/v1/ledger/members/{id}/"} + name;
        shared_.routes.add(http::verb::post, route, [this, kind = kind](http::call& incoming) {
            return handle_voter_change(this, kind, incoming.parameters["id"]);
        });
    }
}

asio::awaitable<http::response> ledger_service::handle_voter_change(ledger_service* self,
                                                                    wire::voter_change_kind kind,
                                                                    std::string member)
{
    // Accepts a process id or a voter id; a voter id starts with its process id and a dot.
    const auto& members = self->shared_.settings.members;
    const bool names_process =
        std::any_of(members.begin(), members.end(),
                    [&](const auto& control) { return control.id.value() == member; });
    wire::voter_change_request request;
    request.kind = kind;
    if (names_process)
        request.process = process_id{member};
    else
        request.voter = voter_id{member};
    const auto response = self->change_voters(request);
    if (response.status == command_status::accepted)
        co_return http::make_response(http::status::accepted, response.reason + "\n",
                                      "text/plain; charset=utf-8");
    if (response.status == command_status::not_leader)
        co_return http::make_problem(
            {http::status::service_unavailable, "not_leader",
             "send the request to the leader, '" + response.leader.value() + "'", 1, true});
    co_return http::make_problem(
        {http::status::conflict, "change_refused", response.reason, 0, true});
}

process_id ledger_service::leader() const
{
    if (!runner_.running() || runner_.state().leader.empty())
        return process_id{};
    return runner_.process_of(runner_.state().leader);
}

wire::command_response ledger_service::refuse(command_status status, std::string reason) const
{
    wire::command_response response;
    response.status = status;
    response.reason = std::move(reason);
    response.leader = leader();
    return response;
}

void ledger_service::enqueue_command(wire::command_request request, response_callback answer)
{
    const auto respond = [this,
                          answer = std::move(answer)](const wire::command_response& response) {
        command_counters_[response.status]->add();
        answer(response);
    };
    if (!runner_.running() || !runner_.state().leads)
        return respond(refuse(command_status::not_leader, "this voter is not the leader"));
    if (const auto refused = ledger::check_command(request))
        return respond(*refused);
    if (queued_commands_.size() >= max_queued_commands || !ledger::may_propose(runner_.state()))
        return respond(refuse(command_status::unavailable, "too many commands are waiting"));
    queued_commands_.push_back({std::move(request), respond});
    // Commands that arrive during a disk write are proposed together, with one sync for all.
    if (!runner_.disk_busy())
        asio::post(shared_.io, [this] { propose_queued(); });
}

void ledger_service::propose_queued()
{
    if (queued_commands_.empty() || runner_.disk_busy() || !runner_.running())
        return;
    auto proposals = std::exchange(queued_commands_, {});
    std::vector<std::string> commands;
    commands.reserve(proposals.size());
    for (const auto& proposal : proposals)
        commands.push_back(wire::encode(proposal.request));
    const auto indexes = runner_.propose(std::move(commands));
    if (indexes.empty()) {
        for (const auto& proposal : proposals)
            proposal.answer(
                refuse(command_status::unavailable, "the leader cannot accept commands now"));
        return;
    }
    for (std::size_t index = 0; index < proposals.size(); ++index)
        proposals_in_flight_.emplace(indexes[index], std::move(proposals[index]));
}

void ledger_service::apply(const ledger::log_entry& entry)
{
    if (entry.kind != ledger::entry_kind::command)
        return;
    const auto request = wire::decode<wire::command_request>(entry.payload);
    GN_INVARIANT(request.has_value(), {"index", entry.index});
    ledger::applied_change change;
    auto response = ledger::apply_command(state_, request.value(), entry.index, change);
    ledger::observe_clock(record_clock_, state_, monotonic_now());
    const auto waiting = proposals_in_flight_.find(entry.index);
    if (waiting != proposals_in_flight_.end()) {
        GN_INVARIANT(waiting->second.request.id == request.value().id, {"index", entry.index});
        response.leader = leader();
        waiting->second.answer(response);
        proposals_in_flight_.erase(waiting);
    }
    if (change.catalogue) {
        const auto& document = ledger::catalogue_in_force(state_);
        log_event(log_level::info, "catalogue_accepted",
                  {{"version", document.version},
                   {"digest", document.digest},
                   {"author", document.author}});
        push_.push(document, runner_.state().leads);
    }
    for (const auto& subscriber : hub_.applied)
        subscriber(change);
}

bool ledger_service::install_snapshot(const std::string& snapshot)
{
    auto read = ledger::decode_snapshot(snapshot);
    if (!read)
        return false;
    state_ = std::move(read).value();
    ledger::observe_clock(record_clock_, state_, monotonic_now());
    ledger::applied_change change;
    change.catalogue = true;
    change.stewardships = true;
    for (const auto& [id, task] : state_.tasks)
        change.tasks.push_back(id);
    for (const auto& subscriber : hub_.applied)
        subscriber(change);
    return true;
}

void ledger_service::on_leadership_change(bool leads)
{
    if (!leads) {
        for (auto& [index, proposal] : std::exchange(proposals_in_flight_, {}))
            proposal.answer(refuse(command_status::unknown, "leadership was lost"));
        for (auto& proposal : std::exchange(queued_commands_, {}))
            proposal.answer(refuse(command_status::not_leader, "leadership was lost"));
    }
    for (const auto& subscriber : hub_.leadership)
        subscriber(leads);
}

void ledger_service::stop_after_disk_failure()
{
    on_leadership_change(false);
    std::raise(SIGTERM);
}

void ledger_service::schedule_voter_maintenance()
{
    voter_maintenance_timer_.expires_after(voter_maintenance_interval);
    voter_maintenance_timer_.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        runner_.maintain_voters();
        schedule_voter_maintenance();
    });
}

void ledger_service::schedule_expiry()
{
    expiry_timer_.expires_after(expiry_interval);
    expiry_timer_.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        if (runner_.may_read()) {
            wire::command_request request;
            request.id = request_id{shared_.settings.self.id.value() + "-expiry-" +
                                    std::to_string(++last_expiry_)};
            request.body = wire::expire_records{
                ledger::next_clock(record_clock_, wall_now(), monotonic_now())};
            enqueue_command(std::move(request), [](const wire::command_response&) {});
        }
        schedule_expiry();
    });
}

void ledger_service::answer_query(const wire::query_request& request,
                                  const wire::reply_function& reply)
{
    if (request.stale_allowed || !runner_.may_read())
        return reply(wire::encode(answer_now(request)));
    runner_.confirm_leadership([this, request, reply](bool confirmed) {
        reply(wire::encode(confirmed ? read(request.body) : refuse_query()));
    });
}

wire::query_response ledger_service::refuse_query() const
{
    wire::query_response response;
    response.leader = leader();
    if (runner_.running())
        response.status = runner_.state().leads ? wire::query_status::unavailable
                                                : wire::query_status::not_leader;
    return response;
}

wire::query_response ledger_service::answer_now(const wire::query_request& request) const
{
    const bool wants_status = std::holds_alternative<wire::get_ledger_status>(request.body);
    // After a restart the state may be older than what was read before, until it has caught up.
    const bool usable = request.stale_allowed && runner_.running() &&
                        (wants_status || runner_.state().caught_up || runner_.may_read());
    return usable ? read(request.body) : refuse_query();
}

wire::query_response ledger_service::read(const wire::query& query) const
{
    const bool wants_status = std::holds_alternative<wire::get_ledger_status>(query);
    auto response = ledger::answer_query(state_, query);
    response.leader = leader();
    if (wants_status)
        response.ledger = status();
    return response;
}

wire::ledger_status ledger_service::status() const
{
    const auto& replica = runner_.state();
    wire::ledger_status status;
    status.voter = replica.self;
    status.role = replica.role;
    status.leader = leader();
    status.current_term = replica.hard.current_term;
    status.committed = replica.committed;
    status.applied = replica.applied;
    for (const auto& [voter, process] : ledger::all_voters(replica.log.voters()))
        status.voters.push_back(voter);
    for (const auto& [voter, process] : replica.log.voters().learners)
        status.learners.push_back(voter);
    return status;
}

std::vector<voter_id>
ledger_service::matching_voters(const wire::voter_change_request& request) const
{
    if (!request.voter.empty())
        return {request.voter};
    std::vector<voter_id> matching;
    const auto& set = runner_.state().log.voters();
    if (request.kind == wire::voter_change_kind::add) {
        const auto newcomer = runner_.newcomer_of(request.process);
        return newcomer.empty() ? matching : std::vector<voter_id>{newcomer};
    }
    const bool promotes = request.kind == wire::voter_change_kind::promote;
    for (const auto& [voter, process] : promotes ? set.learners : ledger::all_members(set)) {
        if (process == request.process)
            matching.push_back(voter);
    }
    return matching;
}

wire::command_response ledger_service::change_voters(const wire::voter_change_request& request)
{
    if (!runner_.running() || !runner_.state().leads)
        return refuse(command_status::not_leader, "this voter is not the leader");
    const auto matching = matching_voters(request);
    if (matching.empty())
        return refuse(command_status::rejected, "process '" + request.process.value() +
                                                    "' has no matching voter, learner or newcomer");
    if (matching.size() > 1)
        return refuse(command_status::rejected, "process '" + request.process.value() +
                                                    "' has several matching voters; name one: '" +
                                                    matching[0].value() + "' or '" +
                                                    matching[1].value() + "'");
    auto reason = runner_.change_voters({static_cast<ledger::voter_change_kind>(request.kind),
                                         matching.front(),
                                         request.process,
                                         {}});
    log_event(log_level::info, "ledger_voter_change",
              {{"kind", static_cast<int>(request.kind)},
               {"voter", matching.front()},
               {"refused", reason}});
    if (!reason.empty())
        return refuse(command_status::rejected, std::move(reason));
    return refuse(command_status::accepted, "the change is in progress");
}

asio::awaitable<wire::command_response> ledger_service::submit(wire::command body,
                                                               time_point deadline)
{
    wire::command_request request{shared_.ledger.next_request_id(), std::move(body)};
    if (runner_.running() && runner_.state().leads)
        co_return co_await submit_here(std::move(request), deadline);
    if (runner_.running() && runner_.state().log.voters().voters.size() == 1)
        co_return refuse(command_status::unavailable, "the ledger has no leader yet");
    co_return co_await shared_.ledger.submit(std::move(request), deadline);
}

asio::awaitable<bool> ledger_service::confirm_leadership(time_point deadline)
{
    struct pending {
        explicit pending(asio::io_context& io) : timer{io} {}
        wire::boot_timer timer;
        std::optional<bool> confirmed;
    };
    const auto call = std::make_shared<pending>(shared_.io);
    call->timer.expires_at(deadline);
    runner_.confirm_leadership([call](bool confirmed) {
        call->confirmed = confirmed;
        call->timer.cancel();
    });
    if (!call->confirmed)
        co_await call->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    co_return call->confirmed.value_or(false);
}

asio::awaitable<wire::command_response> ledger_service::submit_here(wire::command_request request,
                                                                    time_point deadline)
{
    struct pending {
        explicit pending(asio::io_context& io) : timer{io} {}
        wire::boot_timer timer;
        wire::command_response response;
        bool completed{false};
    };
    const auto call = std::make_shared<pending>(shared_.io);
    call->response =
        refuse(command_status::unknown, "no response from the ledger before the deadline");
    call->timer.expires_at(deadline);
    enqueue_command(std::move(request), [call](const wire::command_response& response) {
        call->response = response;
        call->timer.cancel();
        call->completed = true;
    });
    if (!call->completed)
        co_await call->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    co_return call->response;
}

} // namespace galenaturn::controld
