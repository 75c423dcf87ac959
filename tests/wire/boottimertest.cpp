#include <galenaturn/wire.h>

#include <cppunit/extensions/HelperMacros.h>

#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <ctime>

namespace {

/** How long this process was suspended, by the clocks that it reads. */
std::atomic<std::int64_t> suspended_seconds{0};

} // namespace

/** Replaces the clock of the C library: CLOCK_BOOTTIME counts the suspension, all others do not. */
extern "C" int clock_gettime(clockid_t clock, timespec* now) noexcept
{
    const auto status = syscall(SYS_clock_gettime, clock, now);
    if (status == 0 && clock == CLOCK_BOOTTIME)
        now->tv_sec += suspended_seconds;
    return static_cast<int>(status);
}

namespace galenaturn::wire {

namespace asio = boost::asio;

/** Tests timers of a process that is suspended while they run. */
class boot_timer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(boot_timer_test);
    CPPUNIT_TEST(clock_counts_the_time_of_a_suspension);
    CPPUNIT_TEST(timer_that_became_due_during_a_suspension_fires_after_it);
    CPPUNIT_TEST(timer_fires_no_earlier_than_its_time_point);
    CPPUNIT_TEST(cancelled_timer_reports_that_it_was_cancelled);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::int64_t suspension_seconds{3600};

    /** Runs until the timer has fired. Returns the time that this took on the steady clock. */
    static std::chrono::steady_clock::duration run_until_fired(asio::io_context& io)
    {
        const auto began = std::chrono::steady_clock::now();
        io.run_for(std::chrono::seconds{20});
        return std::chrono::steady_clock::now() - began;
    }

public:
    void tearDown() override { suspended_seconds = 0; }

    void clock_counts_the_time_of_a_suspension()
    {
        const auto before = monotonic_now();
        suspended_seconds = suspension_seconds;
        CPPUNIT_ASSERT(monotonic_now() - before >= std::chrono::seconds{suspension_seconds});
    }

    void timer_that_became_due_during_a_suspension_fires_after_it()
    {
        asio::io_context io{1};
        boot_timer timer{io, monotonic_now() + std::chrono::minutes{30}};
        bool fired = false;
        timer.async_wait([&](const boost::system::error_code& error) { fired = !error; });
        asio::post(io, [] { suspended_seconds = suspension_seconds; });
        const auto took = run_until_fired(io);
        CPPUNIT_ASSERT(fired);
        CPPUNIT_ASSERT(took < std::chrono::seconds{10});
    }

    void timer_fires_no_earlier_than_its_time_point()
    {
        asio::io_context io{1};
        const auto due = monotonic_now() + 3 * boot_wait_traits::max_wait;
        boot_timer timer{io, due};
        time_point fired_at;
        timer.async_wait([&](const boost::system::error_code&) { fired_at = monotonic_now(); });
        run_until_fired(io);
        CPPUNIT_ASSERT(fired_at >= due);
    }

    void cancelled_timer_reports_that_it_was_cancelled()
    {
        asio::io_context io{1};
        boot_timer timer{io, time_point::max()};
        boost::system::error_code reported;
        timer.async_wait([&](const boost::system::error_code& error) { reported = error; });
        asio::post(io, [&timer] { timer.cancel(); });
        run_until_fired(io);
        CPPUNIT_ASSERT(reported == asio::error::operation_aborted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(boot_timer_test);

} // namespace galenaturn::wire
