#include <galenaturn/membership.h>

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::membership {

class announcement_table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(announcement_table_test);
    CPPUNIT_TEST(outdated_and_duplicated_announcements_change_nothing);
    CPPUNIT_TEST(a_later_incarnation_replaces_an_earlier_one);
    CPPUNIT_TEST(a_leaving_upstream_stays_leaving_until_its_next_incarnation);
    CPPUNIT_TEST(a_silent_upstream_expires_once_and_only_a_later_announcement_restores_it);
    CPPUNIT_TEST(an_expired_upstream_is_forgotten_after_its_retention);
    CPPUNIT_TEST_SUITE_END();

    static announcement_table make_table()
    {
        findings found;
        auto chart = load_chart(std::string{GALENATURN_SOURCE_DIR} + "/charts", "upstream",
                                announcement_table::action_names(), found);
        CPPUNIT_ASSERT_EQUAL(std::string{}, found.text());
        return announcement_table{std::move(chart)};
    }

    static wire::upstream_announcement announcement_of(std::uint64_t incarnation_number,
                                                       std::uint64_t sequence)
    {
        wire::upstream_announcement announcement;
        announcement.id = upstream_id{"runner-1"};
        announcement.service = service_id{"renewdesk"};
        announcement.incarnation_number = incarnation{incarnation_number};
        announcement.sequence = sequence;
        announcement.slots = 8;
        return announcement;
    }

    static announcement_outcome announce(announcement_table& table,
                                         const wire::upstream_announcement& announcement,
                                         time_point received_at, upstream_events& events)
    {
        return table.on_announcement(announcement, received_at, received_at + announcement_ttl,
                                     events);
    }

    static time_point at_ms(int milliseconds)
    {
        return time_point{std::chrono::milliseconds{milliseconds}};
    }

    void outdated_and_duplicated_announcements_change_nothing()
    {
        auto table = make_table();
        upstream_events events;
        CPPUNIT_ASSERT(announce(table, announcement_of(1, 5), at_ms(0), events) ==
                       announcement_outcome::changed);
        CPPUNIT_ASSERT(announce(table, announcement_of(1, 5), at_ms(900), events) ==
                       announcement_outcome::duplicate);
        CPPUNIT_ASSERT(announce(table, announcement_of(1, 4), at_ms(900), events) ==
                       announcement_outcome::outdated);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.announced.size());
        CPPUNIT_ASSERT(table.find(upstream_id{"runner-1"})->last_seen == at_ms(0));
        CPPUNIT_ASSERT(announce(table, announcement_of(1, 6), at_ms(900), events) ==
                       announcement_outcome::refreshed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.announced.size());
        CPPUNIT_ASSERT(table.find(upstream_id{"runner-1"})->last_seen == at_ms(900));
    }

    void a_later_incarnation_replaces_an_earlier_one()
    {
        auto table = make_table();
        upstream_events events;
        announce(table, announcement_of(1, 500), at_ms(0), events);
        CPPUNIT_ASSERT(announce(table, announcement_of(2, 1), at_ms(10), events) ==
                       announcement_outcome::changed);
        CPPUNIT_ASSERT(announce(table, announcement_of(1, 501), at_ms(20), events) ==
                       announcement_outcome::outdated);
        CPPUNIT_ASSERT(table.find(upstream_id{"runner-1"})->last_announcement.incarnation_number ==
                       incarnation{2});
    }

    void a_leaving_upstream_stays_leaving_until_its_next_incarnation()
    {
        auto table = make_table();
        upstream_events events;
        auto leaving = announcement_of(1, 2);
        leaving.leaving = true;
        announce(table, leaving, at_ms(0), events);
        CPPUNIT_ASSERT(announce(table, announcement_of(1, 3), at_ms(1), events) ==
                       announcement_outcome::already_leaving);
        CPPUNIT_ASSERT_EQUAL(std::string{"leaving"}, table.find(upstream_id{"runner-1"})->state);
        CPPUNIT_ASSERT(announce(table, announcement_of(2, 1), at_ms(2), events) ==
                       announcement_outcome::changed);
        CPPUNIT_ASSERT_EQUAL(std::string{"announced"}, table.find(upstream_id{"runner-1"})->state);
    }

    void a_silent_upstream_expires_once_and_only_a_later_announcement_restores_it()
    {
        auto table = make_table();
        upstream_events events;
        announce(table, announcement_of(1, 7), at_ms(0), events);
        table.expire(at_ms(2500), events);
        CPPUNIT_ASSERT(events.expired.empty());
        table.expire(at_ms(2501), events);
        table.expire(at_ms(2600), events);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.expired.size());
        CPPUNIT_ASSERT(announce(table, announcement_of(1, 7), at_ms(2700), events) ==
                       announcement_outcome::duplicate);
        CPPUNIT_ASSERT_EQUAL(std::string{"lapsed"}, table.find(upstream_id{"runner-1"})->state);
        CPPUNIT_ASSERT(announce(table, announcement_of(1, 8), at_ms(2700), events) ==
                       announcement_outcome::changed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, events.announced.size());
    }

    void an_expired_upstream_is_forgotten_after_its_retention()
    {
        auto table = make_table();
        upstream_events events;
        announce(table, announcement_of(1, 7), at_ms(0), events);
        table.expire(at_ms(3000), events);
        table.expire(at_ms(62'500), events);
        CPPUNIT_ASSERT(table.find(upstream_id{"runner-1"}) != nullptr);
        table.expire(at_ms(62'501), events);
        CPPUNIT_ASSERT(table.find(upstream_id{"runner-1"}) == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(announcement_table_test);

} // namespace galenaturn::membership
