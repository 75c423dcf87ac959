#include <galenaturn/core.h>

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn {

/** Checks the text formats that operators and their tools read: log lines, metrics and times. */
class text_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(text_test);
    CPPUNIT_TEST(log_values_are_quoted_and_escaped);
    CPPUNIT_TEST(metrics_start_at_zero_and_are_written_in_text_format);
    CPPUNIT_TEST(latency_summary_has_count_sum_and_four_quantiles);
    CPPUNIT_TEST(wall_times_survive_formatting_and_parsing);
    CPPUNIT_TEST(deadlines_are_parsed_from_times_or_durations);
    CPPUNIT_TEST_SUITE_END();

    void log_values_are_quoted_and_escaped()
    {
        CPPUNIT_ASSERT_EQUAL(std::string{"plain-1"}, log_quoted("plain-1"));
        CPPUNIT_ASSERT_EQUAL(std::string{"\"\""}, log_quoted(""));
        CPPUNIT_ASSERT_EQUAL(std::string{R"("a b")"}, log_quoted("a b"));
        CPPUNIT_ASSERT_EQUAL(std::string{R"("say \"x=1\"")"}, log_quoted("say \"x=1\""));
        const auto forged = log_quoted("a\nevent=forged\r\\");
        CPPUNIT_ASSERT_EQUAL(std::string::npos, forged.find_first_of("\n\r"));
        CPPUNIT_ASSERT_EQUAL(std::string{R"("a\nevent=forged\n\\")"}, forged);
    }

    void metrics_start_at_zero_and_are_written_in_text_format()
    {
        metrics_registry metrics;
        auto& refused = metrics.make_counter("refused_total", {{"reason", "queue_full"}});
        metrics.make_counter("refused_total", {{"reason", "a \"b\"\n\\c"}});
        metrics.make_gauge("depth").set(1.5);
        const auto at_start = metrics.text();
        CPPUNIT_ASSERT(at_start.find("# TYPE refused_total counter\n") != std::string::npos);
        CPPUNIT_ASSERT(at_start.find("refused_total{reason=\"queue_full\"} 0\n") !=
                       std::string::npos);
        CPPUNIT_ASSERT(at_start.find("{reason=\"a \\\"b\\\" \\\\c\"} 0\n") != std::string::npos);
        CPPUNIT_ASSERT(at_start.find("# TYPE depth gauge\ndepth 1.5\n") != std::string::npos);
        refused.add(3);
        CPPUNIT_ASSERT(&refused ==
                       &metrics.make_counter("refused_total", {{"reason", "queue_full"}}));
        CPPUNIT_ASSERT(metrics.text().find("{reason=\"queue_full\"} 3\n") != std::string::npos);
    }

    void latency_summary_has_count_sum_and_four_quantiles()
    {
        metrics_registry metrics;
        auto& latency = metrics.make_latency("took_seconds");
        CPPUNIT_ASSERT(metrics.text().find("took_seconds_count 0\n") != std::string::npos);
        for (int sample = 1; sample <= 1000; ++sample)
            latency.record(std::chrono::milliseconds{sample});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5005, latency.mean_seconds(), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, latency.quantile_seconds(0.5), 0.02);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.99, latency.quantile_seconds(0.99), 0.02);
        const auto text = metrics.text();
        for (const auto* part : {"{quantile=\"0.5\"}", "{quantile=\"0.95\"}", "{quantile=\"0.99\"}",
                                 "{quantile=\"0.999\"}", "took_seconds_count 1000\n"})
            CPPUNIT_ASSERT_MESSAGE(part, text.find(part) != std::string::npos);
    }

    void wall_times_survive_formatting_and_parsing()
    {
        const wall_time moment{std::chrono::milliseconds{1'772'685'000'250}};
        CPPUNIT_ASSERT_EQUAL(std::string{"2026-03-05T04:30:00.250Z"}, format_wall_time(moment));
        CPPUNIT_ASSERT(parse_wall_time("2026-03-05T04:30:00.250Z") == moment);
        CPPUNIT_ASSERT(parse_wall_time("2026-03-05T17:30:00.250+13:00") == moment);
        CPPUNIT_ASSERT(parse_wall_time("2026-03-04T22:30:00.25-06:00") == moment);
        for (const auto* text : {"", "2026-03-05", "2026-03-05T04:30:00", "2026-13-05T04:30:00Z",
                                 "2026-03-05T25:30:00Z", "2026-02-30T01:00:00Z", "soon"})
            CPPUNIT_ASSERT_MESSAGE(text, !parse_wall_time(text));
    }

    void deadlines_are_parsed_from_times_or_durations()
    {
        const wall_time now{std::chrono::hours{1000}};
        CPPUNIT_ASSERT(parse_deadline("2h", now) == now + std::chrono::hours{2});
        CPPUNIT_ASSERT(parse_deadline("1970-01-01T01:00:00Z", now) ==
                       wall_time{std::chrono::hours{1}});
        CPPUNIT_ASSERT(!parse_deadline("tomorrow", now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(text_test);

} // namespace galenaturn
