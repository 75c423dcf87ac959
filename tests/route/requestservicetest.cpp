#include "fakeupstream.h"
#include "testentry.h"

#include <galenaturn/route.h>

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn {

/** The request path of one entry over loopback, with upstreams that fail in different ways. */
class request_service_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(request_service_test);
    CPPUNIT_TEST(a_response_is_passed_on_completely);
    CPPUNIT_TEST(every_reason_has_a_counter_from_the_start);
    CPPUNIT_TEST(invalid_requests_are_refused_as_not_run);
    CPPUNIT_TEST(an_invalid_response_is_not_passed_on);
    CPPUNIT_TEST(an_idempotent_request_is_retried_at_another_upstream);
    CPPUNIT_TEST(a_request_that_may_have_run_is_not_retried);
    CPPUNIT_TEST(a_request_that_did_not_run_is_retried);
    CPPUNIT_TEST(a_leaving_upstream_gets_no_new_requests);
    CPPUNIT_TEST(slots_and_connections_are_never_exceeded);
    CPPUNIT_TEST(a_full_queue_and_an_exceeded_rate_refuse_at_once);
    CPPUNIT_TEST(a_request_without_a_slot_is_refused_at_its_latest_start);
    CPPUNIT_TEST(a_stopping_entry_refuses_new_requests_and_completes_running_ones);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<test_entry> entry_;
    std::vector<std::unique_ptr<fake_upstream>> upstreams_;

public:
    void setUp() override
    {
        entry_ = std::make_unique<test_entry>(
            test_settings("entry-1", {test_member("entry-1", process_role::entry, "hall-a", 0)}));
        entry_->apply_catalogue(test_catalogue());
    }

    void tearDown() override
    {
        upstreams_.clear();
        entry_->shared.io.poll();
        entry_.reset();
    }

private:
    fake_upstream& add_upstream(std::uint32_t slots = 8)
    {
        upstreams_.push_back(std::make_unique<fake_upstream>(entry_->shared.io));
        auto& upstream = *upstreams_.back();
        upstream.slots = slots;
        announce(upstream, 1);
        return upstream;
    }

    void announce(const fake_upstream& upstream, std::uint64_t sequence, bool leaving = false)
    {
        auto announcement =
            upstream.announcement("runner-" + std::to_string(upstream.port()), sequence);
        announcement.leaving = leaving;
        entryd::publish(entry_->hub.upstream_announced, announcement, monotonic_now());
    }

    void a_response_is_passed_on_completely()
    {
        auto& upstream = add_upstream();
        call_options options;
        options.path = "/tides/tory%20channel?at=ebb";
        options.method = http::verb::post;
        options.body = "spring tide";
        const auto call = call_and_wait(*entry_, options);
        CPPUNIT_ASSERT_EQUAL(200U, call->status());
        CPPUNIT_ASSERT_EQUAL(std::string{"answer to spring tide"}, call->response->value().body());
        CPPUNIT_ASSERT_EQUAL(options.path, call->header("Upstream-Target"));
        CPPUNIT_ASSERT(!call->header("Galenaturn-Request-Id").empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, upstream.received);
    }

    void every_reason_has_a_counter_from_the_start()
    {
        for (const auto& details : route::all_refusals())
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, entry_->refusals(std::string{details.name}));
        for (const auto* reason : {"connect_failed", "not_run", "connection_lost", "timed_out",
                                   "answer_cut", "server_error"})
            CPPUNIT_ASSERT_EQUAL(
                std::uint64_t{0},
                entry_->metric_value(std::string{"galenaturn_retries_total{reason=\""} + reason +
                                     "\"}"));
    }

    void expect_not_run(const call_options& options, unsigned status, const std::string& reason)
    {
        const auto call = call_and_wait(*entry_, options);
        CPPUNIT_ASSERT_EQUAL(reason, call->reason());
        CPPUNIT_ASSERT_EQUAL(status, call->status());
        CPPUNIT_ASSERT_EQUAL(std::string{"true"}, call->header("Galenaturn-Not-Run"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, entry_->refusals(reason));
    }

    void invalid_requests_are_refused_as_not_run()
    {
        call_options options;
        expect_not_run(options, 503, "no_upstream");
        auto& upstream = add_upstream();
        options.service = "tags";
        expect_not_run(options, 404, "unknown_service");
        options = {};
        options.owner = "";
        expect_not_run(options, 400, "owner_missing");
        options.owner = "stranger";
        expect_not_run(options, 403, "unknown_owner");
        options = {};
        options.timeout = "soon";
        expect_not_run(options, 400, "bad_timeout");
        options = {};
        options.key = std::string(256, 'k');
        expect_not_run(options, 400, "bad_key");
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, upstream.received);
    }

    void expect_invalid_response(fake_behaviour behaviour, const std::string& reason)
    {
        upstreams_.back()->behaviour = behaviour;
        call_options options;
        options.method = http::verb::post;
        options.body = "behaviour " + std::to_string(static_cast<int>(behaviour));
        options.timeout = "200ms";
        const auto call = call_and_wait(*entry_, options);
        CPPUNIT_ASSERT_EQUAL(reason, call->reason());
        CPPUNIT_ASSERT(call->status() >= 500);
        CPPUNIT_ASSERT_EQUAL(std::string{}, call->header("Galenaturn-Not-Run"));
        CPPUNIT_ASSERT_EQUAL(1, upstreams_.back()->bodies[options.body]);
    }

    void an_invalid_response_is_not_passed_on()
    {
        add_upstream();
        expect_invalid_response(fake_behaviour::close_without_response, "upstream_failed");
        expect_invalid_response(fake_behaviour::truncate_response, "answer_cut");
        expect_invalid_response(fake_behaviour::respond_without_length, "answer_cut");
        expect_invalid_response(fake_behaviour::send_garbage, "answer_malformed");
        expect_invalid_response(fake_behaviour::respond_to_other_request, "answer_mismatched");
        expect_invalid_response(fake_behaviour::never_respond, "upstream_timeout");
        upstreams_.back()->behaviour = fake_behaviour::respond;
        CPPUNIT_ASSERT_EQUAL(200U, call_and_wait(*entry_)->status());
    }

    void an_idempotent_request_is_retried_at_another_upstream()
    {
        add_upstream().behaviour = fake_behaviour::close_without_response;
        add_upstream().behaviour = fake_behaviour::respond;
        CPPUNIT_ASSERT_EQUAL(200U, call_and_wait(*entry_)->status());
        CPPUNIT_ASSERT_EQUAL(200U, call_and_wait(*entry_)->status());
        CPPUNIT_ASSERT(upstreams_.front()->received > 0);
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{upstreams_.front()->received},
            entry_->metric_value("galenaturn_retries_total{reason=\"connection_lost\"}"));
    }

    void a_request_that_may_have_run_is_not_retried()
    {
        add_upstream().behaviour = fake_behaviour::close_without_response;
        add_upstream().behaviour = fake_behaviour::close_without_response;
        call_options options;
        options.method = http::verb::post;
        options.body = "charge 7";
        const auto call = call_and_wait(*entry_, options);
        CPPUNIT_ASSERT_EQUAL(std::string{"upstream_failed"}, call->reason());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, upstreams_[0]->received + upstreams_[1]->received);
    }

    void a_request_that_did_not_run_is_retried()
    {
        add_upstream().behaviour = fake_behaviour::refuse_not_run;
        add_upstream().kill();
        call_options options;
        options.method = http::verb::post;
        const auto refused = call_and_wait(*entry_, options);
        CPPUNIT_ASSERT_EQUAL(std::string{"true"}, refused->header("Galenaturn-Not-Run"));
        add_upstream().behaviour = fake_behaviour::respond;
        CPPUNIT_ASSERT_EQUAL(200U, call_and_wait(*entry_, options)->status());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, upstreams_[2]->received);
    }

    void a_leaving_upstream_gets_no_new_requests()
    {
        auto& leaving = add_upstream();
        auto& staying = add_upstream();
        leaving.delay = std::chrono::milliseconds{50};
        staying.delay = std::chrono::milliseconds{50};
        const auto first = send_call(*entry_);
        const auto second = send_call(*entry_);
        CPPUNIT_ASSERT(run_until(*entry_, [&] { return leaving.busy + staying.busy == 2; }));
        announce(leaving, 2, true);
        const auto before = leaving.received;
        for (int round = 0; round < 5; ++round)
            CPPUNIT_ASSERT_EQUAL(200U, call_and_wait(*entry_)->status());
        CPPUNIT_ASSERT(run_until(*entry_, [&] { return first->response && second->response; }));
        CPPUNIT_ASSERT_EQUAL(200U, first->status());
        CPPUNIT_ASSERT_EQUAL(200U, second->status());
        CPPUNIT_ASSERT_EQUAL(before, leaving.received);
    }

    void slots_and_connections_are_never_exceeded()
    {
        auto& upstream = add_upstream(2);
        upstream.delay = std::chrono::milliseconds{2};
        std::vector<std::shared_ptr<pending_call>> calls;
        calls.reserve(15);
        for (int number = 0; number < 15; ++number) {
            call_options options;
            options.method = number % 2 == 0 ? http::verb::get : http::verb::post;
            options.body = "request " + std::to_string(number);
            calls.push_back(send_call(*entry_, options));
        }
        CPPUNIT_ASSERT(run_until(*entry_, [&] {
            return std::all_of(calls.begin(), calls.end(),
                               [](auto& call) { return call->response; });
        }));
        for (std::size_t number = 0; number < calls.size(); ++number)
            CPPUNIT_ASSERT_EQUAL("answer to request " + std::to_string(number),
                                 calls[number]->response->value().body());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, upstream.max_busy);
        CPPUNIT_ASSERT(upstream.max_connections <= upstream.connection_limit);
    }

    void a_full_queue_and_an_exceeded_rate_refuse_at_once()
    {
        auto& upstream = add_upstream(1);
        upstream.behaviour = fake_behaviour::never_respond;
        std::vector<std::shared_ptr<pending_call>> calls(30);
        for (auto& call : calls)
            call = send_call(*entry_);
        // One of the 30 requests runs, 20 wait in the queue and 9 are refused.
        CPPUNIT_ASSERT(run_until(*entry_, [&] { return entry_->refusals("queue_full") == 9; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, upstream.max_busy);
        call_options options;
        options.owner = "slow";
        const auto first = send_call(*entry_, options);
        const auto second = send_call(*entry_, options);
        CPPUNIT_ASSERT(run_until(*entry_, [&] { return first->response || second->response; }));
        const auto& refused = first->response ? *first : *second;
        CPPUNIT_ASSERT_EQUAL(std::string{"owner_rate"}, refused.reason());
        CPPUNIT_ASSERT_EQUAL(429U, refused.status());
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, refused.header("Retry-After"));
    }

    void a_request_without_a_slot_is_refused_at_its_latest_start()
    {
        auto& upstream = add_upstream(1);
        upstream.delay = std::chrono::seconds{2};
        const auto first = send_call(*entry_);
        CPPUNIT_ASSERT(run_until(*entry_, [&] { return upstream.busy == 1; }));
        call_options options;
        options.timeout = "50ms";
        const auto second = call_and_wait(*entry_, options);
        CPPUNIT_ASSERT_EQUAL(std::string{"deadline_passed"}, second->reason());
        CPPUNIT_ASSERT(!first->response);
        CPPUNIT_ASSERT_EQUAL(std::string{"true"}, second->header("Galenaturn-Not-Run"));
        CPPUNIT_ASSERT(!second->header("Retry-After").empty());
    }

    void a_stopping_entry_refuses_new_requests_and_completes_running_ones()
    {
        auto& upstream = add_upstream();
        upstream.delay = std::chrono::milliseconds{50};
        const auto before = send_call(*entry_);
        CPPUNIT_ASSERT(run_until(*entry_, [&] { return upstream.busy == 1; }));
        entry_->shared.accepting = false;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, entry_->shared.work_in_progress.front()());
        expect_not_run({}, 503, "leaving");
        CPPUNIT_ASSERT(run_until(*entry_, [&] { return before->response.has_value(); }));
        CPPUNIT_ASSERT_EQUAL(200U, before->status());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, entry_->shared.work_in_progress.front()());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_service_test);

} // namespace galenaturn
