#include <galenaturn/schedule.h>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace galenaturn::schedule {

namespace {

using std::chrono::seconds;

/** A leading assigner with two domains, each with ten workers of four processors. */
struct assigner_fixture {
    assigner_fixture()
    {
        catalogue entries;
        for (const auto* name : {"large", "small"}) {
            const owner_id id{name};
            entries.owners[id] = {id, 1, {millicores{60'000}, bytes{1'000'000}, {}}, 0, 0};
        }
        on_catalogue(assigner, entries);
        begin_leading(assigner, now);
        for (const auto* name : {"hall-a", "hall-b"}) {
            beat(name);
            on_stewardship(assigner, failure_domain_id{name}, process_id{name}, epoch{1});
            beat(name);
        }
    }

    heartbeat_decision beat(const std::string& name, std::uint64_t incarnation_number = 1)
    {
        steward_heartbeat sent;
        sent.process = process_id{name};
        sent.domain = failure_domain_id{name};
        sent.process_incarnation = incarnation{incarnation_number};
        sent.number = heartbeat_number{++heartbeats};
        sent.load.capacity = {millicores{40'000}, bytes{400'000}, {}};
        sent.load.free = sent.load.capacity;
        sent.load.largest_free = {millicores{4000}, bytes{40'000}, {}};
        sent.load.largest_worker = sent.load.largest_free;
        sent.load.workers = 10;
        return on_steward_heartbeat(assigner, sent, now);
    }

    wire::task_record& add_task(const std::string& name, const std::string& owner)
    {
        auto& record = records[task_id{name}];
        record.id = task_id{name};
        record.owner = owner_id{owner};
        record.demand = {millicores{1000}, bytes{1000}, {}};
        record.hold = seconds{20};
        on_task_record(assigner, record.id, &record, log_index{1}, now);
        return record;
    }

    /** Applies a proposal to the records as the ledger would. */
    void apply(const wire::assign_tasks& proposal)
    {
        for (const auto& item : proposal.items) {
            auto& record = records.at(item.id);
            record.phase = wire::task_phase::assigned;
            record.domain = item.domain;
            record.assignment = item.expected.next();
            on_task_record(assigner, item.id, &record, log_index{2}, now);
        }
    }

    assigner_state assigner;
    time_point now{std::chrono::hours{1}};
    std::uint64_t heartbeats{0};
    std::map<task_id, wire::task_record> records;
};

std::size_t count_owner(const assigner_fixture& fixture, const wire::assign_tasks& proposal,
                        const std::string& owner)
{
    std::size_t count = 0;
    for (const auto& item : proposal.items)
        count += fixture.records.at(item.id).owner == owner_id{owner} ? 1 : 0;
    return count;
}

} // namespace

class assigner_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(assigner_test);
    CPPUNIT_TEST(owners_with_equal_weights_get_equal_shares);
    CPPUNIT_TEST(assignments_never_exceed_the_quota);
    CPPUNIT_TEST(urgent_tasks_are_assigned_first);
    CPPUNIT_TEST(tasks_of_a_silent_domain_are_reassigned_only_after_their_hold);
    CPPUNIT_TEST(a_domain_whose_tasks_were_reassigned_needs_a_new_stewardship);
    CPPUNIT_TEST(a_new_leader_counts_holds_from_its_own_start);
    CPPUNIT_TEST(another_process_becomes_steward_only_after_the_holds);
    CPPUNIT_TEST_SUITE_END();

    void owners_with_equal_weights_get_equal_shares()
    {
        assigner_fixture fixture;
        for (int number = 0; number < 100; ++number)
            fixture.add_task("large-" + std::to_string(number), "large");
        for (int number = 0; number < 10; ++number)
            fixture.add_task("small-" + std::to_string(number), "small");
        const auto proposal = assign_pending(fixture.assigner, 20, fixture.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, proposal.items.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, count_owner(fixture, proposal, "small"));
        fixture.apply(proposal);
        // The large owner may use the capacity that the small one leaves idle.
        const auto second_proposal = assign_pending(fixture.assigner, 20, fixture.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, count_owner(fixture, second_proposal, "large"));
    }

    void assignments_never_exceed_the_quota()
    {
        assigner_fixture fixture;
        for (int number = 0; number < 100; ++number)
            fixture.add_task("large-" + std::to_string(number), "large");
        for (int round = 0; round < 10; ++round)
            fixture.apply(assign_pending(fixture.assigner, 20, fixture.now));
        CPPUNIT_ASSERT(fixture.assigner.owners[owner_id{"large"}].used.processors ==
                       millicores{60'000});
        CPPUNIT_ASSERT(
            fixture.assigner.counters.refusals[static_cast<std::size_t>(pending_reason::quota)] >
            0);
    }

    void urgent_tasks_are_assigned_first()
    {
        assigner_fixture fixture;
        for (int number = 0; number < 50; ++number)
            fixture.add_task("small-" + std::to_string(number), "small");
        auto& urgent = fixture.add_task("zz", "large");
        urgent.urgent = true;
        on_task_record(fixture.assigner, urgent.id, nullptr, log_index{1}, fixture.now);
        on_task_record(fixture.assigner, urgent.id, &urgent, log_index{1}, fixture.now);
        const auto proposal = assign_pending(fixture.assigner, 1, fixture.now);
        CPPUNIT_ASSERT(proposal.items.front().id == task_id{"zz"});
    }

    void tasks_of_a_silent_domain_are_reassigned_only_after_their_hold()
    {
        assigner_fixture fixture;
        fixture.add_task("t1", "large");
        fixture.apply(assign_pending(fixture.assigner, 1, fixture.now));
        const auto from = fixture.records.at(task_id{"t1"}).domain;
        const auto to = from == failure_domain_id{"hall-a"} ? "hall-b" : "hall-a";
        fixture.now += seconds{20};
        fixture.beat(to);
        CPPUNIT_ASSERT(
            reassign_from_silent_domains(fixture.assigner, 10, fixture.now).items.empty());
        fixture.now += std::chrono::milliseconds{201};
        const auto moved = reassign_from_silent_domains(fixture.assigner, 10, fixture.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, moved.items.size());
        CPPUNIT_ASSERT(moved.items.front().domain == failure_domain_id{to});
        CPPUNIT_ASSERT(moved.items.front().from_stewardship == epoch{1});
    }

    void a_domain_whose_tasks_were_reassigned_needs_a_new_stewardship()
    {
        assigner_fixture fixture;
        fixture.add_task("t1", "large");
        fixture.apply(assign_pending(fixture.assigner, 1, fixture.now));
        const auto from = fixture.records.at(task_id{"t1"}).domain.value();
        fixture.now += seconds{21};
        fixture.beat(from == "hall-a" ? "hall-b" : "hall-a");
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1},
            reassign_from_silent_domains(fixture.assigner, 10, fixture.now).items.size());
        const auto refused = fixture.beat(from);
        CPPUNIT_ASSERT(refused.response && refused.response->stewardship == epoch{});
        CPPUNIT_ASSERT(refused.grant && refused.grant->expected == epoch{1});
        on_stewardship(fixture.assigner, failure_domain_id{from}, process_id{from}, epoch{2});
        CPPUNIT_ASSERT(fixture.beat(from).response->stewardship == epoch{2});
    }

    void a_new_leader_counts_holds_from_its_own_start()
    {
        assigner_fixture fixture;
        fixture.add_task("t1", "large");
        fixture.apply(assign_pending(fixture.assigner, 1, fixture.now));
        const auto from = fixture.records.at(task_id{"t1"}).domain.value();
        const std::string to = from == "hall-a" ? "hall-b" : "hall-a";
        fixture.now += seconds{15};
        begin_leading(fixture.assigner, fixture.now);
        fixture.now += seconds{15};
        CPPUNIT_ASSERT(fixture.beat(to).grant.has_value());
        on_stewardship(fixture.assigner, failure_domain_id{to}, process_id{to}, epoch{2});
        fixture.beat(to);
        CPPUNIT_ASSERT(
            reassign_from_silent_domains(fixture.assigner, 10, fixture.now).items.empty());
        fixture.now += seconds{6};
        fixture.beat(to);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1},
            reassign_from_silent_domains(fixture.assigner, 10, fixture.now).items.size());
    }

    void another_process_becomes_steward_only_after_the_holds()
    {
        assigner_fixture fixture;
        fixture.add_task("t1", "large");
        fixture.apply(assign_pending(fixture.assigner, 1, fixture.now));
        const auto domain = fixture.records.at(task_id{"t1"}).domain;
        steward_heartbeat other;
        other.process = process_id{"successor"};
        other.domain = domain;
        other.process_incarnation = incarnation{1};
        other.number = heartbeat_number{1};
        fixture.now += seconds{19};
        CPPUNIT_ASSERT(!on_steward_heartbeat(fixture.assigner, other, fixture.now).grant);
        fixture.now += seconds{2};
        CPPUNIT_ASSERT(
            on_steward_heartbeat(fixture.assigner, other, fixture.now).grant.has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(assigner_test);

} // namespace galenaturn::schedule
