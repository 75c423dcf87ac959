#pragma once

#include "restartingworkers.h"
#include "testleader.h"

#include <cppunit/TestAssert.h>

namespace galenaturn::controld {

inline constexpr duration lease = std::chrono::milliseconds{4500};
inline constexpr duration lease_limit = std::chrono::milliseconds{6500};
inline constexpr std::uint32_t tasks = 3;
inline constexpr millicores processors_per_task{20'000};

inline job_settings short_leases()
{
    job_settings settings;
    settings.lease = lease;
    settings.lease_limit = lease_limit;
    settings.start_delay_limit = std::chrono::milliseconds{6000};
    return settings;
}

inline wire::worker_record make_worker(const std::string& name)
{
    wire::worker_record worker;
    worker.id = worker_id{name};
    worker.service = service_id{"desk"};
    worker.address = {"127.0.0.1", 1};
    worker.capacity = {millicores{64'000}, bytes{std::int64_t{256} << 30}, {}};
    return worker;
}

/** A leader with the workers a and b. All tasks run on a; nothing runs on b. */
struct departing_worker {
    restarting_workers* workers{nullptr};
    test_leader leader;

    departing_worker()
        : leader{short_leases(),
                 {{make_worker("a"), make_worker("b")}, {}},
                 [this](boost::asio::io_context& io) {
                     auto made = std::make_unique<restarting_workers>(io, lease_limit);
                     made->begin_life("a", incarnation{});
                     made->begin_life("b", incarnation{});
                     workers = made.get();
                     return made;
                 }}
    {
        workers->cut_off("b", true);
        leader.run_for(std::chrono::milliseconds{300});
        leader.submit_tasks("job", tasks, processors_per_task);
        CPPUNIT_ASSERT(leader.run_until([&] { return workers->running("a") == tasks; }));
        workers->cut_off("b", false);
        leader.run_for(std::chrono::seconds{1});
    }

    bool run_until_all_run_on_b(duration limit)
    {
        return leader.run_until([&] { return workers->running("b") == tasks; }, limit);
    }
};

} // namespace galenaturn::controld
