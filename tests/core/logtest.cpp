#include <galenaturn/core.h>

#include "libcore/logbudget.h"
#include "libcore/logsink.h"

#include <cppunit/extensions/HelperMacros.h>

#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <algorithm>
#include <array>
#include <fcntl.h>
#include <memory>
#include <unistd.h>

namespace galenaturn {

/** Logs are bounded, and never make the program wait. */
class log_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(log_test);
    CPPUNIT_TEST(a_budget_bounds_each_event_by_itself);
    CPPUNIT_TEST(a_full_pipe_is_not_waited_for);
    CPPUNIT_TEST_SUITE_END();

    void a_budget_bounds_each_event_by_itself()
    {
        log_budget budget{3};
        time_point now{std::chrono::hours{1}};
        int written = 0;
        for (int line = 0; line < 10; ++line)
            written += budget.ask("often", now).write ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(3, written);
        CPPUNIT_ASSERT(budget.ask("rare", now).write);
        now += std::chrono::seconds{1};
        const auto next = budget.ask("often", now);
        CPPUNIT_ASSERT(next.write);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, next.left_out);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, budget.ask("often", now).left_out);
    }

    /** Reads what the pipe holds now. */
    static std::string read_all(int descriptor)
    {
        std::string text;
        std::array<char, 4096> part{};
        for (;;) {
            const auto count = ::read(descriptor, part.data(), part.size());
            if (count <= 0)
                return text;
            text.append(part.data(), static_cast<std::size_t>(count));
        }
    }

    void a_full_pipe_is_not_waited_for()
    {
        std::array<int, 2> ends{};
        CPPUNIT_ASSERT_EQUAL(0, ::pipe(ends.data()));
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
        log4cplus::initialize();
        const log4cplus::SharedAppenderPtr sink{new log_sink{ends[1]}};
        sink->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
        auto logger = log4cplus::Logger::getInstance("full_pipe");
        logger.setAdditivity(false);
        logger.setLogLevel(log4cplus::ALL_LOG_LEVEL);
        logger.addAppender(sink);
        // Far more than a pipe holds, and nobody reads.
        constexpr int lines = 5000;
        for (int line = 0; line < lines; ++line)
            logger.log(log4cplus::INFO_LOG_LEVEL, "event=test text=" + std::string(100, 'x'));
        const auto first = read_all(ends[0]);
        logger.log(log4cplus::INFO_LOG_LEVEL, "event=last");
        const auto text = first + read_all(ends[0]);
        logger.removeAllAppenders();
        ::close(ends[0]);
        ::close(ends[1]);
        const auto written = static_cast<int>(std::count(text.begin(), text.end(), '\n')) - 2;
        CPPUNIT_ASSERT(written > 0 && written < lines);
        const auto told = "cause=full_pipe count=" + std::to_string(lines - written) + "\n";
        CPPUNIT_ASSERT(text.find(told + "event=last\n") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_test);

} // namespace galenaturn
