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

    heartbeat_decision beat(const std::string& name, std::uint64_t life = 1)
    {
        steward_heartbeat sent;
        sent.process = process_id{name};
        sent.domain = failure_domain_id{name};
        sent.life = incarnation{life};
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
        on_record(assigner, record.id, &record, log_index{1}, now);
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
            on_record(assigner, item.id, &record, log_index{2}, now);
        }
    }

    assigner_state assigner;
    time_point now{std::chrono::hours{1}};
    std::uint64_t heartbeats{0};
    std::map<task_id, wire::task_record> records;
};

std::size_t count_owner(const assigner_fixture& at, const wire::assign_tasks& chosen,
                        const std::string& owner)
{
    std::size_t count = 0;
    for (const auto& item : chosen.items)
        count += at.records.at(item.id).owner == owner_id{owner} ? 1 : 0;
    return count;
}

} // namespace

class assigner_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(assigner_test);
    CPPUNIT_TEST(owners_with_waiting_work_share_evenly);
    CPPUNIT_TEST(a_quota_is_never_passed);
    CPPUNIT_TEST(urgent_work_goes_first);
    CPPUNIT_TEST(a_silent_domains_tasks_move_after_their_hold_only);
    CPPUNIT_TEST(a_domain_whose_tasks_moved_is_answered_under_a_new_stewardship);
    CPPUNIT_TEST(a_new_leader_counts_holds_from_its_own_beginning);
    CPPUNIT_TEST(another_process_succeeds_a_steward_only_after_the_holds);
    CPPUNIT_TEST_SUITE_END();

    void owners_with_waiting_work_share_evenly()
    {
        assigner_fixture at;
        for (int number = 0; number < 100; ++number)
            at.add_task("large-" + std::to_string(number), "large");
        for (int number = 0; number < 10; ++number)
            at.add_task("small-" + std::to_string(number), "small");
        const auto chosen = assign_pending(at.assigner, 20, at.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, chosen.items.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, count_owner(at, chosen, "small"));
        at.apply(chosen);
        // The large owner may use the capacity that the small one leaves idle.
        const auto rest = assign_pending(at.assigner, 20, at.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, count_owner(at, rest, "large"));
    }

    void a_quota_is_never_passed()
    {
        assigner_fixture at;
        for (int number = 0; number < 100; ++number)
            at.add_task("large-" + std::to_string(number), "large");
        for (int round = 0; round < 10; ++round)
            at.apply(assign_pending(at.assigner, 20, at.now));
        CPPUNIT_ASSERT(at.assigner.owners[owner_id{"large"}].used.processors == millicores{60'000});
        CPPUNIT_ASSERT(
            at.assigner.counters.refused[static_cast<std::size_t>(pending_reason::quota)] > 0);
    }

    void urgent_work_goes_first()
    {
        assigner_fixture at;
        for (int number = 0; number < 50; ++number)
            at.add_task("small-" + std::to_string(number), "small");
        auto& urgent = at.add_task("zz", "large");
        urgent.urgent = true;
        on_record(at.assigner, urgent.id, nullptr, log_index{1}, at.now);
        on_record(at.assigner, urgent.id, &urgent, log_index{1}, at.now);
        const auto chosen = assign_pending(at.assigner, 1, at.now);
        CPPUNIT_ASSERT(chosen.items.front().id == task_id{"zz"});
    }

    void a_silent_domains_tasks_move_after_their_hold_only()
    {
        assigner_fixture at;
        at.add_task("t1", "large");
        at.apply(assign_pending(at.assigner, 1, at.now));
        const auto from = at.records.at(task_id{"t1"}).domain;
        const auto to = from == failure_domain_id{"hall-a"} ? "hall-b" : "hall-a";
        at.now += seconds{20};
        at.beat(to);
        CPPUNIT_ASSERT(reclaim_silent(at.assigner, 10, at.now).items.empty());
        at.now += std::chrono::milliseconds{201};
        const auto moved = reclaim_silent(at.assigner, 10, at.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, moved.items.size());
        CPPUNIT_ASSERT(moved.items.front().domain == failure_domain_id{to});
        CPPUNIT_ASSERT(moved.items.front().from_stewardship == epoch{1});
    }

    void a_domain_whose_tasks_moved_is_answered_under_a_new_stewardship()
    {
        assigner_fixture at;
        at.add_task("t1", "large");
        at.apply(assign_pending(at.assigner, 1, at.now));
        const auto from = at.records.at(task_id{"t1"}).domain.value();
        at.now += seconds{21};
        at.beat(from == "hall-a" ? "hall-b" : "hall-a");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reclaim_silent(at.assigner, 10, at.now).items.size());
        const auto refused = at.beat(from);
        CPPUNIT_ASSERT(refused.answer && refused.answer->stewardship == epoch{});
        CPPUNIT_ASSERT(refused.grant && refused.grant->expected == epoch{1});
        on_stewardship(at.assigner, failure_domain_id{from}, process_id{from}, epoch{2});
        CPPUNIT_ASSERT(at.beat(from).answer->stewardship == epoch{2});
    }

    void a_new_leader_counts_holds_from_its_own_beginning()
    {
        assigner_fixture at;
        at.add_task("t1", "large");
        at.apply(assign_pending(at.assigner, 1, at.now));
        const auto from = at.records.at(task_id{"t1"}).domain.value();
        const std::string to = from == "hall-a" ? "hall-b" : "hall-a";
        at.now += seconds{15};
        begin_leading(at.assigner, at.now);
        at.now += seconds{15};
        CPPUNIT_ASSERT(at.beat(to).grant.has_value());
        on_stewardship(at.assigner, failure_domain_id{to}, process_id{to}, epoch{2});
        at.beat(to);
        CPPUNIT_ASSERT(reclaim_silent(at.assigner, 10, at.now).items.empty());
        at.now += seconds{6};
        at.beat(to);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reclaim_silent(at.assigner, 10, at.now).items.size());
    }

    void another_process_succeeds_a_steward_only_after_the_holds()
    {
        assigner_fixture at;
        at.add_task("t1", "large");
        at.apply(assign_pending(at.assigner, 1, at.now));
        const auto domain = at.records.at(task_id{"t1"}).domain;
        steward_heartbeat other;
        other.process = process_id{"successor"};
        other.domain = domain;
        other.life = incarnation{1};
        other.number = heartbeat_number{1};
        at.now += seconds{19};
        CPPUNIT_ASSERT(!on_steward_heartbeat(at.assigner, other, at.now).grant);
        at.now += seconds{2};
        CPPUNIT_ASSERT(on_steward_heartbeat(at.assigner, other, at.now).grant.has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(assigner_test);

} // namespace galenaturn::schedule
