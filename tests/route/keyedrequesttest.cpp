#include "fakeupstream.h"
#include "testentry.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace galenaturn {

namespace {

/** Replaces the ledger (the replicated log) by a map in memory that several entries share. */
struct memory_ledger {
    struct reserved_key {
        std::string digest;
        request_id reservation;
        std::optional<wire::recorded_response> answer;
    };
    std::map<std::string, reserved_key> keys;
    bool reachable{true};
    int last_id{0};

    wire::command_response apply(const wire::command_request& request)
    {
        wire::command_response response;
        if (!reachable) {
            response.status = wire::command_status::unavailable;
            return response;
        }
        response.status = wire::command_status::accepted;
        if (const auto* reserve = std::get_if<wire::reserve_key>(&request.body)) {
            const auto [found, added] = keys.try_emplace(
                reserve->key.value(), reserved_key{reserve->digest, request.id, {}});
            if (added)
                return response;
            response.status = found->second.digest == reserve->digest
                                  ? wire::command_status::duplicate
                                  : wire::command_status::rejected;
            response.reason = "the key was used for another request";
            response.answer = found->second.answer;
            return response;
        }
        const auto& complete = std::get<wire::complete_key>(request.body);
        const auto found = keys.find(complete.key.value());
        if (found == keys.end() || found->second.reservation != complete.reservation)
            response.status = wire::command_status::rejected;
        else if (complete.answer)
            found->second.answer = complete.answer;
        else
            keys.erase(found);
        return response;
    }

    entryd::key_ledger access(const std::string& entry)
    {
        return {[this, entry] { return request_id{entry + std::to_string(++last_id)}; },
                [this](wire::command_request request,
                       time_point /*deadline*/) -> boost::asio::awaitable<wire::command_response> {
                    co_return apply(request);
                }};
    }
};

} // namespace

/** A request with an idempotency key runs at most once, also if resent through another entry. */
class keyed_request_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(keyed_request_test);
    CPPUNIT_TEST(a_resend_through_another_entry_gets_the_first_response);
    CPPUNIT_TEST(a_resend_after_a_lost_response_gets_outcome_unknown);
    CPPUNIT_TEST(a_resend_while_the_first_request_runs_is_not_sent);
    CPPUNIT_TEST(a_request_that_did_not_run_releases_its_key);
    CPPUNIT_TEST(a_key_used_for_another_request_is_refused);
    CPPUNIT_TEST(without_quorum_a_keyed_request_is_refused_as_not_run);
    CPPUNIT_TEST_SUITE_END();

    memory_ledger ledger_;
    std::unique_ptr<test_entry> first_;
    std::unique_ptr<test_entry> second_;
    std::unique_ptr<fake_upstream> upstream_;

    static std::unique_ptr<test_entry> make_entry(const std::string& name, memory_ledger& ledger)
    {
        auto entry = std::make_unique<test_entry>(
            test_settings(name, {test_member(name, process_role::entry, "hall-a", 0)}),
            ledger.access(name));
        entry->apply_catalogue(test_catalogue());
        return entry;
    }

public:
    void setUp() override
    {
        ledger_ = {};
        first_ = make_entry("entry-1", ledger_);
        second_ = make_entry("entry-2", ledger_);
        upstream_ = std::make_unique<fake_upstream>(first_->shared.io);
        announce(*upstream_, 1);
    }

    void tearDown() override
    {
        upstream_.reset();
        first_->shared.io.poll();
        first_.reset();
        second_.reset();
    }

private:
    void announce(const fake_upstream& upstream, std::uint64_t sequence)
    {
        const auto announcement = upstream.announcement("runner-1", sequence);
        entryd::publish(first_->hub.upstream_announced, announcement, monotonic_now());
        entryd::publish(second_->hub.upstream_announced, announcement, monotonic_now());
    }

    static call_options charge(const std::string& body = "charge 30 dollars")
    {
        call_options options;
        options.method = http::verb::post;
        options.key = "renewal-77";
        options.body = body;
        options.timeout = "300ms";
        return options;
    }

    std::shared_ptr<pending_call> call(test_entry& entry, const call_options& options)
    {
        auto sent = send_call(entry, options);
        CPPUNIT_ASSERT(run_until({&first_->shared.io, &second_->shared.io},
                                 [&] { return sent->response.has_value(); }));
        return sent;
    }

    void a_resend_through_another_entry_gets_the_first_response()
    {
        const auto sent = call(*first_, charge());
        const auto resent = call(*second_, charge());
        CPPUNIT_ASSERT_EQUAL(200U, sent->status());
        CPPUNIT_ASSERT_EQUAL(200U, resent->status());
        CPPUNIT_ASSERT_EQUAL(sent->response->value().body(), resent->response->value().body());
        CPPUNIT_ASSERT_EQUAL(std::string{"true"}, resent->header("Galenaturn-Replayed"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, upstream_->received);
    }

    void a_resend_after_a_lost_response_gets_outcome_unknown()
    {
        for (const auto behaviour :
             {fake_behaviour::close_without_response, fake_behaviour::truncate_response,
              fake_behaviour::never_respond}) {
            upstream_->behaviour = behaviour;
            auto options = charge();
            options.key += std::to_string(static_cast<int>(behaviour));
            const auto before = upstream_->received;
            const auto sent = call(*first_, options);
            CPPUNIT_ASSERT(sent->status() >= 500);
            CPPUNIT_ASSERT_EQUAL(std::string{}, sent->header("Galenaturn-Not-Run"));
            const auto resent = call(*second_, options);
            CPPUNIT_ASSERT_EQUAL(409U, resent->status());
            CPPUNIT_ASSERT_EQUAL(std::string{"outcome_unknown"}, resent->reason());
            CPPUNIT_ASSERT_EQUAL(std::string{}, resent->header("Galenaturn-Not-Run"));
            CPPUNIT_ASSERT_EQUAL(before + 1, upstream_->received);
        }
    }

    void a_resend_while_the_first_request_runs_is_not_sent()
    {
        upstream_->delay = std::chrono::milliseconds{100};
        const auto sent = send_call(*first_, charge());
        CPPUNIT_ASSERT(run_until({&first_->shared.io, &second_->shared.io},
                                 [&] { return upstream_->busy == 1; }));
        CPPUNIT_ASSERT_EQUAL(std::string{"outcome_unknown"}, call(*second_, charge())->reason());
        CPPUNIT_ASSERT(run_until({&first_->shared.io, &second_->shared.io},
                                 [&] { return sent->response.has_value(); }));
        CPPUNIT_ASSERT_EQUAL(200U, sent->status());
        CPPUNIT_ASSERT_EQUAL(200U, call(*second_, charge())->status());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, upstream_->received);
    }

    void a_request_that_did_not_run_releases_its_key()
    {
        upstream_->behaviour = fake_behaviour::refuse_not_run;
        const auto refused = call(*first_, charge());
        CPPUNIT_ASSERT_EQUAL(std::string{"true"}, refused->header("Galenaturn-Not-Run"));
        CPPUNIT_ASSERT(ledger_.keys.empty());
        upstream_->behaviour = fake_behaviour::respond;
        CPPUNIT_ASSERT_EQUAL(200U, call(*second_, charge())->status());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, upstream_->responses - 1);
    }

    void a_key_used_for_another_request_is_refused()
    {
        CPPUNIT_ASSERT_EQUAL(200U, call(*first_, charge())->status());
        const auto other = call(*second_, charge("charge 31 dollars"));
        CPPUNIT_ASSERT_EQUAL(std::string{"key_mismatch"}, other->reason());
        CPPUNIT_ASSERT_EQUAL(std::string{"true"}, other->header("Galenaturn-Not-Run"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, upstream_->received);
    }

    void without_quorum_a_keyed_request_is_refused_as_not_run()
    {
        ledger_.reachable = false;
        const auto refused = call(*first_, charge());
        CPPUNIT_ASSERT_EQUAL(std::string{"ledger_unavailable"}, refused->reason());
        CPPUNIT_ASSERT_EQUAL(std::string{"true"}, refused->header("Galenaturn-Not-Run"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, upstream_->received);
        ledger_.reachable = true;
        CPPUNIT_ASSERT_EQUAL(200U, call(*first_, charge())->status());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(keyed_request_test);

} // namespace galenaturn
