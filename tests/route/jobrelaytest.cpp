#include "../../src/entryd/jobrelay.h"

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::entryd {

/** Tests what a caller is told when the answer of the leader is lost or damaged. */
class job_relay_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(job_relay_test);
    CPPUNIT_TEST(only_a_request_that_was_not_sent_is_answered_as_not_run);
    CPPUNIT_TEST(a_damaged_answer_leaves_the_outcome_unknown);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_relay_test);

} // namespace galenaturn::entryd
