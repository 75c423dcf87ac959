#include <galenaturn/ledger.h>

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::ledger {

/** Tests single replicas by the messages they receive. */
class replica_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(replica_test);
    CPPUNIT_TEST(an_entry_of_an_earlier_term_is_not_committed_by_counting_replicas);
    CPPUNIT_TEST(a_leader_without_a_quorum_serves_no_reads_and_steps_down);
    CPPUNIT_TEST(a_read_is_confirmed_by_a_quorum_that_responds_to_a_later_round);
    CPPUNIT_TEST(a_read_of_a_leader_whose_clock_stands_still_is_not_confirmed_after_its_term);
    CPPUNIT_TEST(a_read_while_a_voter_is_replaced_needs_both_majorities);
    CPPUNIT_TEST(a_leader_of_a_later_term_within_a_lease_is_reported);
    CPPUNIT_TEST(a_leader_of_which_a_read_round_tells_first_is_reported_too);
    CPPUNIT_TEST(a_candidate_that_hears_of_its_leader_votes_only_after_the_lease);
    CPPUNIT_TEST(a_replica_that_restarts_withholds_its_vote_for_the_election_timeout);
    CPPUNIT_TEST(no_second_leader_is_elected_within_the_lease_of_the_first);
    CPPUNIT_TEST(a_leader_whose_disk_writes_nothing_steps_down);
    CPPUNIT_TEST(a_leader_with_a_slow_disk_or_nothing_to_write_stays);
    CPPUNIT_TEST(a_previous_leader_that_has_just_voted_counts_as_reachable);
    CPPUNIT_TEST(a_leader_of_long_ago_is_not_silent_since_then);
    CPPUNIT_TEST(a_replica_that_returns_from_isolation_does_not_depose_the_leader);
    CPPUNIT_TEST(a_voter_whose_own_removal_is_not_committed_is_elected_by_the_others);
    CPPUNIT_TEST(a_voter_whose_own_removal_is_overwritten_is_a_voter_again);
    CPPUNIT_TEST(a_voter_whose_own_removal_is_committed_does_not_campaign);
    CPPUNIT_TEST(a_learner_whose_removal_is_not_committed_does_not_campaign);
    CPPUNIT_TEST(a_replaced_voter_beside_a_leader_reports_no_lost_quorum);
    CPPUNIT_TEST(a_refused_voter_change_gives_its_reason);
    CPPUNIT_TEST(no_change_of_voters_depends_on_the_newest_one);
    CPPUNIT_TEST(a_joint_set_is_read_back_and_other_sets_keep_their_format);
    CPPUNIT_TEST(only_the_lowest_process_forms_a_ledger_and_only_when_no_process_has_a_log);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        findings found;
        chart_ = load_chart(std::string{GALENATURN_SOURCE_DIR} + "/charts", "replica",
                            replica_actions(), found);
        CPPUNIT_ASSERT_EQUAL(std::string{}, found.text());
        for (const auto* name : {"a", "b", "c"})
            voters_.voters.emplace(voter_id{name}, process_id{name});
    }

private:
    state_chart chart_;
    voter_set voters_;
    time_point now_{std::chrono::hours{1}};

    replica make(const std::string& name, replica_faults faults = {}, bool with_old_entry = false)
    {
        replica_start start;
        start.self = voter_id{name};
        start.hard = hard_state{term{1}, voter_id{}};
        start.log.append(initial_log_batch(voters_).entries.front());
        if (with_old_entry)
            start.log.append({term{1}, log_index{2}, entry_kind::command, "old"});
        start.faults = faults;
        start.chart = &chart_;
        start.seed = 1;
        return make_replica(std::move(start), now_);
    }

    effects from(replica& self, const std::string& sender, term sender_term, message_body body)
    {
        return receive(self, now_, {voter_id{sender}, self.self, sender_term, std::move(body)});
    }

    /** Makes `self` the leader of term 2 with the vote of b. */
    effects elect(replica& self)
    {
        now_ += std::chrono::seconds{3};
        tick(self, now_);
        CPPUNIT_ASSERT_EQUAL(std::string{"trial"}, self.role);
        from(self, "b", term{1}, vote_response{true, term{2}, true});
        CPPUNIT_ASSERT_EQUAL(std::string{"candidate"}, self.role);
        from(self, "a", term{2}, vote_response{false, term{2}, true});
        return from(self, "b", term{2}, vote_response{false, term{2}, true});
    }

    void acknowledge(replica& self, const std::string& sender, std::uint64_t index)
    {
        from(self, sender, self.hard.current_term,
             append_response{true, log_index{index}, self.last_round, 1});
    }

    void an_entry_of_an_earlier_term_is_not_committed_by_counting_replicas()
    {
        for (const bool faulty : {false, true}) {
            replica_faults faults;
            faults.commits_earlier_terms = faulty;
            auto leader = make("a", faults, true);
            elect(leader);
            acknowledge(leader, "a", 3);
            acknowledge(leader, "b", 2);
            CPPUNIT_ASSERT_EQUAL(log_index{faulty ? 2U : 0U}, leader.committed);
            acknowledge(leader, "b", 3);
            CPPUNIT_ASSERT_EQUAL(log_index{3}, leader.committed);
        }
    }

    void a_leader_without_a_quorum_serves_no_reads_and_steps_down()
    {
        auto leader = make("a");
        elect(leader);
        CPPUNIT_ASSERT(!may_read(leader, now_));
        acknowledge(leader, "a", 2);
        acknowledge(leader, "b", 2);
        CPPUNIT_ASSERT(may_read(leader, now_));
        now_ += leader.options.lease;
        CPPUNIT_ASSERT(!may_read(leader, now_));
        now_ += leader.options.election_timeout;
        const auto done = tick(leader, now_);
        CPPUNIT_ASSERT(done.role_changed && !leader.leads);
    }

    std::uint64_t begin_read_at(replica& leader)
    {
        std::uint64_t round = 0;
        const auto done = begin_read(leader, now_, round);
        CPPUNIT_ASSERT(!done.messages.empty());
        return round;
    }

    void a_read_is_confirmed_by_a_quorum_that_responds_to_a_later_round()
    {
        auto leader = make("a");
        elect(leader);
        const auto before_commit = begin_read_at(leader);
        from(leader, "b", term{2}, append_response{true, log_index{1}, before_commit, 1});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, confirmed_round(leader));
        acknowledge(leader, "a", 2);
        acknowledge(leader, "b", 2);
        CPPUNIT_ASSERT_EQUAL(before_commit, confirmed_round(leader));
        const auto round = begin_read_at(leader);
        from(leader, "b", term{2}, append_response{true, log_index{2}, before_commit, 1});
        CPPUNIT_ASSERT_EQUAL(before_commit, confirmed_round(leader));
        from(leader, "c", term{2}, append_response{false, log_index{1}, round, 1});
        CPPUNIT_ASSERT_EQUAL(round, confirmed_round(leader));
    }

    void a_read_of_a_leader_whose_clock_stands_still_is_not_confirmed_after_its_term()
    {
        for (const bool faulty : {false, true}) {
            replica_faults faults;
            faults.reads_without_round = faulty;
            auto leader = make("a", faults);
            elect(leader);
            acknowledge(leader, "a", 2);
            acknowledge(leader, "b", 2);
            // The VM is suspended, others elect a leader, and no clock here shows that.
            CPPUNIT_ASSERT(may_read(leader, now_));
            const auto round = begin_read_at(leader);
            CPPUNIT_ASSERT_EQUAL(faulty, confirmed_round(leader) >= round);
            from(leader, "b", term{3}, append_response{false, {}, 0, 1});
            CPPUNIT_ASSERT(!leader.leads && confirmed_round(leader) == 0);
        }
    }

    void a_read_while_a_voter_is_replaced_needs_both_majorities()
    {
        auto leader = make("a");
        elect(leader);
        acknowledge(leader, "a", 2);
        acknowledge(leader, "b", 2);
        refusal_reason reason;
        change_voters(leader, now_,
                      {voter_change_kind::add_learner, voter_id{"d"}, process_id{"d"}, {}}, reason);
        CPPUNIT_ASSERT_EQUAL(std::string{}, reason);
        for (const auto* member : {"a", "b", "d"})
            acknowledge(leader, member, 3);
        tick(leader, now_ += leader.options.heartbeat_interval);
        for (const auto* member : {"a", "b", "d"})
            acknowledge(leader, member, 3);
        change_voters(leader, now_,
                      {voter_change_kind::replace, voter_id{"d"}, process_id{"d"}, voter_id{"c"}},
                      reason);
        CPPUNIT_ASSERT_EQUAL(std::string{}, reason);
        const auto round = begin_read_at(leader);
        acknowledge(leader, "d", 3);
        CPPUNIT_ASSERT(confirmed_round(leader) < round);
        acknowledge(leader, "c", 2);
        CPPUNIT_ASSERT_EQUAL(round, confirmed_round(leader));
    }

    void a_leader_of_a_later_term_within_a_lease_is_reported()
    {
        for (const bool lapsed : {false, true}) {
            auto leader = make("a");
            elect(leader);
            acknowledge(leader, "a", 2);
            acknowledge(leader, "b", 2);
            now_ += lapsed ? leader.options.lease : std::chrono::milliseconds{300};
            const auto left = leader.lease_expires - now_;
            const auto done = from(leader, "c", term{3}, append_request{});
            CPPUNIT_ASSERT(!leader.leads && done.lease_left == left);
            CPPUNIT_ASSERT_EQUAL(voter_id{lapsed ? "" : "c"}, done.contradicting_leader);
        }
    }

    /** A leader that woke within its lease learnt of the later term from an answer to its round. */
    void a_leader_of_which_a_read_round_tells_first_is_reported_too()
    {
        auto leader = make("a");
        elect(leader);
        acknowledge(leader, "a", 2);
        acknowledge(leader, "b", 2);
        now_ += std::chrono::milliseconds{300};
        begin_read_at(leader);
        const auto answered = from(leader, "b", term{3}, append_response{false, {}, 0, 1});
        CPPUNIT_ASSERT(!leader.leads && answered.lease_left > duration{});
        const auto heard = from(leader, "c", term{3}, append_request{});
        CPPUNIT_ASSERT(!answered.contradicting_leader.empty() ||
                       !heard.contradicting_leader.empty());
    }

    append_request heartbeat_of(const replica& leader) const
    {
        const auto& log = leader.log;
        return {log.last_index(), log.last_term(), leader.committed, leader.last_round, 1, {}};
    }

    /** Lets a candidate hear of its leader. Returns whether it campaigns within its promise. */
    bool campaigns_within_its_promise(replica_faults faults)
    {
        auto follower = make("a", faults, true);
        now_ += std::chrono::seconds{3};
        tick(follower, now_);
        CPPUNIT_ASSERT_EQUAL(std::string{"trial"}, follower.role);
        const auto confirmed = now_;
        from(follower, "b", term{1},
             append_request{log_index{2}, term{1}, log_index{2}, 1, follower.incarnation, {}});
        CPPUNIT_ASSERT_EQUAL(std::string{"follower"}, follower.role);
        while (now_ < confirmed + follower.options.election_timeout) {
            tick(follower, now_);
            if (follower.role != "follower")
                return true;
            now_ += std::chrono::milliseconds{10};
        }
        now_ += follower.options.election_spread;
        tick(follower, now_);
        CPPUNIT_ASSERT_EQUAL(std::string{"trial"}, follower.role);
        return false;
    }

    /** Guards against a vote of a replica for itself within the lease that it has confirmed. */
    void a_candidate_that_hears_of_its_leader_votes_only_after_the_lease()
    {
        replica_faults faults;
        CPPUNIT_ASSERT(!campaigns_within_its_promise(faults));
        faults.ignores_own_promise = true;
        CPPUNIT_ASSERT(campaigns_within_its_promise(faults));
    }

    /** Guards against a second leader that is elected within a lease confirmed before a restart. */
    void a_replica_that_restarts_withholds_its_vote_for_the_election_timeout()
    {
        for (const bool faulty : {false, true}) {
            replica_faults faults;
            faults.forgets_promise_at_start = faulty;
            const auto votes_after = [&](duration span) {
                auto self = make("a", faults);
                now_ += span;
                from(self, "b", term{2}, vote_request{false, term{2}, log_index{1}, term{1}});
                return self.hard.voted_for == voter_id{"b"};
            };
            const auto timeout = replica_options{}.election_timeout;
            CPPUNIT_ASSERT_EQUAL(faulty, votes_after(duration{}));
            CPPUNIT_ASSERT_EQUAL(faulty, votes_after(timeout - duration{1}));
            CPPUNIT_ASSERT(votes_after(timeout));
        }
    }

    /** Guards against reads of a leader that lack the commits of another one. */
    void no_second_leader_is_elected_within_the_lease_of_the_first()
    {
        auto first = make("a");
        elect(first);
        acknowledge(first, "a", 2);
        acknowledge(first, "b", 2);
        // b and c have heard nothing for longer than the election timeout; b has asked for votes.
        auto other = make("b");
        other.hard.current_term = term{2};
        other.log.append({term{2}, log_index{2}, entry_kind::empty, {}});
        now_ += std::chrono::seconds{2};
        tick(other, now_);
        CPPUNIT_ASSERT_EQUAL(std::string{"trial"}, other.role);
        // A heartbeat reaches b alone, and nothing else passes from then on.
        first.heartbeat_due = now_;
        first.progress.at(voter_id{"b"}).last_contact = now_;
        tick(first, now_);
        from(other, "a", term{2}, heartbeat_of(first));
        acknowledge(first, "b", 2);
        const auto lapses = first.lease_expires;
        CPPUNIT_ASSERT(may_read(first, now_));
        for (; now_ < lapses; now_ += std::chrono::milliseconds{10}) {
            tick(other, now_);
            if (other.role == "trial")
                from(other, "c", term{2}, vote_response{true, term{3}, true});
            if (other.role == "candidate") {
                from(other, "b", term{3}, vote_response{false, term{3}, true});
                from(other, "c", term{3}, vote_response{false, term{3}, true});
            }
            CPPUNIT_ASSERT(!other.leads);
        }
    }

    /** Lets time pass while b responds to heartbeats; a syncs nothing. */
    void run_without_own_sync(replica& leader, duration span)
    {
        for (const auto until = now_ + span; now_ < until;) {
            now_ += std::chrono::milliseconds{50};
            tick(leader, now_);
            acknowledge(leader, "b", leader.log.last_index().value());
        }
    }

    void a_leader_whose_disk_writes_nothing_steps_down()
    {
        auto leader = make("a");
        elect(leader);
        acknowledge(leader, "a", 2);
        std::vector<log_index> indexes;
        propose(leader, now_, {"command"}, indexes);
        run_without_own_sync(leader,
                             leader.options.max_own_sync_time - std::chrono::milliseconds{50});
        CPPUNIT_ASSERT(leader.leads && may_read(leader, now_));
        run_without_own_sync(leader, std::chrono::milliseconds{50});
        CPPUNIT_ASSERT(!leader.leads && !may_read(leader, now_));
        // It is no candidate before its disk has written its log: the requests wait for that.
        now_ += std::chrono::seconds{2};
        const auto done = tick(leader, now_);
        CPPUNIT_ASSERT_EQUAL(std::string{"trial"}, leader.role);
        CPPUNIT_ASSERT(done.messages.empty() && !done.after_sync.empty());
    }

    void a_leader_with_a_slow_disk_or_nothing_to_write_stays()
    {
        auto leader = make("a");
        elect(leader);
        std::vector<log_index> indexes;
        for (int write = 0; write < 10; ++write) {
            // The sync that ends covers the entries before this one, so some entry always waits.
            const auto synced = leader.log.last_index().value();
            propose(leader, now_, {"command"}, indexes);
            run_without_own_sync(leader, std::chrono::milliseconds{2500});
            CPPUNIT_ASSERT(leader.leads);
            acknowledge(leader, "a", synced);
        }
        acknowledge(leader, "a", leader.log.last_index().value());
        run_without_own_sync(leader, std::chrono::minutes{1});
        CPPUNIT_ASSERT(leader.leads);
        propose(leader, now_, {"command"}, indexes);
        run_without_own_sync(leader, std::chrono::milliseconds{2500});
        CPPUNIT_ASSERT(leader.leads);
    }

    void follow_for_a_moment(replica& self, const std::string& leader)
    {
        from(self, leader, self.hard.current_term,
             append_request{self.log.last_index(), self.log.last_term(), {}, 1, 0, {}});
    }

    /** With c down, b stopped for a second, was the leader before, and has voted for a. */
    void a_previous_leader_that_has_just_voted_counts_as_reachable()
    {
        auto leader = make("a");
        follow_for_a_moment(leader, "b");
        elect(leader);
        CPPUNIT_ASSERT(leader.leads);
        now_ += std::chrono::milliseconds{5};
        tick(leader, now_);
        CPPUNIT_ASSERT_MESSAGE("stepped down 5 ms after the election", leader.leads);
        const auto input = make_voter_plan_input(leader, now_, {}, {}, 3);
        const auto silence = input.silence.at(voter_id{"b"});
        CPPUNIT_ASSERT_MESSAGE(std::to_string(silence.count()) + " us",
                               silence < max_voter_silence);
    }

    /** a led for an hour since b, a sound follower, had led; then a is elected again. */
    void a_leader_of_long_ago_is_not_silent_since_then()
    {
        auto leader = make("a");
        follow_for_a_moment(leader, "b");
        elect(leader);
        acknowledge(leader, "b", 2);
        for (int tick_number = 0; tick_number < 7200; ++tick_number) {
            now_ += std::chrono::milliseconds{500};
            tick(leader, now_);
            for (const auto* name : {"a", "b", "c"})
                acknowledge(leader, name, 2);
        }
        CPPUNIT_ASSERT(leader.leads);
        now_ += std::chrono::seconds{2};
        tick(leader, now_);
        CPPUNIT_ASSERT(!leader.leads);
        now_ += std::chrono::seconds{2};
        tick(leader, now_);
        from(leader, "c", term{2}, vote_response{true, term{3}, true});
        from(leader, "a", term{3}, vote_response{false, term{3}, true});
        from(leader, "c", term{3}, vote_response{false, term{3}, true});
        CPPUNIT_ASSERT(leader.leads);
        const auto input = make_voter_plan_input(leader, now_, {}, {}, 3);
        const auto silence = input.silence.at(voter_id{"b"});
        CPPUNIT_ASSERT_MESSAGE(std::to_string(silence.count()) + " us",
                               silence < std::chrono::seconds{5});
    }

    void a_replica_that_returns_from_isolation_does_not_depose_the_leader()
    {
        auto isolated = make("c");
        for (int round = 0; round < 100; ++round) {
            now_ += std::chrono::seconds{3};
            tick(isolated, now_);
        }
        CPPUNIT_ASSERT_EQUAL(term{1}, isolated.hard.current_term);
        auto leader = make("a");
        elect(leader);
        acknowledge(leader, "a", 2);
        acknowledge(leader, "b", 2);
        const auto done =
            from(leader, "c", term{1}, vote_request{false, term{9}, log_index{9}, term{9}});
        CPPUNIT_ASSERT(leader.leads && done.messages.empty() && done.after_sync.empty());
        CPPUNIT_ASSERT_EQUAL(term{2}, leader.hard.current_term);
    }

    /** Makes replica a with the entries of `sets` after the initial one, all of term 1. */
    replica make_with_voter_sets(const std::vector<voter_set>& sets)
    {
        auto self = make("a");
        for (const auto& set : sets)
            self.log.append(
                {term{1}, self.log.last_index().next(), entry_kind::voters, wire::encode(set)});
        return self;
    }

    /** Returns the voter set after the removal of a. */
    [[nodiscard]] voter_set without_a() const
    {
        auto set = voters_;
        set.voters.erase(voter_id{"a"});
        return set;
    }

    /** b and c lack the removal, which a wrote as leader before all lost power. */
    void a_voter_whose_own_removal_is_not_committed_is_elected_by_the_others()
    {
        auto removed = make_with_voter_sets({without_a()});
        now_ += std::chrono::seconds{3};
        const auto asked = tick(removed, now_);
        CPPUNIT_ASSERT_EQUAL(std::string{"trial"}, removed.role);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, asked.after_sync.size());
        // Two of b and c are needed: its own vote does not count.
        from(removed, "b", term{1}, vote_response{true, term{2}, true});
        CPPUNIT_ASSERT_EQUAL(std::string{"trial"}, removed.role);
        from(removed, "c", term{1}, vote_response{true, term{2}, true});
        CPPUNIT_ASSERT_EQUAL(std::string{"candidate"}, removed.role);
        from(removed, "a", term{2}, vote_response{false, term{2}, true});
        from(removed, "b", term{2}, vote_response{false, term{2}, true});
        CPPUNIT_ASSERT_EQUAL(std::string{"candidate"}, removed.role);
        from(removed, "c", term{2}, vote_response{false, term{2}, true});
        CPPUNIT_ASSERT(removed.leads);
        acknowledge(removed, "a", 3);
        acknowledge(removed, "b", 3);
        CPPUNIT_ASSERT(removed.leads && !may_read(removed, now_));
        CPPUNIT_ASSERT_EQUAL(log_index{0}, removed.committed);
        acknowledge(removed, "c", 3);
        CPPUNIT_ASSERT_EQUAL(log_index{3}, removed.committed);
        CPPUNIT_ASSERT(!removed.leads);
        assert_does_not_campaign(removed);
    }

    void assert_does_not_campaign(replica& self)
    {
        for (int round = 0; round < 5; ++round) {
            now_ += std::chrono::seconds{3};
            const auto done = tick(self, now_);
            CPPUNIT_ASSERT(done.messages.empty() && done.after_sync.empty());
            CPPUNIT_ASSERT_EQUAL(std::string{"follower"}, self.role);
        }
    }

    void a_voter_whose_own_removal_is_overwritten_is_a_voter_again()
    {
        auto removed = make_with_voter_sets({without_a()});
        now_ += std::chrono::seconds{3};
        tick(removed, now_);
        CPPUNIT_ASSERT_EQUAL(std::string{"trial"}, removed.role);
        from(
            removed, "b", term{2},
            append_request{
                log_index{1}, term{1}, {}, 1, 0, {{term{2}, log_index{2}, entry_kind::empty, {}}}});
        CPPUNIT_ASSERT_EQUAL(std::string{"follower"}, removed.role);
        CPPUNIT_ASSERT(is_member(removed, removed.self));
        // Its own vote counts again: that of b suffices.
        now_ += std::chrono::seconds{3};
        tick(removed, now_);
        from(removed, "b", term{2}, vote_response{true, term{3}, true});
        CPPUNIT_ASSERT_EQUAL(std::string{"candidate"}, removed.role);
    }

    void a_voter_whose_own_removal_is_committed_does_not_campaign()
    {
        auto told = make_with_voter_sets({without_a()});
        from(told, "b", term{1}, append_request{log_index{2}, term{1}, log_index{2}, 1, 0, {}});
        CPPUNIT_ASSERT_EQUAL(log_index{2}, told.committed);
        assert_does_not_campaign(told);
        auto compacted = make("a");
        compacted.log = replica_log{log_index{2}, term{1}, without_a()};
        compacted.committed = log_index{2};
        assert_does_not_campaign(compacted);
        // The set after the removal shows that the removal was committed.
        auto later = without_a();
        later.learners.emplace(voter_id{"d"}, process_id{"d"});
        auto followed = make_with_voter_sets({without_a(), later});
        assert_does_not_campaign(followed);
    }

    void a_learner_whose_removal_is_not_committed_does_not_campaign()
    {
        auto learning = without_a();
        learning.learners.emplace(voter_id{"a"}, process_id{"a"});
        auto learner = make_with_voter_sets({learning, without_a()});
        assert_does_not_campaign(learner);
    }

    void a_replaced_voter_beside_a_leader_reports_no_lost_quorum()
    {
        auto replaced = make("c");
        from(replaced, "a", term{2}, append_request{});
        CPPUNIT_ASSERT(contact_with_leader(replaced, {}) == leader_contact::known);
        now_ += std::chrono::seconds{3};
        tick(replaced, now_);
        CPPUNIT_ASSERT_EQUAL(std::string{"trial"}, replaced.role);
        CPPUNIT_ASSERT(contact_with_leader(replaced, {}) == leader_contact::missing);
        CPPUNIT_ASSERT(contact_with_leader(replaced, process_id{"b"}) ==
                       leader_contact::not_contacted);
        auto leader = make("a");
        elect(leader);
        CPPUNIT_ASSERT(contact_with_leader(leader, {}) == leader_contact::known);
    }

    void a_refused_voter_change_gives_its_reason()
    {
        auto leader = make("a");
        elect(leader);
        refusal_reason reason;
        const voter_change add{voter_change_kind::add_learner, voter_id{"d"}, process_id{"d"}, {}};
        change_voters(leader, now_, add, reason);
        CPPUNIT_ASSERT(reason.find("own term") != std::string::npos);
        acknowledge(leader, "a", 2);
        acknowledge(leader, "b", 2);
        change_voters(leader, now_, {voter_change_kind::remove, voter_id{"x"}, {}, {}}, reason);
        CPPUNIT_ASSERT_EQUAL(std::string{"'x' is not a member"}, reason);
        change_voters(leader, now_, add, reason);
        CPPUNIT_ASSERT_EQUAL(std::string{}, reason);
        change_voters(leader, now_, add, reason);
        CPPUNIT_ASSERT(reason.find("in progress") != std::string::npos);
        acknowledge(leader, "a", 3);
        acknowledge(leader, "b", 3);
        change_voters(leader, now_, {voter_change_kind::promote, voter_id{"d"}, {}, {}}, reason);
        CPPUNIT_ASSERT(reason.find("not caught up") != std::string::npos);
        // Only a responds any more: without b, one of the two remaining voters would respond.
        now_ += 2 * leader.options.election_timeout;
        change_voters(leader, now_, {voter_change_kind::remove, voter_id{"b"}, {}, {}}, reason);
        CPPUNIT_ASSERT(reason.find("would leave no quorum") != std::string::npos);
    }

    /** Lets time pass while a, b and learner d respond, and c does not. */
    void run_without_c(replica& leader, duration span)
    {
        for (const auto until = now_ + span; now_ < until;) {
            now_ += std::chrono::milliseconds{100};
            tick(leader, now_);
            for (const auto* name : {"a", "b", "d"})
                acknowledge(leader, name, leader.log.last_index().value());
        }
    }

    /** Guards against a quorum of four of which the lost voter and the newest one are two. */
    void no_change_of_voters_depends_on_the_newest_one()
    {
        auto leader = make("a");
        elect(leader);
        acknowledge(leader, "a", 2);
        acknowledge(leader, "b", 2);
        refusal_reason reason;
        const voter_id added{"d"};
        change_voters(leader, now_, {voter_change_kind::add_learner, added, process_id{"d"}, {}},
                      reason);
        run_without_c(leader, 2 * leader.options.election_timeout);
        change_voters(leader, now_, {voter_change_kind::promote, added, {}, {}}, reason);
        CPPUNIT_ASSERT(reason.find("would leave no quorum") != std::string::npos);
        change_voters(leader, now_, {voter_change_kind::replace, added, {}, voter_id{"c"}}, reason);
        CPPUNIT_ASSERT_EQUAL(std::string{}, reason);
        const auto joint = leader.log.last_index();
        acknowledge(leader, "a", joint.value());
        acknowledge(leader, "d", joint.value());
        CPPUNIT_ASSERT(leader.committed < joint);
        change_voters(leader, now_, {voter_change_kind::complete, {}, {}, {}}, reason);
        CPPUNIT_ASSERT(reason.find("in progress") != std::string::npos);
        acknowledge(leader, "b", joint.value());
        CPPUNIT_ASSERT_EQUAL(joint, leader.committed);
        change_voters(leader, now_, {voter_change_kind::remove, added, {}, {}}, reason);
        CPPUNIT_ASSERT(reason.find("being replaced") != std::string::npos);
        change_voters(leader, now_, {voter_change_kind::complete, {}, {}, {}}, reason);
        CPPUNIT_ASSERT_EQUAL(std::string{}, reason);
        acknowledge(leader, "a", joint.value() + 1);
        acknowledge(leader, "b", joint.value() + 1);
        CPPUNIT_ASSERT_EQUAL(joint.next(), leader.committed);
        CPPUNIT_ASSERT(!is_joint(leader.log.voters()) && !is_member(leader, voter_id{"c"}));
    }

    void a_joint_set_is_read_back_and_other_sets_keep_their_format()
    {
        auto set = voters_;
        set.learners.emplace(voter_id{"d"}, process_id{"d"});
        CPPUNIT_ASSERT(wire::encode(set) == wire::encode(set.voters) + wire::encode(set.learners));
        set.former_voters = set.voters;
        set.voters.erase(voter_id{"c"});
        const auto read = wire::decode<voter_set>(wire::encode(set));
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT(set == read.value());
    }

    void only_the_lowest_process_forms_a_ledger_and_only_when_no_process_has_a_log()
    {
        bootstrap_state state{
            process_id{"a"}, voter_id{"a1"}, {process_id{"a"}, process_id{"b"}}, {}};
        CPPUNIT_ASSERT(!initial_voters(state, now_));
        state.last_messages[process_id{"b"}] = {{process_id{"b"}, voter_id{"b1"}, false}, now_};
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, initial_voters(state, now_)->voters.size());
        CPPUNIT_ASSERT(!initial_voters(state, now_ + bootstrap_message_ttl));
        state.last_messages[process_id{"b"}].message.has_log = true;
        CPPUNIT_ASSERT(!initial_voters(state, now_));
        bootstrap_state second{
            process_id{"b"}, voter_id{"b1"}, {process_id{"a"}, process_id{"b"}}, {}};
        second.last_messages[process_id{"a"}] = {{process_id{"a"}, voter_id{"a1"}, false}, now_};
        CPPUNIT_ASSERT(!initial_voters(second, now_));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_test);

} // namespace galenaturn::ledger
