#include <galenaturn/http.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

namespace galenaturn::http {

class announcement_json_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(announcement_json_test);
    CPPUNIT_TEST(messages_round_trip_through_json);
    CPPUNIT_TEST(all_malformed_fields_are_reported_together);
    CPPUNIT_TEST(documents_that_are_not_objects_are_rejected);
    CPPUNIT_TEST(numbers_are_accepted_up_to_their_bounds_and_rejected_beyond);
    CPPUNIT_TEST(mutated_documents_are_rejected_or_parsed_without_a_crash);
    CPPUNIT_TEST_SUITE_END();

    static wire::upstream_announcement upstream()
    {
        wire::upstream_announcement message;
        message.id = upstream_id{"runner-1"};
        message.service = service_id{"tawhiti-forecast"};
        message.domain = failure_domain_id{"picton-hall"};
        message.rack = rack_id{"rack-3"};
        message.address = {"127.0.0.1", 8080};
        message.incarnation_number = incarnation{7};
        message.sequence = 9;
        message.slots = 8;
        message.connections = 64;
        message.busy_slots = 3;
        message.leaving = true;
        return message;
    }

    static wire::worker_announcement worker()
    {
        wire::worker_announcement message;
        message.id = worker_id{"w-1"};
        message.domain = failure_domain_id{"hall-a"};
        message.rack = rack_id{"rack-1"};
        message.incarnation_number = incarnation{3};
        message.heartbeat = heartbeat_number{12};
        message.capacity = {millicores{64000}, bytes{250LL << 30}, accelerator_count{2}};
        message.tasks.push_back({task_id{"t-1"},
                                 epoch{4},
                                 wire::worker_task_state::running,
                                 checkpoint_id{"t-1-500"},
                                 {millicores{1500}, bytes{1 << 20}, {}},
                                 "as planned"});
        message.usage_age = std::chrono::milliseconds{900};
        message.service_latency = std::chrono::milliseconds{12};
        return message;
    }

    void messages_round_trip_through_json()
    {
        const auto first = parse_upstream_announcement(to_json(upstream()), upstream().id);
        CPPUNIT_ASSERT_EQUAL(std::string{}, problem_text(first.problems));
        CPPUNIT_ASSERT(wire::encode(first.message) == wire::encode(upstream()));

        const auto second = parse_worker_announcement(to_json(worker()), worker().id);
        CPPUNIT_ASSERT_EQUAL(std::string{}, problem_text(second.problems));
        CPPUNIT_ASSERT(wire::encode(second.message) == wire::encode(worker()));

        wire::worker_response reply;
        reply.heartbeat = heartbeat_number{12};
        reply.stewardship = epoch{2};
        reply.lease = std::chrono::seconds{3};
        reply.commands.push_back({wire::worker_command_kind::start, task_id{"t-2"}, epoch{1},
                                  job_id{"notices"}, worker().capacity, checkpoint_id{"c"},
                                  millicores{500}});
        const auto third = parse_worker_answer(to_json(reply));
        CPPUNIT_ASSERT_EQUAL(std::string{}, problem_text(third.problems));
        CPPUNIT_ASSERT(wire::encode(third.message) == wire::encode(reply));
    }

    static bool has_problem(const std::vector<field_problem>& problems,
                            const std::pair<std::string, field_error>& expected)
    {
        return std::any_of(problems.begin(), problems.end(), [&expected](const auto& item) {
            return item.pointer == expected.first && item.error == expected.second;
        });
    }

    void all_malformed_fields_are_reported_together()
    {
        const auto parsed = parse_worker_announcement(
            R"({"id": "other", "rack": 7, "incarnation": -1, "heartbeat": 1.5, "capacity": {},)"
            R"( "tasks": [{"id": "t", "epoch": 1, "state": "asleep", "used": 3}], "colour": 1})",
            worker_id{"w-1"});
        const std::vector<std::pair<std::string, field_error>> expected{
            {"/id", field_error::mismatch},
            {"/failure_domain", field_error::missing},
            {"/rack", field_error::wrong_type},
            {"/incarnation", field_error::out_of_range},
            {"/heartbeat", field_error::wrong_type},
            {"/capacity/processors_millicores", field_error::missing},
            {"/capacity/memory_bytes", field_error::missing},
            {"/tasks/0/state", field_error::unknown_value},
            {"/tasks/0/used", field_error::wrong_type},
            {"/colour", field_error::unknown_field},
        };
        CPPUNIT_ASSERT_EQUAL_MESSAGE(problem_text(parsed.problems), expected.size(),
                                     parsed.problems.size());
        for (const auto& item : expected)
            CPPUNIT_ASSERT_MESSAGE(item.first, has_problem(parsed.problems, item));
    }

    void documents_that_are_not_objects_are_rejected()
    {
        const std::string deep = std::string(100, '[') + std::string(100, ']');
        for (const auto& body : {std::string{}, std::string{"{"}, std::string{"[]"},
                                 std::string{"null"}, std::string{"{}x"}, deep}) {
            CPPUNIT_ASSERT_MESSAGE(
                body, !parse_upstream_announcement(body, upstream_id{"u"}).problems.empty());
            CPPUNIT_ASSERT_MESSAGE(body, !parse_worker_answer(body).problems.empty());
        }
    }

    static bool accepts_slots(const std::string& slots)
    {
        auto body = to_json(upstream());
        const std::string original = "\"slots\":8";
        body.replace(body.find(original), original.size(), "\"slots\":" + slots);
        return parse_upstream_announcement(body, upstream().id).problems.empty();
    }

    void numbers_are_accepted_up_to_their_bounds_and_rejected_beyond()
    {
        CPPUNIT_ASSERT(accepts_slots("1"));
        CPPUNIT_ASSERT(accepts_slots("4096"));
        for (const auto* slots :
             {"0", "4097", "-1", "18446744073709551615", "1e400", "8.0", "\"8\"", "true", "null"})
            CPPUNIT_ASSERT_MESSAGE(slots, !accepts_slots(slots));
    }

    void mutated_documents_are_rejected_or_parsed_without_a_crash()
    {
        const auto body = to_json(worker());
        std::mt19937_64 random{4}; // NOLINT: a fixed seed makes the test repeatable
        int rejected_count = 0;
        for (int round = 0; round < 5000; ++round) {
            auto mutated = body;
            mutated[random() % mutated.size()] = static_cast<char>(random());
            rejected_count +=
                parse_worker_announcement(mutated, worker().id).problems.empty() ? 0 : 1;
        }
        CPPUNIT_ASSERT(rejected_count > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(announcement_json_test);

} // namespace galenaturn::http
