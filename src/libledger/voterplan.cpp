#include "voterplan.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace galenaturn::ledger {

namespace {

duration silence_of(const voter_plan_input& input, const voter_id& voter)
{
    const auto entry = input.silence.find(voter);
    return entry == input.silence.end() ? duration{} : entry->second;
}

/** Returns whether the process announced another voter, which it does only after losing its disk.
 */
bool has_lost_disk(const voter_plan_input& input, const voter_id& voter, const process_id& process)
{
    return !input.candidates.contains(voter) &&
           std::any_of(input.candidates.begin(), input.candidates.end(),
                       [&](const auto& candidate) { return candidate.second == process; });
}

bool is_lost(const voter_plan_input& input, const voter_id& voter, const process_id& process)
{
    return silence_of(input, voter) > max_voter_silence || has_lost_disk(input, voter, process);
}

bool may_be_lost(const voter_plan_input& input, const voter_id& voter, const process_id& process)
{
    return silence_of(input, voter) > learner_delay || has_lost_disk(input, voter, process);
}

failure_domain_id domain_of(const voter_plan_input& input, const process_id& process)
{
    const auto domain = input.domains.find(process);
    return domain == input.domains.end() ? failure_domain_id{} : domain->second;
}

std::map<failure_domain_id, std::size_t> voters_by_domain(const voter_plan_input& input)
{
    std::map<failure_domain_id, std::size_t> counts;
    for (const auto& [voter, process] : input.set.voters)
        counts[domain_of(input, process)] += is_lost(input, voter, process) ? 0 : 1;
    return counts;
}

/** Returns a failure domain that has more voters than may be lost; empty if there is none. */
failure_domain_id overfull_domain(const voter_plan_input& input)
{
    for (const auto& [domain, count] : voters_by_domain(input)) {
        if (!domain.empty() && count > (input.target_voters - 1) / 2)
            return domain;
    }
    return {};
}

/** Returns whether one more voter in the domain of `process` improves the spread. */
bool relieves_overfull_domain(const voter_plan_input& input, const process_id& process)
{
    const auto domain = domain_of(input, process);
    const auto counts = voters_by_domain(input);
    const auto count = counts.find(domain);
    return !domain.empty() && !overfull_domain(input).empty() &&
           (count == counts.end() || count->second < (input.target_voters - 1) / 2);
}

/**
 * Returns the process in the failure domain with the fewest voters that are not suspected to be
 * lost. Processes of unknown domains come last.
 */
std::map<voter_id, process_id>::const_iterator
in_emptiest_domain(const voter_plan_input& input, const std::map<voter_id, process_id>& processes)
{
    std::map<failure_domain_id, std::size_t> counts;
    for (const auto& [voter, process] : input.set.voters)
        counts[domain_of(input, process)] += may_be_lost(input, voter, process) ? 0 : 1;
    const auto rank = [&](const process_id& process) {
        const auto domain = domain_of(input, process);
        return std::pair{domain.empty(), counts[domain]};
    };
    return std::min_element(processes.begin(), processes.end(),
                            [&](const auto& left, const auto& right) {
                                return rank(left.second) < rank(right.second);
                            });
}

std::optional<voter_change> remove_learner(const voter_plan_input& input)
{
    for (const auto& [voter, process] : input.set.learners) {
        if (silence_of(input, voter) > max_learner_silence || has_lost_disk(input, voter, process))
            return voter_change{voter_change_kind::remove, voter, process, {}};
    }
    return std::nullopt;
}

std::optional<voter_change> complete_replacement(const voter_plan_input& input)
{
    if (!is_joint(input.set))
        return std::nullopt;
    return voter_change{voter_change_kind::complete, {}, {}, {}};
}

/**
 * Returns the voter that the group misses least, never the leader: a lost one, then one of the
 * failure domain with the most voters.
 */
std::pair<voter_id, process_id> least_needed_voter(const voter_plan_input& input)
{
    auto counts = voters_by_domain(input);
    const auto rank = [&](const auto& member) {
        const auto& [voter, process] = member;
        const bool lost = is_lost(input, voter, process);
        return std::tuple{voter != input.leader, lost,
                          lost ? std::size_t{0} : counts[domain_of(input, process)],
                          silence_of(input, voter)};
    };
    const auto& voters = input.set.voters;
    return *std::max_element(
        voters.begin(), voters.end(),
        [&](const auto& left, const auto& right) { return rank(left) < rank(right); });
}

std::optional<voter_change> remove_excess_voter(const voter_plan_input& input)
{
    if (input.set.voters.size() <= input.target_voters)
        return std::nullopt;
    const auto [voter, process] = least_needed_voter(input);
    return voter_change{voter_change_kind::remove, voter, process, {}};
}

/** A learner takes the place of a lost voter, or fills a place that is free. */
std::optional<voter_change> promote_learner(const voter_plan_input& input)
{
    const auto& voters = input.set.voters;
    const bool any_lost = std::any_of(voters.begin(), voters.end(), [&](const auto& member) {
        return is_lost(input, member.first, member.second);
    });
    const bool missing = voters.size() < input.target_voters;
    std::map<voter_id, process_id> eligible;
    for (const auto& voter : input.caught_up) {
        const auto learner = input.set.learners.find(voter);
        if (learner != input.set.learners.end() &&
            silence_of(input, voter) <= max_promotion_silence &&
            (missing || any_lost || relieves_overfull_domain(input, learner->second)))
            eligible.insert(*learner);
    }
    if (eligible.empty())
        return std::nullopt;
    const auto& [voter, process] = *in_emptiest_domain(input, eligible);
    if (missing && !any_lost)
        return voter_change{voter_change_kind::promote, voter, process, {}};
    return voter_change{voter_change_kind::replace, voter, process,
                        least_needed_voter(input).first};
}

/** A learner that does not respond keeps no other candidate out. */
std::optional<voter_change> add_learner(const voter_plan_input& input)
{
    const auto& voters = input.set.voters;
    const auto& learners = input.set.learners;
    const auto responds = [&](const auto& member) {
        return !may_be_lost(input, member.first, member.second);
    };
    const auto learns = [&](const auto& learner) {
        const bool unanswered = std::find(input.unanswered.begin(), input.unanswered.end(),
                                          learner.first) != input.unanswered.end();
        return responds(learner) &&
               (!unanswered || silence_of(input, learner.first) <= first_response_timeout);
    };
    const auto sound = std::count_if(voters.begin(), voters.end(), responds);
    const auto learning = std::count_if(learners.begin(), learners.end(), learns);
    const bool needed = static_cast<std::size_t>(sound + learning) < input.target_voters;
    const bool relief_learns =
        std::any_of(learners.begin(), learners.end(), [&](const auto& learner) {
            return learns(learner) && relieves_overfull_domain(input, learner.second);
        });
    std::map<voter_id, process_id> eligible;
    for (const auto& [voter, process] : input.candidates) {
        const bool is_learner = std::any_of(
            learners.begin(), learners.end(),
            [&process = process](const auto& learner) { return learner.second == process; });
        const bool relieves = !relief_learns && relieves_overfull_domain(input, process);
        if (!is_learner && (needed || relieves))
            eligible.emplace(voter, process);
    }
    if (eligible.empty())
        return std::nullopt;
    const auto& [voter, process] = *in_emptiest_domain(input, eligible);
    return voter_change{voter_change_kind::add_learner, voter, process, {}};
}

} // namespace

std::optional<voter_change> plan_voter_change(const voter_plan_input& input)
{
    for (const auto plan : {complete_replacement, remove_learner, remove_excess_voter,
                            promote_learner, add_learner}) {
        if (auto change = plan(input))
            return change;
    }
    return std::nullopt;
}

std::map<voter_id, process_id> lost_voters(const voter_plan_input& input)
{
    std::map<voter_id, process_id> lost;
    for (const auto& [voter, process] : input.set.voters) {
        if (is_lost(input, voter, process))
            lost.emplace(voter, process);
    }
    return lost;
}

leader_contact contact_with_leader(const replica& self, const process_id& reported_leader)
{
    const bool needs_leader = self.log.last_index().value() > 0 && is_member(self, self.self);
    if (!needs_leader || self.leads || !self.leader.empty())
        return leader_contact::known;
    return reported_leader.empty() ? leader_contact::missing : leader_contact::not_contacted;
}

voter_contacts count_contacts(const replica& self, const std::map<voter_id, process_id>& announced)
{
    voter_contacts contacts;
    for (const auto& [voter, process] : all_voters(self.log.voters())) {
        ++contacts.voters;
        const bool responds = voter == self.self || announced.contains(voter);
        const bool replaced = !responds && std::any_of(announced.begin(), announced.end(),
                                                       [&process = process](const auto& other) {
                                                           return other.second == process;
                                                       });
        contacts.responding += responds ? 1 : 0;
        contacts.lost_disks += replaced ? 1 : 0;
    }
    return contacts;
}

voter_plan_input make_voter_plan_input(const replica& leader, time_point now,
                                       std::map<voter_id, process_id> candidates,
                                       std::map<process_id, failure_domain_id> domains,
                                       std::size_t target_voters)
{
    voter_plan_input input;
    input.set = leader.log.voters();
    input.leader = leader.self;
    input.target_voters = target_voters;
    input.candidates = std::move(candidates);
    input.domains = std::move(domains);
    std::erase_if(input.candidates, [&](const auto& candidate) {
        return all_members(input.set).contains(candidate.first);
    });
    for (const auto& [member, process] : all_members(input.set)) {
        const auto progress = leader.progress.find(member);
        const auto last_contact =
            progress == leader.progress.end() ? now : progress->second.last_contact;
        input.silence[member] = member == leader.self ? duration{} : now - last_contact;
        if (progress != leader.progress.end() && progress->second.acknowledged_round == 0)
            input.unanswered.push_back(member);
        if (has_caught_up(leader, member))
            input.caught_up.push_back(member);
    }
    return input;
}

} // namespace galenaturn::ledger
