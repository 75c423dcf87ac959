#include "simulation.h"

#include <algorithm>
#include <functional>
#include <sstream>

namespace galenaturn::ledger {

namespace {

constexpr std::size_t max_trace_lines = 40;
/** Number of entries between two comparisons of the complete states. */
constexpr std::uint64_t state_check_interval = 50;

std::uint64_t digest_of(const std::string& bytes)
{
    return std::hash<std::string>{}(bytes);
}

} // namespace

void simulation::require(bool holds, const std::string& invariant)
{
    if (!holds)
        throw violation_error{invariant};
}

void simulation::add_trace_line(const std::string& what)
{
    std::ostringstream line;
    line << now_.time_since_epoch().count() << "us step " << result_.steps << ": " << what;
    trace_.push_back(line.str());
    if (trace_.size() > max_trace_lines)
        trace_.erase(trace_.begin());
}

void simulation::check_leader(std::size_t node_index)
{
    const auto& node = nodes_[node_index];
    ++result_.elections;
    add_trace_line(node.voter.value() + " leads term " +
                   std::to_string(node.core->hard.current_term.value()));
    const auto recorded = leaders_.emplace(node.core->hard.current_term, node.voter).first;
    require(recorded->second == node.voter, "one leader per term");
    // A candidate of an earlier term may get its votes after a later leader has committed.
    const auto last = std::find_if(committed_.rbegin(), committed_.rend(), [&](const auto& entry) {
        return entry.second.committed_in < node.core->hard.current_term;
    });
    if (last == committed_.rend())
        return;
    const auto& [index, entry] = *last;
    require(node.core->log.last_index() >= index,
            "a leader's log reaches the last committed entry");
    require(index < node.core->log.base() || node.core->log.term_of(index) == entry.entry_term,
            "a leader has the last committed entry");
}

void simulation::check_committed(std::size_t node_index, const log_entry& entry)
{
    const committed_entry committed{entry.entry_term,
                                    digest_of(entry.payload) + static_cast<unsigned>(entry.kind),
                                    nodes_[node_index].core->hard.current_term};
    const auto recorded = committed_.emplace(entry.index, committed);
    if (recorded.second)
        ++result_.commits;
    const auto& first = recorded.first->second;
    require(first.entry_term == committed.entry_term && first.digest == committed.digest,
            "logs match: " + nodes_[node_index].voter.value() + " committed another entry at " +
                std::to_string(entry.index.value()));
}

void simulation::check_outcome(std::size_t node_index, const log_entry& entry,
                               const wire::command_request& request,
                               const wire::command_response& response, const applied_change& change)
{
    const auto& node = nodes_[node_index];
    if (std::holds_alternative<wire::write_catalogue>(request.body) &&
        response.status == wire::command_status::accepted) {
        const auto winner = write_winners_.emplace(response.version, request.id);
        result_.write_races_won += winner.second ? 1 : 0;
        require(winner.first->second == request.id, "one accepted write per catalogue version");
    }
    for (const auto& id : change.tasks) {
        const auto task = node.state.tasks.find(id);
        if (task == node.state.tasks.end() || task->second.phase != wire::task_phase::finished)
            continue;
        const auto recorded = outcomes_.emplace(id, task->second.outcome);
        require(recorded.first->second == task->second.outcome, "one outcome per task");
    }
    // The leader acknowledges the command to its client now.
    if (node.core->leads && entry.entry_term == node.core->hard.current_term) {
        acknowledged_index_ = std::max(acknowledged_index_, entry.index);
        acknowledged_version_ =
            std::max(acknowledged_version_, catalogue_in_force(node.state).version);
    }
}

void simulation::check_state(std::size_t node_index, log_index index)
{
    if (index.value() % state_check_interval != 0)
        return;
    const auto digest = digest_of(encode_snapshot(nodes_[node_index].state));
    const auto recorded = state_digests_.emplace(index, digest).first;
    require(recorded->second == digest, "state machines agree at " + std::to_string(index.value()));
}

void simulation::check_reads(std::size_t node_index)
{
    auto& node = nodes_[node_index];
    if (!options_.checks_leases)
        return;
    if (may_read(*node.core, local_time(node))) {
        ++result_.fresh_reads;
        require(catalogue_in_force(node.state).version >= acknowledged_version_ &&
                    node.core->applied >= acknowledged_index_,
                "a read sees every acknowledged write: " + node.voter.value());
    }
    if (may_read(*node.core, local_time(node)) || node.core->caught_up) {
        require(node.core->applied >= node.last_read_index,
                "reads are monotonic, also after a restart: " + node.voter.value());
        node.last_read_index = node.core->applied;
    }
}

void simulation::check_confirmed_reads(std::size_t node_index)
{
    auto& node = nodes_[node_index];
    const auto confirmed = confirmed_round(*node.core);
    std::erase_if(node.reads, [&](const waiting_read& read) {
        if (!node.core->leads || node.core->hard.current_term != read.begun_in) {
            ++result_.refused_reads;
            return true;
        }
        if (confirmed < read.round)
            return false;
        ++result_.confirmed_reads;
        require(catalogue_in_force(node.state).version >= read.acknowledged_version &&
                    node.core->applied >= read.acknowledged_index,
                "a confirmed read sees every acknowledged write: " + node.voter.value());
        return true;
    });
}

bool simulation::quorum_survives_disk_loss(std::size_t node_index) const
{
    const auto keeps_quorum = [&](const voter_set& set) {
        std::set<voter_id> remaining;
        for (const auto& [voter, process] : all_voters(set)) {
            if (voter != nodes_[node_index].voter && !lost_voters_.contains(voter))
                remaining.insert(voter);
        }
        return !all_voters(set).contains(nodes_[node_index].voter) || is_quorum(set, remaining);
    };
    for (const auto& node : nodes_) {
        if (!keeps_quorum(node.disk.log().voters()))
            return false;
        if (node.alive() && !keeps_quorum(node.core->log.voters()))
            return false;
    }
    return true;
}

void simulation::check_convergence()
{
    const auto leaders = std::count_if(nodes_.begin(), nodes_.end(), [](const auto& node) {
        return node.alive() && node.core->leads;
    });
    require(leaders == 1, "exactly one replica leads after all failures have ended");
    const auto leader = std::find_if(nodes_.begin(), nodes_.end(),
                                     [](const auto& node) { return node.core->leads; });
    require(leader->core->committed >= acknowledged_index_, "no acknowledged entry is lost");
    for (const auto& node : nodes_) {
        if (!all_members(leader->core->log.voters()).contains(node.voter))
            continue;
        require(node.core->applied.value() + 20 >= leader->core->applied.value(),
                "after all failures have ended " + node.voter.value() + " catches up");
    }
}

simulation_result run_simulation(const simulation_options& options)
{
    set_invariant_handler([](const std::string& text) { throw violation_error{text}; });
    auto result = simulation{options}.run();
    set_invariant_handler(nullptr);
    return result;
}

} // namespace galenaturn::ledger
