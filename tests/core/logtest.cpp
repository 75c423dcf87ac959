#include <galenaturn/core.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <fcntl.h>
#include <string>
#include <unistd.h>

namespace galenaturn {

/** Checks that logging is rate-limited and never blocks the program. */
class log_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(log_test);
    CPPUNIT_TEST(rate_limit_applies_per_event_name);
    CPPUNIT_TEST(full_pipe_does_not_block);
    CPPUNIT_TEST_SUITE_END();

    void rate_limit_applies_per_event_name()
    {
        log_rate_limiter limiter{3};
        time_point now{std::chrono::hours{1}};
        int written = 0;
        for (int line = 0; line < 10; ++line)
            written += limiter.check("often", now).write ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(3, written);
        CPPUNIT_ASSERT(limiter.check("rare", now).write);
        now += std::chrono::seconds{1};
        const auto next = limiter.check("often", now);
        CPPUNIT_ASSERT(next.write);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, next.omitted);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, limiter.check("often", now).omitted);
    }

    /** Returns all bytes that can be read from the pipe without blocking. */
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

    /** Logs `lines` lines under 20 event names, so that no name reaches its rate limit. */
    static void log_lines(int lines)
    {
        constexpr int kinds = 20;
        for (int line = 0; line < lines; ++line)
            log_event(log_level::info, "full_pipe_" + std::to_string(line % kinds),
                      {{"text", std::string(100, 'x')}});
    }

    void full_pipe_does_not_block()
    {
        std::array<int, 2> ends{};
        CPPUNIT_ASSERT_EQUAL(0, ::pipe(ends.data()));
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
        const int saved_stderr = ::dup(STDERR_FILENO);
        ::dup2(ends[1], STDERR_FILENO);
        init_log(log_level::info);
        // Far more than the capacity of a pipe that nobody reads.
        constexpr int lines = 5000;
        log_lines(lines);
        const auto first = read_all(ends[0]);
        log_event(log_level::info, "full_pipe_last", {});
        const auto text = first + read_all(ends[0]);
        ::dup2(saved_stderr, STDERR_FILENO);
        init_log(log_level::warning);
        for (const int descriptor : {saved_stderr, ends[0], ends[1]})
            ::close(descriptor);
        const auto written = static_cast<int>(std::count(text.begin(), text.end(), '\n')) - 2;
        CPPUNIT_ASSERT(written > 0 && written < lines);
        const auto drop_report = "cause=full_pipe count=" + std::to_string(lines - written) + "\n";
        const auto position = text.find(drop_report);
        CPPUNIT_ASSERT(position != std::string::npos);
        CPPUNIT_ASSERT(text.find("event=full_pipe_last", position) != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_test);

} // namespace galenaturn
