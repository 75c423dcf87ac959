#include "../../src/entryd/jobrelay.h"
#include "../../src/entryd/observedqueues.h"

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::entryd {

/** Tests what a caller is told when the answer of the leader is lost or damaged. */
class job_relay_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(job_relay_test);
    CPPUNIT_TEST(only_a_request_that_was_not_sent_is_answered_as_not_run);
    CPPUNIT_TEST(a_damaged_answer_leaves_the_outcome_unknown);
    CPPUNIT_TEST(an_older_version_counts_as_a_regression_only_for_a_later_request);
    CPPUNIT_TEST(an_answer_names_the_version_and_the_term_that_decided);
    CPPUNIT_TEST_SUITE_END();

    void only_a_request_that_was_not_sent_is_answered_as_not_run()
    {
        const auto not_sent = response_of(make_error_code(wire::wire_error::not_connected));
        CPPUNIT_ASSERT(not_sent.status == wire::job_response_status::unavailable);
        for (const auto error : {wire::wire_error::timed_out, wire::wire_error::malformed}) {
            const auto lost = response_of(make_error_code(error));
            CPPUNIT_ASSERT(lost.status == wire::job_response_status::unknown);
        }
    }

    /** The job may have been accepted: as "not run" its caller would submit it again elsewhere. */
    void a_damaged_answer_leaves_the_outcome_unknown()
    {
        wire::job_response accepted;
        accepted.status = wire::job_response_status::ok;
        const auto whole = wire::encode(accepted);
        CPPUNIT_ASSERT(response_of(whole).status == wire::job_response_status::ok);
        for (std::size_t length = 0; length < whole.size(); ++length) {
            const auto cut = response_of(whole.substr(0, length));
            CPPUNIT_ASSERT(cut.status == wire::job_response_status::unknown);
        }
    }

    void an_older_version_counts_as_a_regression_only_for_a_later_request()
    {
        const time_point start{std::chrono::hours{1}};
        const auto later = start + std::chrono::seconds{1};
        observed_queues known;
        CPPUNIT_ASSERT(observe_queues(known, 0, {}, start, start) == queues_observation::unchanged);
        CPPUNIT_ASSERT(observe_queues(known, 7, term{2}, start, start) ==
                       queues_observation::newer);
        CPPUNIT_ASSERT(observe_queues(known, 7, term{3}, later, later) ==
                       queues_observation::unchanged);
        // A request that waited for the ledger was decided before the change.
        CPPUNIT_ASSERT(observe_queues(known, 6, term{2}, start, later) ==
                       queues_observation::unchanged);
        CPPUNIT_ASSERT(observe_queues(known, 6, term{2}, later, later) ==
                       queues_observation::regressed);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, known.version);
        CPPUNIT_ASSERT(observe_queues(known, 9, term{4}, later, later) ==
                       queues_observation::newer);
    }

    void an_answer_names_the_version_and_the_term_that_decided()
    {
        wire::job_response refused;
        refused.status = wire::job_response_status::unknown_queue;
        refused.queues_version = 7;
        refused.queues_term = term{4};
        const auto read = response_of(wire::encode(refused));
        CPPUNIT_ASSERT(read.status == wire::job_response_status::unknown_queue);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, read.queues_version);
        CPPUNIT_ASSERT_EQUAL(term{4}, read.queues_term);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_relay_test);

} // namespace galenaturn::entryd
