#include <galenaturn/schedule.h>

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::schedule {

/** Announcements come late, twice, or not at all; a worker that has left never comes back. */
class announced_workers_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(announced_workers_test);
    CPPUNIT_TEST(a_farewell_without_a_number_is_taken);
    CPPUNIT_TEST(what_was_overtaken_is_late);
    CPPUNIT_TEST(a_worker_that_is_leaving_is_news_once);
    CPPUNIT_TEST(silent_workers_are_forgotten);
    CPPUNIT_TEST_SUITE_END();

    announced_workers workers_;
    time_point now_{std::chrono::hours{1}};

    static wire::worker_beat beat(std::uint64_t sequence)
    {
        wire::worker_beat told;
        told.worker.id = worker_id{"w1"};
        told.sequence = sequence;
        return told;
    }

    announcement_news note(const wire::worker_beat& told)
    {
        return note_announcement(workers_, told, now_);
    }

    static wire::worker_beat farewell()
    {
        auto told = beat(0);
        told.left = true;
        return told;
    }

    void a_farewell_without_a_number_is_taken()
    {
        CPPUNIT_ASSERT(note(beat(7)) == announcement_news::first);
        CPPUNIT_ASSERT(note(farewell()) == announcement_news::leaving);
        CPPUNIT_ASSERT(note(beat(8)) == announcement_news::late);
        CPPUNIT_ASSERT(note(farewell()) == announcement_news::late);
        CPPUNIT_ASSERT(workers_.at(worker_id{"w1"}).beat.left);
    }

    void what_was_overtaken_is_late()
    {
        note(beat(7));
        CPPUNIT_ASSERT(note(beat(6)) == announcement_news::late);
        CPPUNIT_ASSERT(note(beat(8)) == announcement_news::nothing);
    }

    void a_worker_that_is_leaving_is_news_once()
    {
        note(beat(1));
        auto leaving = beat(2);
        leaving.leaving = true;
        CPPUNIT_ASSERT(note(leaving) == announcement_news::leaving);
        leaving.sequence = 3;
        CPPUNIT_ASSERT(note(leaving) == announcement_news::nothing);
    }

    void silent_workers_are_forgotten()
    {
        note(beat(1));
        note(farewell());
        now_ += std::chrono::minutes{1};
        forget_silent_workers(workers_, now_);
        CPPUNIT_ASSERT(note(beat(2)) == announcement_news::late);
        now_ += std::chrono::minutes{20};
        forget_silent_workers(workers_, now_);
        CPPUNIT_ASSERT(workers_.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(announced_workers_test);

} // namespace galenaturn::schedule
