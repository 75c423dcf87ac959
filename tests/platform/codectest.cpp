#include "platform/jobcodec.h"
#include "platform/queuecodec.h"
#include "platform/workercodec.h"

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::platform {

namespace {

const std::string announcement =
    R"({"service":"desk","address":"10.0.0.9:8080","zone":"hall-a","version":"v1","slots":8,)"
    R"("state":"ready","coldRemainingMs":0,"capacity":{"cpu":16000,"memMb":32768,"gpu":0},)"
    R"("labels":["a","r1-3"],"clockMs":482113,"sequence":4})";

/** Returns `text` with the first occurrence of `from` replaced by `to`. */
std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

std::string configuration(const std::string& routes)
{
    return R"({"version":7,"routes":[)" + routes + R"(],"services":[{"name":"desk"}]})";
}

const std::string route =
    R"({"name":"r-1","host":"h.example","pathPrefix":"/a/","timeoutMs":3000,)"
    R"("targetLatencyMs":250,"priority":2,"service":"desk","maxAttempts":3,"stretch":1.5})";

} // namespace

/** Encodes and decodes the platform's messages. A message with any invalid part is rejected. */
class codec_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(codec_test);
    CPPUNIT_TEST(reads_a_job_with_its_steps);
    CPPUNIT_TEST(rejects_a_job_with_a_field_of_the_wrong_type);
    CPPUNIT_TEST(a_job_id_has_sixteen_hexadecimal_digits);
    CPPUNIT_TEST(task_names_round_trip);
    CPPUNIT_TEST(reads_an_announcement);
    CPPUNIT_TEST(rejects_malformed_announcements);
    CPPUNIT_TEST(an_announcement_names_the_life_of_its_worker);
    CPPUNIT_TEST(an_announcement_with_an_implausible_start_names_no_worker);
    CPPUNIT_TEST(a_worker_report_names_the_life_of_its_worker);
    CPPUNIT_TEST(reads_a_worker_report);
    CPPUNIT_TEST(rejects_incomplete_worker_reports);
    CPPUNIT_TEST(report_with_as_many_ends_as_are_listed_at_a_time_is_not_complete);
    CPPUNIT_TEST(a_malformed_report_leaves_the_other_fields_of_the_reply);
    CPPUNIT_TEST(reads_a_report_that_exceeds_the_buffer_of_a_document);
    CPPUNIT_TEST(commands_have_the_fencing_token_and_the_lease);
    CPPUNIT_TEST(writes_a_pace_command);
    CPPUNIT_TEST(reads_a_configuration);
    CPPUNIT_TEST(rejects_invalid_configurations);
    CPPUNIT_TEST_SUITE_END();

    void reads_a_job_with_its_steps()
    {
        const auto spec = read_job(
            R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,"estimatedMs":900,)"
            R"("affinity":"r1-3"},{"count":2,"cpu":2000,"after":[0],"checkpointing":true,)"
            R"("targetMs":18,"image":"i1","missBudget":1}]})");
        CPPUNIT_ASSERT(spec.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, spec->steps.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{256} << 20, spec->steps[0].demand.memory.value());
        CPPUNIT_ASSERT_EQUAL(std::string{"r1-3"}, spec->steps[0].data_rack.value());
        CPPUNIT_ASSERT(spec->steps[1].checkpoints);
        CPPUNIT_ASSERT_EQUAL(0U, spec->steps[1].after.front());
        CPPUNIT_ASSERT(spec->steps[1].tail_target == std::chrono::milliseconds{18});
        CPPUNIT_ASSERT_EQUAL(1U, spec->steps[1].disruption_budget.value());
    }

    void rejects_a_job_with_a_field_of_the_wrong_type()
    {
        for (const char* body :
             {"", "{", "[]", R"({"steps":{}})", R"({"spec":1,"steps":[{"count":1}]})",
              R"({"spec":"s","steps":[{"count":"1"}]})", R"({"spec":"s","steps":[{"count":0}]})",
              R"({"spec":"s","steps":[{"count":1,"after":[0]}]})",
              R"({"spec":"s","steps":[{"count":1,"cpu":-5}]})", R"({"spec":"s","steps":[]})"})
            CPPUNIT_ASSERT_MESSAGE(body, !read_job(body));
    }

    void a_job_id_has_sixteen_hexadecimal_digits()
    {
        CPPUNIT_ASSERT(job_id_in_path("/lohu930/5c0e7a21d94b36f8").has_value());
        for (const char* path : {"/lohu930/", "/lohu930/5c0e7a21d94b36f", "/5c0e7a21d94b36g8", ""})
            CPPUNIT_ASSERT_MESSAGE(path, !job_id_in_path(path));
    }

    void task_names_round_trip()
    {
        const wire::task_ref task{submission_id{"5c0e7a21d94b36f8"}, 3, 1, 17};
        CPPUNIT_ASSERT_EQUAL(std::string{"5c0e7a21d94b36f8.3.1.17"}, write_task(task));
        CPPUNIT_ASSERT(read_task(write_task(task)) == task);
        for (const char* name : {"5c0e7a21d94b36f8.3.1", "5c0e7a21d94b36f8.3.1.x", "x.0.0.0",
                                 "5c0e7a21d94b36f8.0.0.0.0"})
            CPPUNIT_ASSERT_MESSAGE(name, !read_task(name));
    }

    void reads_an_announcement()
    {
        const auto presence = read_announcement("w", announcement);
        CPPUNIT_ASSERT(presence.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{"r1-3"}, presence->worker.rack.value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{16000}, presence->worker.capacity.processors.value());
        CPPUNIT_ASSERT(!presence->leaving);
    }

    void rejects_malformed_announcements()
    {
        const std::vector<std::string> broken{
            announcement.substr(0, announcement.size() / 2),
            replaced(announcement, R"("service":"desk",)", ""),
            replaced(announcement, R"("10.0.0.9:8080")", R"("desk.example:80")"),
            replaced(announcement, R"("ready")", R"("resting")"),
            replaced(announcement, R"("sequence":4)", R"("sequence":"4")"),
            replaced(announcement, R"({"cpu":16000,"memMb":32768,"gpu":0})", "[]"),
            replaced(announcement, R"(["a","r1-3"])", R"([1,2])"),
            replaced(announcement, "16000", "-1"),
        };
        for (const auto& body : broken)
            CPPUNIT_ASSERT_MESSAGE(body, !read_announcement("w", body));
    }

    static std::string started(const std::string& value)
    {
        return replaced(announcement, R"("sequence":4)", R"("sequence":4,"born":)" + value);
    }

    void an_announcement_names_the_life_of_its_worker()
    {
        const auto presence = read_announcement("w", started("1773226114081"));
        CPPUNIT_ASSERT(presence.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{"w"}, name_of(presence->worker.id));
        CPPUNIT_ASSERT(incarnation_of(presence->worker.id) == incarnation{1773226114081});
        // Platforms whose workers never return under the same name do not have the field.
        CPPUNIT_ASSERT(read_announcement("w", announcement)->worker.id == worker_id{"w"});
    }

    void an_announcement_with_an_implausible_start_names_no_worker()
    {
        for (const char* value : {R"("1773226114081")", "-1", "0", "null", "[]", "1.5", "true",
                                  "1e300", "9007199254740993"})
            CPPUNIT_ASSERT_MESSAGE(value, !read_announcement("w", started(value)));
    }

    void a_worker_report_names_the_life_of_its_worker()
    {
        const auto report = read_report(R"({"clockMs":1,"born":12,"running":[],"endedRuns":[]})");
        CPPUNIT_ASSERT(report->life == incarnation{12});
        CPPUNIT_ASSERT(!read_report(R"({"born":"12","running":[],"endedRuns":[]})"));
    }

    void reads_a_worker_report()
    {
        const auto report =
            read_report(R"({"clockMs":1,"running":[["5c0e7a21d94b36f8.0.1.17",2,"c1",41,310]],)"
                        R"("endedRuns":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})");
        CPPUNIT_ASSERT(report.has_value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{310}, report->report.running.front().measurement);
        CPPUNIT_ASSERT(report->report.ended.front().outcome == schedule::run_outcome::succeeded);
    }

    /** The first 500 ends of a worker were taken for all of them. */
    void report_with_as_many_ends_as_are_listed_at_a_time_is_not_complete()
    {
        for (const std::size_t ends : {0, 1, 499, 500}) {
            std::string rows;
            for (std::size_t number = 1; number <= ends; ++number)
                rows += (number > 1 ? "," : "") + ("[" + std::to_string(number) +
                                                   R"(,"0123456789abcdef.0.0.0",1,"done",""])");
            const auto read = read_report(R"({"running":[],"endedRuns":[)" + rows + "]}");
            CPPUNIT_ASSERT(read);
            CPPUNIT_ASSERT_EQUAL(ends, read->report.ended.size());
            CPPUNIT_ASSERT_EQUAL(ends < 500, read->report.complete);
        }
    }

    void rejects_incomplete_worker_reports()
    {
        for (const char* body :
             {R"({"running":[]})", R"({"running":[["x"]],"endedRuns":[]})",
              R"({"running":[],"endedRuns":[[1,"x",1,"done",""]]})",
              R"({"running":[],"endedRuns":[[1,"5c0e7a21d94b36f8.0.1.9",1,"?",""]]})"})
            CPPUNIT_ASSERT_MESSAGE(body, !read_report(body));
    }

    void a_malformed_report_leaves_the_other_fields_of_the_reply()
    {
        const auto valid =
            read_poll_reply(R"({"clockMs":7,"born":12,"running":[],"endedRuns":[]})");
        CPPUNIT_ASSERT(valid.reply.clock == std::chrono::milliseconds{7});
        CPPUNIT_ASSERT(valid.report && valid.report->life == incarnation{12});
        const auto incomplete = read_poll_reply(R"({"clockMs":7,"reason":"fence","running":[]})");
        CPPUNIT_ASSERT(incomplete.reply.clock == std::chrono::milliseconds{7});
        CPPUNIT_ASSERT_EQUAL(std::string{"fence"}, incomplete.reply.reason);
        CPPUNIT_ASSERT(!incomplete.report);
        for (const char* body : {"", "[]", "null", R"({"clockMs":7,)"}) {
            const auto unreadable = read_poll_reply(body);
            CPPUNIT_ASSERT_MESSAGE(body, !unreadable.reply.clock && !unreadable.report);
        }
    }

    void reads_a_report_that_exceeds_the_buffer_of_a_document()
    {
        const int tasks = 2000;
        std::string rows;
        for (int index = 0; index < tasks; ++index)
            rows += (index == 0 ? "" : ",") + std::string{R"(["5c0e7a21d94b36f8.0.1.)"} +
                    std::to_string(index) + R"(",2,"checkpoint-longer-than-a-pointer",41,310])";
        const auto polled =
            read_poll_reply(R"({"clockMs":1,"running":[)" + rows + R"(],"endedRuns":[]})");
        CPPUNIT_ASSERT(polled.report.has_value());
        const auto& running = polled.report->report.running;
        CPPUNIT_ASSERT_EQUAL(std::size_t{tasks}, running.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{tasks - 1}, running.back().task.index);
        CPPUNIT_ASSERT_EQUAL(std::string{"checkpoint-longer-than-a-pointer"},
                             running.back().checkpoint);
    }

    void commands_have_the_fencing_token_and_the_lease()
    {
        schedule::start_command command;
        command.task = {submission_id{"5c0e7a21d94b36f8"}, 0, 1, 17};
        command.run = 2;
        command.text = "a \"text\"";
        const auto body = write_start(command, fencing_token{7}, std::chrono::milliseconds{486000});
        CPPUNIT_ASSERT(body.find(R"("fencingToken":7)") != std::string::npos);
        CPPUNIT_ASSERT(body.find(R"("deadlineMs":486000)") != std::string::npos);
        CPPUNIT_ASSERT(body.find("checkpoint") == std::string::npos);
    }

    void writes_a_pace_command()
    {
        schedule::pace_command command;
        command.task = {submission_id{"5c0e7a21d94b36f8"}, 0, 1, 17};
        command.run = 2;
        command.percent = 40;
        CPPUNIT_ASSERT_EQUAL(
            std::string{
                R"({"task":"5c0e7a21d94b36f8.0.1.17","run":2,"percent":40,"fencingToken":7})"},
            write_pace(command, fencing_token{7}));
    }

    void reads_a_configuration()
    {
        const auto read = read_queues(configuration(route));
        CPPUNIT_ASSERT_EQUAL(std::string{}, read.problem);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, read.version);
        CPPUNIT_ASSERT_EQUAL(3U, read.queues.front().max_attempts);
        CPPUNIT_ASSERT(read.queues.front().latency == std::chrono::milliseconds{250});
    }

    void rejects_invalid_configurations()
    {
        const std::vector<std::string> broken{
            configuration(route).substr(0, 60),
            configuration(replaced(route, R"("desk")", R"("other")")),
            configuration(replaced(route, "3000", "0")),
            configuration(replaced(route, R"("timeoutMs":3000,)", "")),
            configuration(route + "," + replaced(route, "r-1", "r-2")),
            replaced(configuration(route), R"("version":7,)", ""),
            replaced(configuration(route), R"("services")", R"("serves")"),
        };
        for (const auto& body : broken)
            CPPUNIT_ASSERT_MESSAGE(body, !read_queues(body).problem.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(codec_test);

} // namespace galenaturn::platform
