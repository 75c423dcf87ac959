#include "nightly.h"

#include "measurements.h"

#include <algorithm>
#include <cmath>

namespace galenaturn::bench {

namespace {

using namespace schedule;
using std::chrono::seconds;

constexpr seconds step_length{2};
constexpr seconds night_length{4500};
constexpr seconds last_arrival{900};
constexpr seconds measurement_delay{10};
constexpr std::size_t jobs = 12;
constexpr std::size_t service_jobs = 3;
/** Latency of a service without neighbours at its usual load, in relation to its objective. */
constexpr double baseline_latency_ratio = 0.6;
constexpr double load_amplitude = 0.15;
constexpr double load_period_seconds = 1800;
constexpr std::chrono::milliseconds objective{100};

/** Returns whether the policy reacts to measured latencies, unlike the baseline policies. */
bool reacts(policy chosen)
{
    return chosen == policy::full_scheduler || chosen == policy::without_learning ||
           chosen == policy::without_hysteresis;
}

/** Returns a random value from `lowest` to `highest` with a uniformly distributed logarithm. */
double log_between(std::mt19937_64& random, double lowest, double highest)
{
    return std::exp(std::uniform_real_distribution<>{std::log(lowest), std::log(highest)}(random));
}

} // namespace

nightly_run::nightly_run(const nightly_options& options, policy chosen)
    : options_{options}, policy_{chosen}
{
    steward_.domain = failure_domain_id{"hall-a"};
    steward_.chart = &task_chart();
    steward_.hysteresis = chosen != policy::without_hysteresis;
    steward_.interference.learning = chosen != policy::without_learning;
    catalogue entries;
    service_entry service;
    service.owner = owner_id{"owner"};
    service.latency_objective = objective;
    entries.services[service_id{"service"}] = service;
    on_catalogue(steward_, entries);
    begin_stewardship(steward_, epoch{1}, now_);
    for (std::size_t number = 0; number < options.workers; ++number) {
        auto& beat = workers_.emplace_back().beat;
        beat.id = worker_id{"worker-" + std::to_string(1000 + number)};
        beat.domain = steward_.domain;
        beat.rack = rack_id{"rack-" + std::to_string(number / options.workers_per_rack)};
        beat.incarnation_number = incarnation{1};
        beat.capacity = {millicores{options.processor_millicores}, bytes{1 << 30}, {}};
    }
    for (std::size_t service_job = 0; service_job < service_jobs; ++service_job) {
        for (std::size_t job = 0; job < jobs; ++job) {
            const bool noisy = random_() % 10 < 3;
            effects_[{job_id{"service-" + std::to_string(service_job)},
                      job_id{"batch-" + std::to_string(job)}}] =
                noisy ? std::uniform_real_distribution<>{2, 4}(random_)
                      : std::uniform_real_distribution<>{0, 0.2}(random_);
        }
    }
    add_services();
    if (chosen != policy::services_alone)
        add_batch();
}

void nightly_run::add_services()
{
    for (std::size_t number = 0; number < options_.workers; ++number) {
        real_task real;
        real.job = job_id{"service-" + std::to_string(number % service_jobs)};
        real.service = true;
        real.processors = 6000;
        add_task(task_id{"service-" + std::to_string(number)}, real, 8000, {});
    }
}

void nightly_run::add_batch()
{
    const double scale = static_cast<double>(options_.processor_millicores) / 32'000;
    for (std::size_t number = 0; number < options_.batch_tasks; ++number) {
        const auto job = random_() % jobs;
        real_task real;
        real.job = job_id{"batch-" + std::to_string(job)};
        real.processors = scale * (2000 + 500 * static_cast<double>(job));
        real.remaining_work_seconds = std::uniform_real_distribution<>{300, 900}(random_);
        // All tasks of a job have the same error in their declared demand, since the owner declares
        // it once per job.
        std::mt19937_64 job_random{100 + job};
        const double declared = std::min(real.processors * log_between(job_random, 0.3, 5),
                                         0.6 * static_cast<double>(options_.processor_millicores));
        const duration deadline = seconds{static_cast<int>(std::uniform_int_distribution<>{
            2700, static_cast<int>(night_length.count())}(random_))};
        add_task(task_id{"batch-" + std::to_string(number)}, real, declared, deadline);
    }
}

void nightly_run::add_task(const task_id& id, const real_task& real, double declared,
                           duration deadline)
{
    wire::task_record record;
    record.id = id;
    record.job = real.job;
    record.owner = owner_id{"owner"};
    record.task_class = real.service ? work_class::interactive : work_class::batch;
    record.demand = {millicores{static_cast<std::int64_t>(declared)}, bytes{1 << 20}, {}};
    record.hold = std::chrono::hours{1};
    record.phase = wire::task_phase::assigned;
    record.domain = steward_.domain;
    record.assignment = epoch{1};
    if (!real.service)
        record.deadline =
            wall_time{} + std::chrono::duration_cast<std::chrono::milliseconds>(deadline);
    real_tasks_[id] = real;
    real_tasks_[id].deadline = deadline;
    const auto arrival =
        real.service ? duration{}
                     : seconds{30 + static_cast<int>(random_() % (last_arrival.count() - 30))};
    arrivals_.emplace_back(arrival, record);
}

double nightly_run::load() const
{
    const auto elapsed_seconds = std::chrono::duration<double>(elapsed_).count();
    return 1 + load_amplitude * std::sin(2 * 3.14159265 * elapsed_seconds / load_period_seconds);
}

double nightly_run::true_effect(const job_id& service, const job_id& batch) const
{
    const auto found = effects_.find({service, batch});
    return found == effects_.end() ? 0.0 : found->second;
}

/**
 * First fit chooses the first worker with enough free capacity, best fit the one with the least
 * free capacity.
 */
void nightly_run::place_by_baseline()
{
    // Tasks in their order of arrival.
    std::set<std::pair<time_point, task_id>> queue;
    for (const auto& position : steward_.queue)
        queue.insert({steward_.tasks.at(position.id).waiting_since, position.id});
    for (const auto& [arrived, name] : queue) {
        auto& task = steward_.tasks.at(name);
        worker_entry* chosen = nullptr;
        for (auto& [id, worker] : steward_.workers) {
            const auto free = worker.capacity - worker.reserved;
            if (!fits(task.reserved, free))
                continue;
            const bool better = chosen == nullptr ||
                                free.processors < (chosen->capacity - chosen->reserved).processors;
            // Services are spread over the workers under every policy.
            if (task.record.task_class == work_class::interactive && !worker.tasks.empty())
                continue;
            if (chosen == nullptr || (policy_ == policy::best_fit && better))
                chosen = &worker;
        }
        if (chosen != nullptr)
            place_task(steward_, task, *chosen, now_);
    }
}

/**
 * Advances the worker's tasks by one step. Returns the highest latency of its services in relation
 * to the objective.
 */
double nightly_run::advance_worker(simulated_worker& worker)
{
    double used = 0;
    const auto use_of = [&](const wire::worker_task& task) {
        const auto& real = real_tasks_.at(task.id);
        const auto limit = worker.limits.find(task.id);
        return limit == worker.limits.end() ? real.processors
                                            : std::min(real.processors, limit->second);
    };
    for (const auto& task : worker.beat.tasks)
        used += use_of(task);
    const auto capacity = static_cast<double>(options_.processor_millicores);
    const double overload = std::max(1.0, used / capacity);
    utilisation_sum_ += std::min(used, capacity) / capacity;
    double latency = 0;
    for (auto& task : worker.beat.tasks) {
        auto& real = real_tasks_.at(task.id);
        const double use = use_of(task);
        task.used.processors = millicores{static_cast<std::int64_t>(use)};
        if (!real.service) {
            real.remaining_work_seconds -=
                static_cast<double>(step_length.count()) * use / real.processors / overload;
            if (real.remaining_work_seconds <= 0 &&
                task.state == wire::worker_task_state::running) {
                task.state = wire::worker_task_state::succeeded;
                result_.deadline_misses += elapsed_ > real.deadline ? 1 : 0;
            }
            continue;
        }
        double slowdown = 1;
        for (const auto& other : worker.beat.tasks)
            slowdown +=
                true_effect(real.job, real_tasks_.at(other.id).job) * use_of(other) / capacity;
        latency = std::max(latency, baseline_latency_ratio * load() * slowdown * overload);
    }
    if (latency > 0)
        samples_.push_back(latency);
    return latency;
}

void nightly_run::exchange_heartbeat(simulated_worker& worker)
{
    worker.latencies.push_back(advance_worker(worker));
    const std::size_t delay = measurement_delay / step_length;
    const bool measurement_available = worker.latencies.size() > delay && reacts(policy_);
    const double delayed_latency =
        measurement_available ? worker.latencies[worker.latencies.size() - 1 - delay] : 0;
    worker.beat.service_latency = std::chrono::duration_cast<duration>(objective * delayed_latency);
    worker.beat.usage_age = measurement_delay;
    worker.beat.heartbeat = worker.beat.heartbeat.next();
    on_announcement(steward_, worker.beat, now_);
    std::erase_if(worker.beat.tasks,
                  [](const auto& task) { return task.state != wire::worker_task_state::running; });
    for (const auto& command : make_worker_response(steward_, worker.beat.id, now_).commands) {
        const auto task = std::find_if(worker.beat.tasks.begin(), worker.beat.tasks.end(),
                                       [&](const auto& one) { return one.id == command.id; });
        if (command.kind == wire::worker_command_kind::start)
            worker.beat.tasks.push_back(
                {command.id, command.assignment, wire::worker_task_state::running, {}, {}, {}});
        if (task == worker.beat.tasks.end())
            continue;
        if (command.kind == wire::worker_command_kind::throttle)
            worker.limits[command.id] = static_cast<double>(command.processors.value());
        if (command.kind == wire::worker_command_kind::checkpoint)
            task->checkpoint = checkpoint_id{std::to_string(steps_)};
        if (command.kind == wire::worker_command_kind::stop) {
            task->state = wire::worker_task_state::stopped;
            worker.limits.erase(command.id);
        }
    }
}

void nightly_run::step()
{
    now_ += step_length;
    elapsed_ += step_length;
    ++steps_;
    on_heartbeat_acknowledged(steward_, now_);
    std::erase_if(arrivals_, [this](const auto& arrival) {
        if (arrival.first > elapsed_)
            return false;
        on_task_record(steward_, arrival.second.id, &arrival.second, false, now_);
        return true;
    });
    if (!reacts(policy_))
        place_by_baseline();
    on_tick(steward_, now_);
    for (auto& worker : workers_)
        exchange_heartbeat(worker);
    for (const auto& item : next_reports(steward_, 1000)) {
        on_reports_accepted(steward_, {item});
        if (item.outcome != wire::task_outcome::none)
            on_task_record(steward_, item.id, nullptr, false, now_);
    }
}

nightly_result nightly_run::run()
{
    while (elapsed_ < night_length)
        step();
    for (const auto& [id, real] : real_tasks_)
        result_.deadline_misses += !real.service && real.remaining_work_seconds > 0 ? 1 : 0;
    const auto rank = static_cast<std::ptrdiff_t>(static_cast<double>(samples_.size()) * 0.99);
    std::nth_element(samples_.begin(), samples_.begin() + rank, samples_.end());
    result_.service_p99 = samples_[static_cast<std::size_t>(rank)];
    for (const auto count : steward_.counters.evictions)
        result_.evictions += count;
    result_.utilisation =
        utilisation_sum_ / static_cast<double>(steps_) / static_cast<double>(options_.workers);
    return result_;
}

} // namespace galenaturn::bench
