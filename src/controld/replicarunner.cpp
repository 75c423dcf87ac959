#include "replicarunner.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <iostream>
#include <random>
#include <utility>
#include <variant>

namespace galenaturn::controld {

namespace asio = boost::asio;

namespace {

/** A new ledger takes less to form; a process that waits longer waits for an operator. */
constexpr duration formation_patience = std::chrono::seconds{6};
constexpr duration formation_interval = std::chrono::milliseconds{300};
/** A log this long is replaced by an image, so that a restart stays short. */
constexpr std::size_t longest_log = std::size_t{4} << 20;

using ledger_frame = std::variant<ledger::peer_message, ledger::formation_message>;

/** Returns a voter id that no voter had before: the process and the moment of its first start. */
voter_id new_voter_id(const process_id& process)
{
    std::random_device device;
    return voter_id{process.value() + "." + std::to_string(wall_now().time_since_epoch().count()) +
                    "." + std::to_string(device() % 1000)};
}

} // namespace

replica_counters::replica_counters(metrics_registry& metrics)
    : commits{metrics.make_counter("galenaturn_ledger_commits_total")},
      syncs{metrics.make_counter("galenaturn_ledger_writes_total")},
      elections{metrics.make_counter("galenaturn_ledger_role_changes_total")},
      images_sent{metrics.make_counter("galenaturn_ledger_images_offered_total")},
      images_installed{metrics.make_counter("galenaturn_ledger_images_installed_total")},
      term_number{metrics.make_gauge("galenaturn_ledger_term")},
      applied_index{metrics.make_gauge("galenaturn_ledger_applied_index")},
      log_bytes{metrics.make_gauge("galenaturn_ledger_log_bytes")}
{
}

replica_runner::replica_runner(daemon::context& shared, runner_events events)
    : shared_{shared}, events_{std::move(events)}, counters_{shared.metrics},
      tick_timer_{shared.io}, formation_timer_{shared.io}
{
    shared_.frames.on(
        wire::frame_kind::ledger_peer,
        [this](const wire::hello& from, const wire::frame& received,
               const wire::reply_function& /*reply*/) { take_frame(from, received.payload); });
}

replica_runner::~replica_runner()
{
    disk_thread_.join();
}

result<void> replica_runner::start()
{
    findings found;
    chart_ =
        load_chart(shared_.settings.charts_folder, "replica", ledger::replica_actions(), found);
    if (!found.empty()) {
        std::cerr << found.text();
        return make_error_code(core_error::invalid_chart);
    }
    if (auto opened = open_folder(); !opened)
        return opened;
    make_replica();
    report_waiting_at_ = monotonic_now() + formation_patience;
    formation_.self = shared_.settings.self.id;
    formation_.voter = replica_->self;
    formation_.controls = founders();
    schedule_tick();
    announce_formation();
    return success();
}

/** Returns the processes that form a new ledger while all their disks are empty. */
std::vector<process_id> replica_runner::founders() const
{
    std::vector<process_id> found;
    const auto& join = shared_.settings.join;
    if (join) {
        if (join->form_ledger) {
            for (const auto& seed : join->seeds)
                found.emplace_back(to_string(seed));
        }
        return found;
    }
    for (const auto& member : shared_.settings.members) {
        if (member.role == process_role::control)
            found.push_back(member.id);
    }
    return found;
}

ledger::voter_facts replica_runner::voter_facts() const
{
    const auto now = monotonic_now();
    ledger::voter_facts facts;
    facts.set = replica_->log.voters();
    facts.wanted = 2 * std::size_t{shared_.settings.join->tolerated_disks} + 1;
    facts.silent[replica_->self] = duration{};
    for (const auto& [voter, progress] : replica_->progress) {
        facts.silent[voter] = now - std::max(progress.last_heard, replica_->leading_since);
        if (progress.matched >= replica_->committed)
            facts.caught_up.push_back(voter);
    }
    for (const auto& [process, heard] : formation_.others) {
        if (!heard.last.has_log && now - heard.when < ledger::formation_message_ttl)
            facts.newcomers.emplace(heard.last.voter, process);
    }
    return facts;
}

void replica_runner::look_after_voters()
{
    if (!may_read() || !shared_.settings.join)
        return;
    const auto change = ledger::plan_voter_change(voter_facts());
    if (!change)
        return;
    const auto refused = change_voters(*change);
    log_event(log_level::info, "ledger_voter_change",
              {{"kind", static_cast<int>(change->kind)},
               {"voter", change->voter},
               {"process", change->process},
               {"refused", refused}});
}

result<void> replica_runner::open_folder()
{
    findings found;
    auto opened = ledger::storage::open(shared_.settings.data_folder, found);
    if (!opened) {
        std::cerr << found.text();
        log_event(log_level::error, "ledger_folder_refused",
                  {{"folder", shared_.settings.data_folder},
                   {"error", opened.error().message()},
                   {"findings", found.text()}});
        return opened.error();
    }
    disk_ = std::make_unique<ledger::storage>(std::move(opened).value());
    if (disk_->stored().voter.empty()) {
        if (auto named = disk_->write_identity(new_voter_id(shared_.settings.self.id)); !named)
            return named;
    }
    const auto& image = disk_->stored().image;
    if (image && !events_.installed(image->data)) {
        log_event(log_level::error, "ledger_image_refused",
                  {{"index", image->index},
                   {"version", ledger::version_of_image(image->data)},
                   {"known_version", ledger::image_version},
                   {"advice", "start the program version that wrote it, or a later one"}});
        return make_error_code(ledger::ledger_error::unknown_image_version);
    }
    return success();
}

void replica_runner::make_replica()
{
    auto& stored = disk_->stored();
    ledger::replica_start start;
    start.self = stored.voter;
    start.hard = stored.hard;
    start.log = std::move(stored.log);
    start.chart = &chart_;
    start.seed = std::random_device{}();
    replica_ =
        std::make_unique<ledger::replica>(ledger::make_replica(std::move(start), monotonic_now()));
    last_image_size_ = stored.image ? stored.image->data.size() : 0;
    stored.image.reset();
    log_event(log_level::info, "ledger_opened",
              {{"voter", replica_->self},
               {"term", replica_->hard.current},
               {"image_index", replica_->committed},
               {"last_index", replica_->log.last_index()}});
}

bool replica_runner::may_read() const
{
    return running() && ledger::may_read(*replica_, monotonic_now());
}

process_id replica_runner::process_of(const voter_id& voter) const
{
    const auto members = ledger::all_members(replica_->log.voters());
    const auto member = members.find(voter);
    if (member != members.end())
        return member->second;
    const auto route = routes_.find(voter);
    return route == routes_.end() ? process_id{} : route->second;
}

voter_id replica_runner::newcomer_of(const process_id& process) const
{
    const auto other = formation_.others.find(process);
    const bool waiting = other != formation_.others.end() && !other->second.last.has_log;
    return waiting ? other->second.last.voter : voter_id{};
}

std::vector<log_index> replica_runner::propose(std::vector<std::string> commands)
{
    std::vector<log_index> indexes;
    take(ledger::propose(*replica_, monotonic_now(), std::move(commands), indexes));
    return indexes;
}

ledger::refusal replica_runner::change_voters(const ledger::voter_change& change)
{
    ledger::refusal reason;
    take(ledger::change_voters(*replica_, monotonic_now(), change, reason));
    return reason;
}

void replica_runner::take_frame(const wire::hello& from, const std::string& payload)
{
    if (!running())
        return;
    auto received = wire::decode<ledger_frame>(payload);
    if (!received) {
        log_event(log_level::warning, "ledger_frame_malformed", {{"process", from.process}});
        return;
    }
    if (const auto* message = std::get_if<ledger::formation_message>(&received.value()))
        return take_formation(*message);
    const auto& message = std::get<ledger::peer_message>(received.value());
    routes_[message.from] = from.process;
    take(ledger::receive(*replica_, monotonic_now(), message));
}

void replica_runner::take(ledger::effects done)
{
    effects_.push_back(std::move(done));
    if (taking_)
        return;
    taking_ = true;
    while (!effects_.empty()) {
        auto next = std::move(effects_.front());
        effects_.pop_front();
        carry_out(std::move(next));
        if (effects_.empty())
            settle();
    }
    taking_ = false;
    flush();
}

void replica_runner::carry_out(ledger::effects done)
{
    if (done.installed)
        take_image(std::move(*done.installed));
    queue_writes(done);
    for (const auto& message : done.messages)
        send(message);
    waiting_.insert(waiting_.end(), std::make_move_iterator(done.after_sync.begin()),
                    std::make_move_iterator(done.after_sync.end()));
    if (done.role_changed) {
        counters_.elections.add();
        counters_.term_number.set(static_cast<double>(replica_->hard.current.value()));
        log_event(log_level::info, "ledger_role",
                  {{"role", replica_->role},
                   {"term", replica_->hard.current},
                   {"committed", replica_->committed}});
        events_.leadership(replica_->leads);
    }
    for (const auto& entry : done.committed) {
        counters_.commits.add();
        events_.committed(entry);
    }
    image_wanted_ |= done.image_wanted;
}

/** Called when the state machine is level with the replica. */
void replica_runner::settle()
{
    counters_.applied_index.set(static_cast<double>(replica_->applied.value()));
    counters_.log_bytes.set(static_cast<double>(replica_->log.bytes_held()));
    if (std::exchange(image_wanted_, false) && replica_->leads) {
        counters_.images_sent.add();
        effects_.push_back(ledger::offer_image(*replica_, monotonic_now(), events_.image()));
    }
    shorten_log();
}

void replica_runner::take_image(ledger::state_image image)
{
    counters_.images_installed.add();
    log_event(log_level::info, "ledger_image_installed",
              {{"index", image.index}, {"bytes", image.data.size()}});
    const bool readable = events_.installed(image.data);
    GN_INVARIANT(readable, {"index", image.index},
                 {"version", ledger::version_of_image(image.data)});
    last_image_size_ = image.data.size();
    disk_job job;
    job.image = std::move(image);
    job.new_log = present_log();
    jobs_.push_back(std::move(job));
}

void replica_runner::queue_writes(ledger::effects& done)
{
    ledger::log_batch batch;
    batch.hard = std::move(done.hard);
    batch.cut_after = done.cut_after;
    batch.entries = std::move(done.entries);
    if (batch.empty())
        return;
    if (jobs_.empty())
        jobs_.emplace_back();
    jobs_.back().batches.push_back(std::move(batch));
}

void replica_runner::flush()
{
    if (disk_busy_ || failed_)
        return;
    auto released = std::exchange(waiting_, {});
    if (jobs_.empty()) {
        if (!released.empty())
            written(success(), std::move(released));
        return;
    }
    disk_busy_ = true;
    counters_.syncs.add();
    asio::post(disk_thread_, [this, jobs = std::exchange(jobs_, {}),
                              released = std::move(released)]() mutable {
        const auto outcome = write(*disk_, jobs);
        asio::post(shared_.io, [this, outcome, released = std::move(released)]() mutable {
            disk_busy_ = false;
            written(outcome, std::move(released));
        });
    });
}

result<void> replica_runner::write(ledger::storage& disk, const std::deque<disk_job>& jobs)
{
    for (const auto& job : jobs) {
        if (job.image) {
            if (auto done = disk.write_image(*job.image); !done)
                return done;
        }
        if (job.new_log) {
            if (auto done = disk.rewrite_log(*job.new_log); !done)
                return done;
        }
        if (!job.batches.empty()) {
            if (auto done = disk.append(job.batches); !done)
                return done;
        }
    }
    return success();
}

void replica_runner::written(const result<void>& outcome,
                             std::vector<ledger::peer_message> released)
{
    if (!outcome) {
        failed_ = true;
        log_event(log_level::error, "ledger_disk_failed",
                  {{"error", outcome.error().message()},
                   {"folder", shared_.settings.data_folder},
                   {"advice", "this voter stops; see docs/operators/state.md"}});
        events_.failed();
        return;
    }
    for (const auto& message : released)
        send(message);
    events_.idle();
    flush();
}

void replica_runner::send(const ledger::peer_message& message)
{
    if (message.to == replica_->self)
        return take(ledger::receive(*replica_, monotonic_now(), message));
    auto* link = shared_.peers.find(process_of(message.to));
    if (link != nullptr)
        link->send(wire::frame_kind::ledger_peer, wire::encode(ledger_frame{message}));
}

void replica_runner::shorten_log()
{
    const auto grown = replica_->log.bytes_held() -
                       std::min(replica_->log.bytes_held(), replica_->options.kept_bytes);
    if (grown < std::max(longest_log, last_image_size_) || disk_busy_)
        return;
    const auto index = replica_->applied;
    ledger::state_image image{index, replica_->log.term_of(index), replica_->log.voters_at(index),
                              events_.image()};
    last_image_size_ = image.data.size();
    ledger::compact_log(*replica_, index);
    log_event(log_level::info, "ledger_image_taken",
              {{"index", index}, {"bytes", image.data.size()}});
    disk_job job;
    job.image = std::move(image);
    job.new_log = present_log();
    jobs_.push_back(std::move(job));
}

ledger::log_batch replica_runner::present_log() const
{
    const auto& log = replica_->log;
    ledger::log_batch batch;
    batch.start = ledger::log_start{log.base(), log.base_term(), log.voters_at(log.base())};
    batch.hard = replica_->hard;
    for (auto index = log.base().next(); index <= log.last_index(); index = index.next())
        batch.entries.push_back(log.at(index));
    return batch;
}

void replica_runner::schedule_tick()
{
    // Looks up at least this often, since a received message may bring the next tick forward.
    constexpr duration longest_wait = std::chrono::milliseconds{50};
    tick_timer_.expires_at(std::min(ledger::next_tick(*replica_), monotonic_now() + longest_wait));
    tick_timer_.async_wait([this](const boost::system::error_code& error) {
        if (error || failed_)
            return;
        take(ledger::tick(*replica_, monotonic_now()));
        schedule_tick();
    });
}

void replica_runner::announce_formation()
{
    const bool has_log = replica_->log.last_index().value() > 0;
    if (has_log)
        return;
    const ledger::formation_message message{formation_.self, formation_.voter, false};
    for (const auto& member : shared_.peers.members()) {
        auto* link = shared_.peers.find(member.id);
        if (link != nullptr && member.role == process_role::control)
            link->send(wire::frame_kind::ledger_peer, wire::encode(ledger_frame{message}));
    }
    form();
    formation_timer_.expires_after(formation_interval);
    formation_timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error && !failed_)
            announce_formation();
    });
}

void replica_runner::take_formation(const ledger::formation_message& message)
{
    formation_.others[message.process] = {message, monotonic_now()};
    const bool has_log = replica_->log.last_index().value() > 0;
    // A process without a log announces itself; only one with a log needs to answer.
    if (has_log && !message.has_log) {
        const ledger::formation_message answer{formation_.self, formation_.voter, true};
        if (auto* link = shared_.peers.find(message.process))
            link->send(wire::frame_kind::ledger_peer, wire::encode(ledger_frame{answer}));
    }
    if (!has_log)
        form();
}

void replica_runner::form()
{
    const bool patient = monotonic_now() < report_waiting_at_;
    if (ledger::ledger_exists(formation_) && !patient && !waiting_logged_) {
        waiting_logged_ = true;
        log_event(log_level::warning, "ledger_waits_to_be_added",
                  {{"process", formation_.self},
                   {"voter", formation_.voter},
                   {"advice", "add this voter; see docs/operators/state.md"}});
    }
    const auto voters = ledger::first_voters(formation_, monotonic_now());
    if (!voters || disk_busy_ || replica_->log.last_index().value() > 0)
        return;
    auto batch = ledger::first_batch(*voters);
    batch.hard->current = std::max(batch.hard->current, replica_->hard.current);
    if (auto formed = disk_->append({batch}); !formed)
        return written(formed, {});
    replica_->hard = *batch.hard;
    replica_->log.append(batch.entries.front());
    log_event(log_level::info, "ledger_formed", {{"voters", voters->voters.size()}});
}

} // namespace galenaturn::controld
