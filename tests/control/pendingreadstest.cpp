#include "controld/pendingreads.h"

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::controld {

/** Tests which rounds confirm which reads. */
class pending_reads_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(pending_reads_test);
    CPPUNIT_TEST(a_round_confirms_only_reads_that_arrived_before_it);
    CPPUNIT_TEST(all_reads_are_refused_at_the_end_of_a_term);
    CPPUNIT_TEST(reads_beyond_the_limit_are_refused_at_once);
    CPPUNIT_TEST_SUITE_END();

    pending_reads reads_;
    int confirmed_{0};
    int refused_{0};

    bool add()
    {
        return reads_.add([this](bool confirmed) { ++(confirmed ? confirmed_ : refused_); });
    }

public:
    void a_round_confirms_only_reads_that_arrived_before_it()
    {
        CPPUNIT_ASSERT(!reads_.needs_round());
        CPPUNIT_ASSERT(add() && add() && reads_.needs_round());
        reads_.begin(4);
        CPPUNIT_ASSERT(add() && !reads_.needs_round());
        reads_.confirm(3);
        CPPUNIT_ASSERT_EQUAL(0, confirmed_);
        reads_.confirm(5);
        CPPUNIT_ASSERT_EQUAL(2, confirmed_);
        CPPUNIT_ASSERT(reads_.needs_round());
        reads_.begin(6);
        reads_.confirm(5);
        CPPUNIT_ASSERT_EQUAL(2, confirmed_);
        reads_.confirm(6);
        CPPUNIT_ASSERT_EQUAL(3, confirmed_);
        CPPUNIT_ASSERT(!reads_.needs_round());
    }

    void all_reads_are_refused_at_the_end_of_a_term()
    {
        add();
        reads_.begin(1);
        add();
        reads_.refuse_all();
        reads_.confirm(9);
        CPPUNIT_ASSERT_EQUAL(2, refused_);
        CPPUNIT_ASSERT_EQUAL(0, confirmed_);
        CPPUNIT_ASSERT(!reads_.needs_round());
    }

    void reads_beyond_the_limit_are_refused_at_once()
    {
        int added = 0;
        while (add())
            ++added;
        reads_.begin(1);
        CPPUNIT_ASSERT(!add());
        reads_.confirm(1);
        CPPUNIT_ASSERT_EQUAL(added, confirmed_);
        CPPUNIT_ASSERT(add());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pending_reads_test);

} // namespace galenaturn::controld
