#include <galenaturn/schedule.h>

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::schedule {

/**
 * Tests announcements that arrive late, twice or not at all, and those of several lives of a
 * worker.
 */
class announced_workers_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(announced_workers_test);
    CPPUNIT_TEST(departure_without_sequence_number_is_accepted);
    CPPUNIT_TEST(overtaken_announcement_is_outdated);
    CPPUNIT_TEST(departure_is_reported_once);
    CPPUNIT_TEST(silent_workers_are_forgotten);
    CPPUNIT_TEST(next_life_of_a_worker_is_a_new_worker);
    CPPUNIT_TEST(announcement_of_an_earlier_life_is_outdated);
    CPPUNIT_TEST(departure_removes_the_life_that_announced_it);
    CPPUNIT_TEST(late_departure_of_an_earlier_life_does_not_remove_the_next_one);
    CPPUNIT_TEST_SUITE_END();

    announced_workers workers_;
    time_point now_{std::chrono::hours{1}};

    static wire::worker_presence announcement_with(std::uint64_t sequence)
    {
        wire::worker_presence announcement;
        announcement.worker.id = worker_id{"w1"};
        announcement.sequence = sequence;
        return announcement;
    }

    announcement_effect record(const wire::worker_presence& announcement)
    {
        return record_announcement(workers_, announcement, now_);
    }

    static wire::worker_presence departure_announcement()
    {
        auto announcement = announcement_with(0);
        announcement.left = true;
        return announcement;
    }

    void departure_without_sequence_number_is_accepted()
    {
        CPPUNIT_ASSERT(record(announcement_with(7)) == announcement_effect::new_worker);
        CPPUNIT_ASSERT(record(departure_announcement()) == announcement_effect::departure);
        CPPUNIT_ASSERT(record(announcement_with(8)) == announcement_effect::outdated);
        CPPUNIT_ASSERT(record(departure_announcement()) == announcement_effect::outdated);
        CPPUNIT_ASSERT(workers_.at(worker_id{"w1"}).presence.left);
    }

    void overtaken_announcement_is_outdated()
    {
        record(announcement_with(7));
        CPPUNIT_ASSERT(record(announcement_with(6)) == announcement_effect::outdated);
        CPPUNIT_ASSERT(record(announcement_with(8)) == announcement_effect::unchanged);
    }

    void departure_is_reported_once()
    {
        record(announcement_with(1));
        auto leaving = announcement_with(2);
        leaving.leaving = true;
        CPPUNIT_ASSERT(record(leaving) == announcement_effect::departure);
        leaving.sequence = 3;
        CPPUNIT_ASSERT(record(leaving) == announcement_effect::unchanged);
    }

    void silent_workers_are_forgotten()
    {
        record(announcement_with(1));
        record(departure_announcement());
        now_ += std::chrono::minutes{1};
        forget_silent_workers(workers_, now_);
        CPPUNIT_ASSERT(record(announcement_with(2)) == announcement_effect::outdated);
        now_ += std::chrono::minutes{20};
        forget_silent_workers(workers_, now_);
        CPPUNIT_ASSERT(workers_.empty());
    }

    static wire::worker_presence life(std::uint64_t number, std::uint64_t sequence)
    {
        auto announcement = announcement_with(sequence);
        announcement.worker.id = make_worker_id("w1", incarnation{number});
        return announcement;
    }

    void next_life_of_a_worker_is_a_new_worker()
    {
        record(life(100, 9));
        CPPUNIT_ASSERT(record(life(200, 1)) == announcement_effect::new_worker);
        CPPUNIT_ASSERT(record(life(200, 2)) == announcement_effect::unchanged);
        const auto& former = workers_.at(life(100, 9).worker.id);
        CPPUNIT_ASSERT(former.over);
        CPPUNIT_ASSERT(!former.presence.left);
        CPPUNIT_ASSERT(record(life(100, 10)) == announcement_effect::outdated);
    }

    void announcement_of_an_earlier_life_is_outdated()
    {
        record(life(200, 1));
        CPPUNIT_ASSERT(record(life(100, 10)) == announcement_effect::outdated);
        CPPUNIT_ASSERT(record(announcement_with(10)) == announcement_effect::outdated);
    }

    void departure_removes_the_life_that_announced_it()
    {
        auto leaving = life(100, 4);
        leaving.leaving = true;
        record(leaving);
        auto departure = departure_announcement();
        resolve_departure(workers_, departure);
        CPPUNIT_ASSERT(record(departure) == announcement_effect::departure);
        CPPUNIT_ASSERT(workers_.at(leaving.worker.id).presence.left);
    }

    void late_departure_of_an_earlier_life_does_not_remove_the_next_one()
    {
        auto leaving = life(100, 4);
        leaving.leaving = true;
        record(leaving);
        record(life(200, 1));
        auto departure = departure_announcement();
        resolve_departure(workers_, departure);
        CPPUNIT_ASSERT(record(departure) == announcement_effect::outdated);
        CPPUNIT_ASSERT(!workers_.at(life(200, 1).worker.id).presence.left);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(announced_workers_test);

} // namespace galenaturn::schedule
