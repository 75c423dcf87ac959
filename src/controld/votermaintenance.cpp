#include "replicarunner.h"

#include <algorithm>
#include <utility>

namespace galenaturn::controld {

namespace {

constexpr duration bootstrap_interval = std::chrono::milliseconds{300};

} // namespace

std::vector<process_id> replica_runner::listed_processes() const
{
    std::vector<process_id> processes;
    if (shared_.settings.join)
        return processes;
    for (const auto& member : shared_.settings.members) {
        if (member.role == process_role::control)
            processes.push_back(member.id);
    }
    return processes;
}

std::set<process_id> replica_runner::founders() const
{
    const auto& join = shared_.settings.join;
    if (!join || !join->form_ledger)
        return {};
    std::set<process_id> processes;
    for (const auto& seed : join->seeds)
        processes.emplace(to_string(seed));
    return processes.contains(shared_.settings.self.id) ? processes : std::set<process_id>{};
}

result<void> replica_runner::write_founder_entry()
{
    const auto processes = founders();
    const auto voters = ledger::founder_voters(processes);
    const bool formed = replica_->log.last_index().value() > 0;
    if (formed || !voters.voters.contains(replica_->self))
        return success();
    auto batch = ledger::initial_log_batch(voters);
    // A vote that was given before a restart stays.
    if (replica_->hard.current_term >= batch.hard->current_term)
        batch.hard = replica_->hard;
    if (auto written = disk_->append({batch}); !written)
        return written;
    replica_->hard = *batch.hard;
    replica_->log.append(batch.entries.front());
    founding_ = true;
    log_event(log_level::info, "ledger_founder",
              {{"voter", replica_->self}, {"voters", voters.voters.size()}});
    return success();
}

ledger::voter_plan_input replica_runner::voter_plan_input() const
{
    std::map<process_id, failure_domain_id> domains{
        {shared_.settings.self.id, shared_.settings.self.domain}};
    for (const auto& member : shared_.peers.members())
        domains.emplace(member.id, member.domain);
    const auto target_voters = 2 * std::size_t{shared_.settings.join->tolerated_disks} + 1;
    return ledger::make_voter_plan_input(*replica_, monotonic_now(), recently_announced(),
                                         std::move(domains), target_voters);
}

std::map<voter_id, process_id> replica_runner::recently_announced() const
{
    const auto now = monotonic_now();
    std::map<voter_id, process_id> announced;
    for (const auto& [process, last] : bootstrap_.last_messages) {
        if (now - last.received_at < ledger::bootstrap_message_ttl)
            announced.emplace(last.message.voter, process);
    }
    return announced;
}

void replica_runner::report_missing_leader()
{
    const auto now = monotonic_now();
    const auto reported = events_.reported_leader();
    const auto contact = ledger::contact_with_leader(*replica_, reported);
    const auto before = std::exchange(leader_contact_, contact);
    not_contacted_logged_ &= contact != ledger::leader_contact::known;
    // After a pause of this process the contact has changed only at this check.
    if (contact == ledger::leader_contact::known || contact != before)
        missing_leader_report_due_ = now + missing_leader_report_interval;
    if (contact != ledger::leader_contact::missing)
        counters_.leader_missing.set(0);
    if (now < missing_leader_report_due_)
        return;
    if (contact == ledger::leader_contact::not_contacted) {
        if (!std::exchange(not_contacted_logged_, true))
            log_event(
                log_level::info, "ledger_voter_not_contacted",
                {{"voter", replica_->self},
                 {"leader", reported},
                 {"last_index", replica_->log.last_index()},
                 {"advice", "a voter that was replaced is a spare; see docs/operators/state.md"}});
        return;
    }
    missing_leader_report_due_ = now + missing_leader_report_interval;
    counters_.leader_missing.set(1);
    const auto contacts = ledger::count_contacts(*replica_, recently_announced());
    log_event(log_level::warning, "ledger_leader_missing",
              {{"voters", contacts.voters},
               {"responding", contacts.responding},
               {"lost_disks", contacts.lost_disks},
               {"last_index", replica_->log.last_index()},
               {"advice", "see 'Lost quorum' in docs/operators/state.md"}});
}

void replica_runner::report_lost_voters()
{
    const auto now = monotonic_now();
    const bool may_know = may_read() && shared_.settings.join;
    const auto lost =
        may_know ? ledger::lost_voters(voter_plan_input()) : std::map<voter_id, process_id>{};
    counters_.voters_lost.set(static_cast<double>(lost.size()));
    // A voter that is replaced in time is no news.
    if (lost.empty())
        lost_voters_report_due_ = now + lost_voters_report_interval;
    if (now < lost_voters_report_due_)
        return;
    lost_voters_report_due_ = now + lost_voters_report_interval;
    for (const auto& [voter, process] : lost)
        log_event(log_level::warning, "ledger_voter_lost",
                  {{"voter", voter},
                   {"process", process},
                   {"advice", "nothing replaces it; see 'A VM with a lost disk' in "
                              "docs/operators/state.md"}});
}

void replica_runner::maintain_voters()
{
    if (!may_read() || !shared_.settings.join)
        return;
    const auto change = ledger::plan_voter_change(voter_plan_input());
    if (!change)
        return;
    const auto refusal = change_voters(*change);
    log_event(log_level::info, "ledger_voter_change",
              {{"kind", static_cast<int>(change->kind)},
               {"voter", change->voter},
               {"process", change->process},
               {"replaced", change->replaced},
               {"refused", refusal}});
}

voter_id replica_runner::newcomer_of(const process_id& process) const
{
    const auto other = bootstrap_.last_messages.find(process);
    const bool waiting = other != bootstrap_.last_messages.end() && !other->second.message.has_log;
    return waiting ? other->second.message.voter : voter_id{};
}

void replica_runner::announce_bootstrap()
{
    report_missing_leader();
    report_lost_voters();
    if (ledger::needs_announcement(*replica_))
        send_bootstrap_message();
    try_to_form_ledger();
    bootstrap_timer_.expires_after(bootstrap_interval);
    bootstrap_timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error && !failed_)
            announce_bootstrap();
    });
}

void replica_runner::send_bootstrap_message()
{
    const bool has_log = replica_->log.last_index().value() > 0;
    const ledger::bootstrap_message message{bootstrap_.self, bootstrap_.voter, has_log};
    for (const auto& member : shared_.peers.members()) {
        auto* link = shared_.peers.find(member.id);
        if (link != nullptr && member.role == process_role::control)
            link->send(wire::frame_kind::ledger_peer, wire::encode(ledger_frame{message}));
    }
}

void replica_runner::on_bootstrap_message(const ledger::bootstrap_message& message)
{
    bootstrap_.last_messages[message.process] = {message, monotonic_now()};
    const bool has_log = replica_->log.last_index().value() > 0;
    // A process without a log announces itself anyway; only one with a log has to reply.
    if (has_log && !message.has_log) {
        const ledger::bootstrap_message reply{bootstrap_.self, bootstrap_.voter, true};
        if (auto* link = shared_.peers.find(message.process))
            link->send(wire::frame_kind::ledger_peer, wire::encode(ledger_frame{reply}));
    }
    if (!has_log)
        try_to_form_ledger();
}

void replica_runner::try_to_form_ledger()
{
    if (replica_->log.last_index().value() > 0)
        return;
    const bool within_grace_period = monotonic_now() < waiting_warning_due_;
    if (ledger::ledger_exists(bootstrap_) && !within_grace_period && !waiting_warning_logged_) {
        waiting_warning_logged_ = true;
        log_event(
            log_level::warning, "ledger_waits_to_be_added",
            {{"process", bootstrap_.self},
             {"voter", bootstrap_.voter},
             {"advice", "a leader adds it when a voter is lost; see docs/operators/state.md"}});
    }
    const auto voters = ledger::initial_voters(bootstrap_, monotonic_now());
    if (!voters || disk_busy_)
        return;
    auto batch = ledger::initial_log_batch(*voters);
    batch.hard->current_term = std::max(batch.hard->current_term, replica_->hard.current_term);
    if (auto formed = disk_->append({batch}); !formed)
        return on_written(formed, {});
    replica_->hard = *batch.hard;
    replica_->log.append(batch.entries.front());
    log_event(log_level::info, "ledger_formed", {{"voters", voters->voters.size()}});
}

} // namespace galenaturn::controld
