#include <galenaturn/membership.h>

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::membership {

class announcement_table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(announcement_table_test);
    CPPUNIT_TEST(late_and_duplicated_announcements_change_nothing);
    CPPUNIT_TEST(a_later_life_replaces_an_earlier_one);
    CPPUNIT_TEST(an_upstream_that_is_leaving_stays_so_for_its_life);
    CPPUNIT_TEST(a_silent_upstream_lapses_once_and_only_news_brings_it_back);
    CPPUNIT_TEST(a_lapsed_upstream_is_forgotten_after_its_retention);
    CPPUNIT_TEST_SUITE_END();

    static announcement_table make_table()
    {
        findings found;
        auto chart = load_chart(std::string{GALENATURN_SOURCE_DIR} + "/charts", "upstream",
                                announcement_table::action_names(), found);
        CPPUNIT_ASSERT_EQUAL(std::string{}, found.text());
        return announcement_table{std::move(chart)};
    }

    static wire::upstream_announcement said(std::uint64_t life, std::uint64_t sequence)
    {
        wire::upstream_announcement announcement;
        announcement.id = upstream_id{"runner-1"};
        announcement.service = service_id{"renewdesk"};
        announcement.life = incarnation{life};
        announcement.sequence = sequence;
        announcement.slots = 8;
        return announcement;
    }

    static announcement_outcome hear(announcement_table& table,
                                     const wire::upstream_announcement& announcement,
                                     time_point heard, table_events& events)
    {
        return table.hear(announcement, heard, heard + announcement_ttl, events);
    }

    static time_point at(int milliseconds)
    {
        return time_point{std::chrono::milliseconds{milliseconds}};
    }

    void late_and_duplicated_announcements_change_nothing()
    {
        auto table = make_table();
        table_events events;
        CPPUNIT_ASSERT(hear(table, said(1, 5), at(0), events) == announcement_outcome::news);
        CPPUNIT_ASSERT(hear(table, said(1, 5), at(900), events) == announcement_outcome::duplicate);
        CPPUNIT_ASSERT(hear(table, said(1, 4), at(900), events) == announcement_outcome::late);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.announced.size());
        CPPUNIT_ASSERT(table.find(upstream_id{"runner-1"})->heard == at(0));
        CPPUNIT_ASSERT(hear(table, said(1, 6), at(900), events) == announcement_outcome::refreshed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.announced.size());
        CPPUNIT_ASSERT(table.find(upstream_id{"runner-1"})->heard == at(900));
    }

    void a_later_life_replaces_an_earlier_one()
    {
        auto table = make_table();
        table_events events;
        hear(table, said(1, 500), at(0), events);
        CPPUNIT_ASSERT(hear(table, said(2, 1), at(10), events) == announcement_outcome::news);
        CPPUNIT_ASSERT(hear(table, said(1, 501), at(20), events) == announcement_outcome::late);
        CPPUNIT_ASSERT(table.find(upstream_id{"runner-1"})->last.life == incarnation{2});
    }

    void an_upstream_that_is_leaving_stays_so_for_its_life()
    {
        auto table = make_table();
        table_events events;
        auto leaving = said(1, 2);
        leaving.leaving = true;
        hear(table, leaving, at(0), events);
        CPPUNIT_ASSERT(hear(table, said(1, 3), at(1), events) == announcement_outcome::left_before);
        CPPUNIT_ASSERT_EQUAL(std::string{"leaving"}, table.find(upstream_id{"runner-1"})->state);
        CPPUNIT_ASSERT(hear(table, said(2, 1), at(2), events) == announcement_outcome::news);
        CPPUNIT_ASSERT_EQUAL(std::string{"announced"}, table.find(upstream_id{"runner-1"})->state);
    }

    void a_silent_upstream_lapses_once_and_only_news_brings_it_back()
    {
        auto table = make_table();
        table_events events;
        hear(table, said(1, 7), at(0), events);
        table.expire(at(2500), events);
        CPPUNIT_ASSERT(events.lapsed.empty());
        table.expire(at(2501), events);
        table.expire(at(2600), events);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.lapsed.size());
        CPPUNIT_ASSERT(hear(table, said(1, 7), at(2700), events) ==
                       announcement_outcome::duplicate);
        CPPUNIT_ASSERT_EQUAL(std::string{"lapsed"}, table.find(upstream_id{"runner-1"})->state);
        CPPUNIT_ASSERT(hear(table, said(1, 8), at(2700), events) == announcement_outcome::news);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, events.announced.size());
    }

    void a_lapsed_upstream_is_forgotten_after_its_retention()
    {
        auto table = make_table();
        table_events events;
        hear(table, said(1, 7), at(0), events);
        table.expire(at(3000), events);
        table.expire(at(62'500), events);
        CPPUNIT_ASSERT(table.find(upstream_id{"runner-1"}) != nullptr);
        table.expire(at(62'501), events);
        CPPUNIT_ASSERT(table.find(upstream_id{"runner-1"}) == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(announcement_table_test);

} // namespace galenaturn::membership
