#include "replicarunner.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <iostream>
#include <random>
#include <utility>

namespace galenaturn::controld {

namespace asio = boost::asio;

namespace {

/** Forming a ledger takes less time than this. A process that still waits for one then says so. */
constexpr duration bootstrap_warning_delay = std::chrono::seconds{6};
/** Above this size a log is compacted into a snapshot, so that a restart stays fast. */
constexpr std::size_t max_log_bytes = std::size_t{4} << 20;

/** Returns a unique voter id: process, wall time and a random number. */
voter_id unique_voter_id(const process_id& process)
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
      snapshots_offered{metrics.make_counter("galenaturn_ledger_images_offered_total")},
      snapshots_installed{metrics.make_counter("galenaturn_ledger_images_installed_total")},
      leases_contradicted{metrics.make_counter("galenaturn_ledger_leases_contradicted_total")},
      reads_confirmed{
          metrics.make_counter("galenaturn_ledger_reads_total", {{"confirmed", "yes"}})},
      reads_refused{metrics.make_counter("galenaturn_ledger_reads_total", {{"confirmed", "no"}})},
      read_rounds{metrics.make_counter("galenaturn_ledger_read_rounds_total")},
      term_number{metrics.make_gauge("galenaturn_ledger_term")},
      applied_index{metrics.make_gauge("galenaturn_ledger_applied_index")},
      log_bytes{metrics.make_gauge("galenaturn_ledger_log_bytes")},
      leader_missing{metrics.make_gauge("galenaturn_ledger_leader_missing")},
      voters_lost{metrics.make_gauge("galenaturn_ledger_voters_lost")}
{
}

replica_runner::replica_runner(daemon::context& shared, runner_events events)
    : shared_{shared}, events_{std::move(events)}, counters_{shared.metrics},
      tick_timer_{shared.io}, bootstrap_timer_{shared.io}
{
    shared_.frames.on(
        wire::frame_kind::ledger_peer,
        [this](const wire::hello& from, const wire::frame& received,
               const wire::reply_function& /*reply*/) { on_frame(from, received.payload); });
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
    if (auto written = write_founder_entry(); !written)
        return written;
    waiting_warning_due_ = monotonic_now() + bootstrap_warning_delay;
    missing_leader_report_due_ = monotonic_now() + missing_leader_report_interval;
    bootstrap_.self = shared_.settings.self.id;
    bootstrap_.voter = replica_->self;
    bootstrap_.founders = listed_processes();
    schedule_tick();
    announce_bootstrap();
    return success();
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
        if (auto named = disk_->write_identity(new_voter()); !named)
            return named;
    }
    const auto& snapshot = disk_->stored().snapshot;
    if (snapshot && !events_.install_snapshot(snapshot->data)) {
        log_event(
            log_level::error, "ledger_image_refused",
            {{"index", snapshot->index},
             {"version", ledger::read_snapshot_version(snapshot->data)},
             {"known_version", ledger::snapshot_version},
             {"advice", "start the program version that wrote the snapshot, or a later one"}});
        return make_error_code(ledger::ledger_error::unknown_snapshot_version);
    }
    return success();
}

voter_id replica_runner::new_voter() const
{
    const auto& self = shared_.settings.self.id;
    const auto processes = founders();
    return processes.empty() ? unique_voter_id(self) : ledger::founder_voter(self, processes);
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
    last_snapshot_bytes_ = stored.snapshot ? stored.snapshot->data.size() : 0;
    stored.snapshot.reset();
    log_event(log_level::info, "ledger_opened",
              {{"voter", replica_->self},
               {"term", replica_->hard.current_term},
               {"image_index", replica_->committed},
               {"last_index", replica_->log.last_index()}});
}

bool replica_runner::may_read() const
{
    return running() && ledger::may_read(*replica_, monotonic_now());
}

duration replica_runner::lease_left() const
{
    return running() ? replica_->lease_expires - monotonic_now() : duration{};
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

std::vector<log_index> replica_runner::propose(std::vector<std::string> commands)
{
    std::vector<log_index> indexes;
    process_effects(ledger::propose(*replica_, monotonic_now(), std::move(commands), indexes));
    return indexes;
}

void replica_runner::confirm_leadership(pending_reads::answer read)
{
    auto counted = [this, read = std::move(read)](bool confirmed) {
        (confirmed ? counters_.reads_confirmed : counters_.reads_refused).add();
        read(confirmed);
    };
    if (!running() || !replica_->leads || !reads_.add(counted))
        return counted(false);
    answer_reads();
}

ledger::refusal_reason replica_runner::change_voters(const ledger::voter_change& change)
{
    ledger::refusal_reason reason;
    process_effects(ledger::change_voters(*replica_, monotonic_now(), change, reason));
    return reason;
}

void replica_runner::on_frame(const wire::hello& from, const std::string& payload)
{
    if (!running())
        return;
    auto received = wire::decode<ledger_frame>(payload);
    if (!received) {
        log_event(log_level::warning, "ledger_frame_malformed", {{"process", from.process}});
        return;
    }
    if (const auto* message = std::get_if<ledger::bootstrap_message>(&received.value()))
        return on_bootstrap_message(*message);
    const auto& message = std::get<ledger::peer_message>(received.value());
    routes_[message.from] = from.process;
    process_effects(ledger::receive(*replica_, monotonic_now(), message));
}

void replica_runner::process_effects(ledger::effects done)
{
    effects_.push_back(std::move(done));
    if (executing_effects_)
        return;
    executing_effects_ = true;
    while (!effects_.empty()) {
        auto next = std::move(effects_.front());
        effects_.pop_front();
        execute(std::move(next));
        if (effects_.empty())
            on_effects_executed();
    }
    executing_effects_ = false;
    start_disk_write();
    answer_reads();
}

void replica_runner::answer_reads()
{
    if (executing_effects_)
        return;
    if (failed_ || !replica_->leads)
        return reads_.refuse_all();
    reads_.confirm(ledger::confirmed_round(*replica_));
    if (!reads_.needs_round())
        return;
    std::uint64_t round = 0;
    auto begun = ledger::begin_read(*replica_, monotonic_now(), round);
    reads_.begin(round);
    counters_.read_rounds.add();
    process_effects(std::move(begun));
}

void replica_runner::execute(ledger::effects done)
{
    if (done.installed)
        install_snapshot(std::move(*done.installed));
    queue_writes(done);
    for (const auto& message : done.messages)
        send(message);
    messages_after_sync_.insert(messages_after_sync_.end(),
                                std::make_move_iterator(done.after_sync.begin()),
                                std::make_move_iterator(done.after_sync.end()));
    if (done.role_changed) {
        reads_.refuse_all();
        counters_.elections.add();
        counters_.term_number.set(static_cast<double>(replica_->hard.current_term.value()));
        log_event(log_level::info, "ledger_role",
                  {{"role", replica_->role},
                   {"cause", done.role_change_cause},
                   {"term", replica_->hard.current_term},
                   {"committed", replica_->committed},
                   {"lease_left_us", done.lease_left.count()}});
        events_.leadership(replica_->leads);
    }
    if (!done.contradicting_leader.empty()) {
        counters_.leases_contradicted.add();
        log_event(log_level::warning, "ledger_lease_contradicted",
                  {{"leader", done.contradicting_leader},
                   {"term", replica_->hard.current_term},
                   {"lease_left_us", done.lease_left.count()},
                   {"advice", "a clock stood still or ran slowly; see docs/operators/state.md"}});
    }
    if (!done.committed.empty() && std::exchange(founding_, false) && replica_->leads)
        log_event(log_level::info, "ledger_formed",
                  {{"voters", replica_->log.voters().voters.size()}});
    for (const auto& entry : done.committed) {
        counters_.commits.add();
        events_.committed(entry);
        if (entry.kind == ledger::entry_kind::voters)
            asio::post(shared_.io, [this] { maintain_voters(); });
    }
    snapshot_needed_ |= done.snapshot_needed;
}

/** Called when the state machine has applied all that the replica has committed. */
void replica_runner::on_effects_executed()
{
    counters_.applied_index.set(static_cast<double>(replica_->applied.value()));
    counters_.log_bytes.set(static_cast<double>(replica_->log.payload_bytes()));
    if (std::exchange(snapshot_needed_, false) && replica_->leads) {
        counters_.snapshots_offered.add();
        effects_.push_back(ledger::offer_snapshot(*replica_, monotonic_now(), events_.snapshot()));
    }
    compact_log_if_large();
}

void replica_runner::install_snapshot(ledger::state_snapshot snapshot)
{
    counters_.snapshots_installed.add();
    log_event(log_level::info, "ledger_image_installed",
              {{"index", snapshot.index}, {"bytes", snapshot.data.size()}});
    const bool readable = events_.install_snapshot(snapshot.data);
    GN_INVARIANT(readable, {"index", snapshot.index},
                 {"version", ledger::read_snapshot_version(snapshot.data)});
    last_snapshot_bytes_ = snapshot.data.size();
    disk_job job;
    job.snapshot = std::move(snapshot);
    job.new_log = ledger::whole_log_batch(replica_->log, replica_->hard);
    jobs_.push_back(std::move(job));
}

void replica_runner::queue_writes(ledger::effects& done)
{
    ledger::log_batch batch;
    batch.hard = std::move(done.hard);
    batch.truncate_after = done.truncate_after;
    batch.entries = std::move(done.entries);
    if (batch.empty())
        return;
    if (jobs_.empty())
        jobs_.emplace_back();
    jobs_.back().batches.push_back(std::move(batch));
}

void replica_runner::start_disk_write()
{
    if (disk_busy_ || failed_)
        return;
    auto released = std::exchange(messages_after_sync_, {});
    if (jobs_.empty()) {
        if (!released.empty())
            on_written(success(), std::move(released));
        return;
    }
    disk_busy_ = true;
    counters_.syncs.add();
    asio::post(disk_thread_, [this, jobs = std::exchange(jobs_, {}),
                              released = std::move(released)]() mutable {
        const auto outcome = write(*disk_, jobs);
        asio::post(shared_.io, [this, outcome, released = std::move(released)]() mutable {
            disk_busy_ = false;
            on_written(outcome, std::move(released));
        });
    });
}

result<void> replica_runner::write(ledger::storage& disk, const std::deque<disk_job>& jobs)
{
    for (const auto& job : jobs) {
        if (job.snapshot) {
            if (auto done = disk.write_snapshot(*job.snapshot); !done)
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

void replica_runner::on_written(const result<void>& outcome,
                                std::vector<ledger::peer_message> released)
{
    if (!outcome) {
        failed_ = true;
        reads_.refuse_all();
        log_event(log_level::error, "ledger_disk_failed",
                  {{"error", outcome.error().message()},
                   {"folder", shared_.settings.data_folder},
                   {"advice", "this voter stops; see docs/operators/state.md"}});
        events_.failed();
        return;
    }
    for (const auto& message : released)
        send(message);
    events_.disk_idle();
    start_disk_write();
}

void replica_runner::send(const ledger::peer_message& message)
{
    if (message.to == replica_->self)
        return process_effects(ledger::receive(*replica_, monotonic_now(), message));
    auto* link = shared_.peers.find(process_of(message.to));
    if (link != nullptr)
        link->send(wire::frame_kind::ledger_peer, wire::encode(ledger_frame{message}));
}

void replica_runner::compact_log_if_large()
{
    const auto grown =
        replica_->log.payload_bytes() -
        std::min(replica_->log.payload_bytes(), replica_->options.retained_log_bytes);
    if (grown < std::max(max_log_bytes, last_snapshot_bytes_) || disk_busy_)
        return;
    const auto index = replica_->applied;
    ledger::state_snapshot snapshot{index, replica_->log.term_of(index),
                                    replica_->log.voters_at(index), events_.snapshot()};
    last_snapshot_bytes_ = snapshot.data.size();
    ledger::compact_log(*replica_, index);
    log_event(log_level::info, "ledger_image_taken",
              {{"index", index}, {"bytes", snapshot.data.size()}});
    disk_job job;
    job.snapshot = std::move(snapshot);
    job.new_log = ledger::whole_log_batch(replica_->log, replica_->hard);
    jobs_.push_back(std::move(job));
}

void replica_runner::schedule_tick()
{
    // Maximum wait, since a received message may bring the next tick forward.
    constexpr duration max_wait = std::chrono::milliseconds{50};
    tick_timer_.expires_at(std::min(ledger::next_tick(*replica_), monotonic_now() + max_wait));
    tick_timer_.async_wait([this](const boost::system::error_code& error) {
        if (error || failed_)
            return;
        const auto now = monotonic_now();
        auto done = ledger::tick(*replica_, now);
        // A leader that was suspended steps down for its lost quorum before its disk counts.
        if (done.role_change_cause == "disk_hangs")
            log_event(log_level::error, "ledger_disk_hangs",
                      {{"folder", shared_.settings.data_folder},
                       {"advice", "another voter leads; see docs/operators/state.md"}});
        process_effects(std::move(done));
        schedule_tick();
    });
}

} // namespace galenaturn::controld
