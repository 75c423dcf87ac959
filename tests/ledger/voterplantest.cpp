#include <galenaturn/ledger.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

namespace galenaturn::ledger {

/** Tests who forms a ledger and which voter changes the leader plans. */
class voter_plan_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(voter_plan_test);
    CPPUNIT_TEST(no_voter_is_changed_while_all_are_reachable);
    CPPUNIT_TEST(the_replacement_of_a_lost_disk_votes_before_the_lost_voter_is_removed);
    CPPUNIT_TEST(a_silent_voter_is_removed_only_when_its_replacement_votes);
    CPPUNIT_TEST(a_learner_is_promoted_once_it_has_caught_up);
    CPPUNIT_TEST(a_voter_that_responds_again_in_time_is_kept);
    CPPUNIT_TEST(a_failure_domain_with_too_many_voters_gives_one_up);
    CPPUNIT_TEST(a_learner_in_the_overfull_domain_keeps_no_candidate_out);
    CPPUNIT_TEST(a_learner_for_a_silent_voter_comes_from_its_domain);
    CPPUNIT_TEST(a_candidate_without_a_known_domain_comes_last);
    CPPUNIT_TEST(an_excess_voter_is_never_the_leader);
    CPPUNIT_TEST(a_voter_that_nothing_replaces_is_lost);
    CPPUNIT_TEST(newcomers_are_added_up_to_the_target_number_of_voters);
    CPPUNIT_TEST(exactly_one_ledger_forms_in_any_message_order);
    CPPUNIT_TEST(a_process_that_is_no_founder_forms_no_ledger);
    CPPUNIT_TEST(other_founders_have_other_voter_ids);
    CPPUNIT_TEST_SUITE_END();

    static voter_id voter(int number) { return voter_id{"v" + std::to_string(number)}; }
    static process_id process(int number) { return process_id{"p" + std::to_string(number)}; }

    static voter_plan_input three_voters()
    {
        voter_plan_input input;
        for (int number = 1; number <= 3; ++number) {
            input.set.voters.emplace(voter(number), process(number));
            input.silence[voter(number)] = duration{};
        }
        return input;
    }

    void no_voter_is_changed_while_all_are_reachable()
    {
        auto input = three_voters();
        input.candidates.emplace(voter(4), process(4));
        CPPUNIT_ASSERT(!plan_voter_change(input));
    }

    static void assert_change(const voter_plan_input& input, voter_change_kind kind,
                              const voter_id& changed)
    {
        const auto change = plan_voter_change(input);
        CPPUNIT_ASSERT(change.has_value());
        CPPUNIT_ASSERT(kind == change->kind);
        CPPUNIT_ASSERT_EQUAL(changed, change->voter);
    }

    /** Asserts that a learner takes the place of a voter, and carries that out. */
    static void assert_replacement(voter_plan_input& input, const voter_id& learner,
                                   const voter_id& replaced)
    {
        const auto change = plan_voter_change(input);
        CPPUNIT_ASSERT(change.has_value());
        CPPUNIT_ASSERT(voter_change_kind::replace == change->kind);
        CPPUNIT_ASSERT_EQUAL(learner, change->voter);
        CPPUNIT_ASSERT_EQUAL(replaced, change->replaced);
        input.set.former_voters = input.set.voters;
        input.set.voters.erase(replaced);
        input.set.voters.insert(*input.set.learners.find(learner));
        input.set.learners.erase(learner);
        assert_change(input, voter_change_kind::complete, {});
        input.set.former_voters.clear();
        CPPUNIT_ASSERT(!plan_voter_change(input));
    }

    void the_replacement_of_a_lost_disk_votes_before_the_lost_voter_is_removed()
    {
        auto input = three_voters();
        input.silence[voter(3)] = std::chrono::seconds{1};
        input.candidates.emplace(voter(13), process(3));
        assert_change(input, voter_change_kind::add_learner, voter(13));
        input.set.learners.emplace(voter(13), process(3));
        CPPUNIT_ASSERT(!plan_voter_change(input));
        input.caught_up.push_back(voter(13));
        // Its process no longer announces the new voter, so the silence has to tell.
        input.candidates.clear();
        input.silence[voter(3)] = max_voter_silence + std::chrono::milliseconds{1};
        assert_replacement(input, voter(13), voter(3));
    }

    void a_silent_voter_is_removed_only_when_its_replacement_votes()
    {
        auto input = three_voters();
        input.silence[voter(2)] = max_voter_silence + std::chrono::seconds{1};
        CPPUNIT_ASSERT(!plan_voter_change(input));
        input.candidates.emplace(voter(4), process(4));
        assert_change(input, voter_change_kind::add_learner, voter(4));
        input.candidates.clear();
        input.set.learners.emplace(voter(4), process(4));
        CPPUNIT_ASSERT(!plan_voter_change(input));
        input.caught_up.push_back(voter(4));
        assert_replacement(input, voter(4), voter(2));
    }

    void a_voter_that_responds_again_in_time_is_kept()
    {
        auto input = three_voters();
        input.silence[voter(2)] = learner_delay + std::chrono::milliseconds{1};
        input.candidates.emplace(voter(4), process(4));
        assert_change(input, voter_change_kind::add_learner, voter(4));
        input.candidates.clear();
        input.set.learners.emplace(voter(4), process(4));
        input.caught_up.push_back(voter(4));
        input.silence[voter(2)] = max_voter_silence;
        CPPUNIT_ASSERT(!plan_voter_change(input));
        input.silence[voter(2)] = duration{};
        CPPUNIT_ASSERT(!plan_voter_change(input));
    }

    void a_failure_domain_with_too_many_voters_gives_one_up()
    {
        auto input = three_voters();
        input.leader = voter(1);
        for (int number = 1; number <= 4; ++number)
            input.domains[process(number)] =
                failure_domain_id{"d" + std::to_string(number == 3 ? 1 : number)};
        input.candidates.emplace(voter(4), process(4));
        assert_change(input, voter_change_kind::add_learner, voter(4));
        input.candidates.clear();
        input.set.learners.emplace(voter(4), process(4));
        input.caught_up.push_back(voter(4));
        assert_replacement(input, voter(4), voter(3));
    }

    /** Domain d1 holds two of three voters and a learner that was not needed after all. */
    void a_learner_in_the_overfull_domain_keeps_no_candidate_out()
    {
        auto input = three_voters();
        input.leader = voter(1);
        for (int number = 1; number <= 5; ++number)
            input.domains[process(number)] =
                failure_domain_id{number == 2 ? "d2" : (number == 5 ? "d3" : "d1")};
        input.set.learners.emplace(voter(4), process(4));
        input.caught_up.push_back(voter(4));
        input.candidates.emplace(voter(5), process(5));
        assert_change(input, voter_change_kind::add_learner, voter(5));
    }

    /** Voter 3 of d3 may be lost. A learner in d1 would lead to two voters in one domain. */
    void a_learner_for_a_silent_voter_comes_from_its_domain()
    {
        auto input = three_voters();
        input.leader = voter(1);
        for (int number = 1; number <= 5; ++number)
            input.domains[process(number)] = failure_domain_id{
                "d" + std::to_string(number == 4 ? 1 : (number == 5 ? 3 : number))};
        input.silence[voter(3)] = learner_delay + std::chrono::milliseconds{1};
        input.candidates.emplace(voter(4), process(4));
        input.candidates.emplace(voter(5), process(5));
        assert_change(input, voter_change_kind::add_learner, voter(5));
    }

    /** The leader has no link to a process that its roster does not contain yet. */
    void a_candidate_without_a_known_domain_comes_last()
    {
        auto input = three_voters();
        input.leader = voter(1);
        for (const int number : {1, 2, 3, 5})
            input.domains[process(number)] =
                failure_domain_id{"d" + std::to_string(number == 5 ? 3 : number)};
        input.silence[voter(3)] = max_voter_silence + std::chrono::milliseconds{1};
        input.candidates.emplace(voter(4), process(4));
        input.candidates.emplace(voter(5), process(5));
        assert_change(input, voter_change_kind::add_learner, voter(5));
    }

    void an_excess_voter_is_never_the_leader()
    {
        auto input = three_voters();
        input.set.voters.emplace(voter(4), process(4));
        for (int number = 1; number <= 4; ++number) {
            input.leader = voter(number);
            const auto change = plan_voter_change(input);
            CPPUNIT_ASSERT(change && change->kind == voter_change_kind::remove);
            CPPUNIT_ASSERT(change->voter != input.leader);
        }
    }

    void a_learner_is_promoted_once_it_has_caught_up()
    {
        auto input = three_voters();
        input.set.voters.erase(voter(3));
        input.set.learners.emplace(voter(13), process(3));
        input.silence[voter(13)] = duration{};
        CPPUNIT_ASSERT(!plan_voter_change(input));
        input.caught_up.push_back(voter(13));
        const auto change = plan_voter_change(input);
        CPPUNIT_ASSERT(change && change->kind == voter_change_kind::promote);
    }

    /** A process that ended at each start was noticed by nobody. */
    void a_voter_that_nothing_replaces_is_lost()
    {
        auto input = three_voters();
        CPPUNIT_ASSERT(lost_voters(input).empty());
        input.silence[voter(3)] = max_voter_silence + std::chrono::milliseconds{1};
        CPPUNIT_ASSERT(!plan_voter_change(input));
        const auto lost = lost_voters(input);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lost.size());
        CPPUNIT_ASSERT_EQUAL(process(3), lost.at(voter(3)));
    }

    void newcomers_are_added_up_to_the_target_number_of_voters()
    {
        auto input = three_voters();
        input.target_voters = 5;
        input.candidates.emplace(voter(4), process(4));
        const auto change = plan_voter_change(input);
        CPPUNIT_ASSERT(change && change->kind == voter_change_kind::add_learner);
    }

    void exactly_one_ledger_forms_in_any_message_order()
    {
        std::mt19937 random{7}; // NOLINT(cert-msc32-c,cert-msc51-cpp): repeatable
        for (int round = 0; round < 200; ++round) {
            const time_point now{std::chrono::hours{1}};
            std::vector<bootstrap_state> states(3);
            for (int number = 0; number < 3; ++number) {
                states[number].self = process(number);
                states[number].voter = voter(number);
                states[number].founders = {process(2), process(0), process(1)};
            }
            std::vector<std::pair<int, int>> messages;
            for (int from = 0; from < 3; ++from) {
                for (int to = 0; to < 3; ++to) {
                    if (from != to)
                        messages.emplace_back(from, to);
                }
            }
            std::shuffle(messages.begin(), messages.end(), random);
            int formed = 0;
            for (const auto& [from, to] : messages) {
                states[to].last_messages[process(from)] = {{process(from), voter(from), formed > 0},
                                                           now};
                if (formed == 0 && initial_voters(states[to], now))
                    ++formed;
                else
                    CPPUNIT_ASSERT(formed == 0 || to == 0 || !initial_voters(states[to], now));
            }
            CPPUNIT_ASSERT_EQUAL(1, formed);
        }
    }

    void a_process_that_is_no_founder_forms_no_ledger()
    {
        bootstrap_state state;
        state.self = process(4);
        state.voter = voter(4);
        CPPUNIT_ASSERT(!initial_voters(state, time_point{}));
        state.founders = {process(5)};
        CPPUNIT_ASSERT(!initial_voters(state, time_point{}));
    }

    void other_founders_have_other_voter_ids()
    {
        const auto three = founder_voters({process(1), process(2), process(3)});
        CPPUNIT_ASSERT(three == founder_voters({process(3), process(1), process(2)}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, three.voters.size());
        const auto other = founder_voters({process(1), process(2), process(4)});
        for (const auto& [voter, process] : other.voters)
            CPPUNIT_ASSERT(!three.voters.contains(voter));
        CPPUNIT_ASSERT(founder_voters({}).voters.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(voter_plan_test);

} // namespace galenaturn::ledger
