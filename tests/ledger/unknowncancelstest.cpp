#include <galenaturn/ledger.h>

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::ledger {

/** Tests how queues share the records of cancelled submissions. */
class unknown_cancels_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(unknown_cancels_test);
    CPPUNIT_TEST(a_queue_leaves_as_much_as_it_uses);
    CPPUNIT_TEST(records_that_were_removed_do_not_count);
    CPPUNIT_TEST_SUITE_END();

    static constexpr wall_time start{std::chrono::hours{10'000}};
    ledger_state state_;
    unknown_cancels cancels_;
    std::uint64_t index_{0};

    void apply(wire::command body)
    {
        applied_change change;
        const request_id id{"r" + std::to_string(++index_)};
        apply_command(state_, {id, std::move(body)}, log_index{index_}, change);
    }

    /** Cancels unknown jobs of the queue until it is refused. Returns how many were recorded. */
    std::size_t cancel_until_refused(const std::string& queue)
    {
        std::size_t recorded = 0;
        for (; may_cancel_unknown_job(cancels_, state_, queue); ++recorded) {
            apply(wire::cancel_job{submission_id{queue + std::to_string(index_)}, state_.clock});
            note_unknown_cancel(cancels_, queue, state_.clock);
        }
        return recorded;
    }

public:
    void setUp() override { apply(wire::expire_records{start}); }

    void a_queue_leaves_as_much_as_it_uses()
    {
        const auto most = state_limits{}.max_cancelled_submissions;
        CPPUNIT_ASSERT_EQUAL(most / 2, cancel_until_refused("first"));
        CPPUNIT_ASSERT_EQUAL(most / 4, cancel_until_refused("second"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cancel_until_refused("first"));
    }

    void records_that_were_removed_do_not_count()
    {
        const auto most = state_limits{}.max_cancelled_submissions;
        cancel_until_refused("first");
        const auto retention = state_limits{}.cancelled_submission_retention;
        apply(wire::expire_records{start + retention + std::chrono::seconds{1}});
        CPPUNIT_ASSERT_EQUAL(most / 2, cancel_until_refused("first"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unknown_cancels_test);

} // namespace galenaturn::ledger
