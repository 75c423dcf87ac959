#include "controld/assignerservice.h"
#include "controld/stewardservice.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/post.hpp>

#include <optional>

namespace galenaturn::controld {

namespace {

/** A ledger with a single voter that applies commands immediately. */
class fake_ledger {
public:
    explicit fake_ledger(control_hub& hub) : hub_{hub}
    {
        hub.state = [this]() -> const ledger::ledger_state& { return state_; };
        hub.leads = [] { return true; };
        hub.leader = [] { return process_id{"control-a"}; };
        hub.submit = [this](wire::command command,
                            time_point) -> boost::asio::awaitable<wire::command_response> {
            ledger::applied_change change;
            change.index = index_ = index_.next();
            std::visit([&](const auto& body) { apply(body, change); }, command);
            for (const auto& listener : hub_.applied)
                listener(change);
            wire::command_response response;
            response.status = wire::command_status::accepted;
            co_return response;
        };
    }

    void submit_task(const std::string& name)
    {
        auto& record = state_.tasks[task_id{name}];
        record.id = task_id{name};
        record.job = job_id{"job"};
        record.demand = {millicores{1000}, bytes{1000}, {}};
        record.hold = std::chrono::seconds{60};
        ledger::applied_change change;
        change.index = index_ = index_.next();
        change.tasks = {record.id};
        for (const auto& listener : hub_.applied)
            listener(change);
    }

    process_id steward_of(const std::string& domain)
    {
        return state_.stewardships[failure_domain_id{domain}].steward;
    }

    const wire::task_record& task(const std::string& name) { return state_.tasks[task_id{name}]; }

private:
    template <class Other>
    void apply(const Other& /*body*/, ledger::applied_change& /*change*/)
    {
    }
    void apply(const wire::grant_stewardship& body, ledger::applied_change& change)
    {
        state_.stewardships[body.domain] = {body.steward, body.expected.next()};
        change.stewardships = true;
    }
    void apply(const wire::assign_tasks& body, ledger::applied_change& change)
    {
        for (const auto& item : body.items) {
            auto& record = state_.tasks[item.id];
            record.phase = wire::task_phase::assigned;
            record.domain = item.domain;
            record.assignment = item.expected.next();
            change.tasks.push_back(item.id);
        }
    }
    void apply(const wire::report_tasks& body, ledger::applied_change& change)
    {
        for (const auto& item : body.items) {
            auto& record = state_.tasks[item.id];
            record.outcome = item.outcome;
            if (item.outcome != wire::task_outcome::none)
                record.phase = wire::task_phase::finished;
            change.tasks.push_back(item.id);
        }
    }

    control_hub& hub_;
    ledger::ledger_state state_;
    log_index index_;
};

process_settings make_settings()
{
    process_settings settings;
    settings.self.id = process_id{"control-a"};
    settings.self.role = process_role::control;
    settings.self.domain = failure_domain_id{"hall-a"};
    settings.members = {settings.self};
    settings.charts_folder = GALENATURN_SOURCE_DIR "/charts";
    return settings;
}

} // namespace

class service_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(service_test);
    CPPUNIT_TEST(a_submitted_task_runs_on_a_worker_and_its_outcome_reaches_the_ledger);
    CPPUNIT_TEST(commands_reach_a_worker_that_has_two_heartbeats_in_flight);
    CPPUNIT_TEST_SUITE_END();

    void a_submitted_task_runs_on_a_worker_and_its_outcome_reaches_the_ledger()
    {
        daemon::context shared{make_settings()};
        control_hub hub;
        fake_ledger ledger{hub};
        assigner_service assigner{shared, hub};
        steward_service steward{shared, hub};
        CPPUNIT_ASSERT(assigner.start());
        CPPUNIT_ASSERT(steward.start());
        ledger.submit_task("t1");

        wire::worker_announcement announced;
        announced.id = worker_id{"w1"};
        announced.domain = failure_domain_id{"hall-a"};
        announced.incarnation_number = incarnation{1};
        announced.capacity = {millicores{4000}, bytes{100'000}, {}};
        const std::function<void()> beat = [&] {
            announced.heartbeat = announced.heartbeat.next();
            wire::frame sent{wire::frame_kind::worker_announcement, 0, wire::encode(announced)};
            shared.frames.dispatch(shared.channels.self, std::move(sent), [&](std::string reply) {
                const auto response = wire::decode<wire::worker_response>(reply);
                for (const auto& command : response.value().commands) {
                    if (command.kind != wire::worker_command_kind::start)
                        continue;
                    wire::worker_task task;
                    task.id = command.id;
                    task.assignment = command.assignment;
                    task.state = wire::worker_task_state::succeeded;
                    announced.tasks = {task};
                }
                boost::asio::post(shared.io, beat);
            });
        };
        const auto deadline = monotonic_now() + std::chrono::seconds{15};
        bool announced_once = false;
        while (ledger.task("t1").phase != wire::task_phase::finished &&
               monotonic_now() < deadline) {
            shared.io.run_one_for(std::chrono::milliseconds{100});
            if (!announced_once && hub.state().stewardships.contains(announced.domain)) {
                beat();
                announced_once = true;
            }
        }
        shared.io.stop();
        CPPUNIT_ASSERT(ledger.task("t1").outcome == wire::task_outcome::succeeded);
        CPPUNIT_ASSERT(shared.metrics.text().find("galenaturn_evictions_total") !=
                       std::string::npos);
    }

    /**
     * Sends a heartbeat after each response with two heartbeats in flight, as happens after the
     * steward was suspended for a while. Each response then belongs to an older heartbeat than the
     * last one received, but must still carry its commands.
     */
    void commands_reach_a_worker_that_has_two_heartbeats_in_flight()
    {
        daemon::context shared{make_settings()};
        control_hub hub;
        fake_ledger ledger{hub};
        assigner_service assigner{shared, hub};
        steward_service steward{shared, hub};
        CPPUNIT_ASSERT(assigner.start());
        CPPUNIT_ASSERT(steward.start());
        while (ledger.steward_of("hall-a").empty())
            shared.io.run_one();

        wire::worker_announcement announced;
        announced.id = worker_id{"w1"};
        announced.domain = failure_domain_id{"hall-a"};
        announced.incarnation_number = incarnation{1};
        announced.capacity = {millicores{4000}, bytes{100'000}, {}};
        wire::worker_task unknown;
        unknown.id = task_id{"unknown-to-the-steward"};
        unknown.assignment = epoch{1};
        unknown.state = wire::worker_task_state::succeeded;
        announced.tasks = {unknown};
        bool stopped = false;
        const std::function<void()> beat = [&] {
            announced.heartbeat = announced.heartbeat.next();
            wire::frame sent{wire::frame_kind::worker_announcement, 0, wire::encode(announced)};
            shared.frames.dispatch(shared.channels.self, std::move(sent), [&](std::string reply) {
                const auto response = wire::decode<wire::worker_response>(reply);
                for (const auto& command : response.value().commands)
                    stopped |= command.kind == wire::worker_command_kind::stop;
                boost::asio::post(shared.io, beat);
            });
        };
        beat();
        beat();
        constexpr std::uint64_t max_heartbeats = 2000;
        while (!stopped && announced.heartbeat.value() < max_heartbeats)
            shared.io.run_one();
        CPPUNIT_ASSERT(stopped);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(service_test);

} // namespace galenaturn::controld
