#include "callers.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>
#include <thread>

namespace galenaturn::soak {

using std::chrono::milliseconds;
using std::chrono::seconds;
namespace json = boost::json;

namespace {

constexpr const char* jobs_host = "jobs.example";
constexpr const char* jobs_prefix = "/jobs/";
constexpr milliseconds request_deadline{3000};
constexpr milliseconds operator_timeout{1000};
constexpr milliseconds read_timeout{1500};
/** From when on an accepted job has to be known. */
constexpr milliseconds visible_after{3000};

void pause(duration span)
{
    std::this_thread::sleep_for(span);
}

std::int64_t between(std::mt19937_64& random, std::int64_t least, std::int64_t most)
{
    return std::uniform_int_distribution<std::int64_t>{least, most}(random);
}

std::string added_prefix(int version)
{
    return "/change" + std::to_string(version) + "/";
}

json::object make_route(const std::string& name, const std::string& prefix)
{
    return {{"name", name},         {"host", jobs_host},
            {"pathPrefix", prefix}, {"type", "non_idempotent"},
            {"timeoutMs", 3000},    {"targetLatencyMs", 250},
            {"priority", 0},        {"service", "clerks"},
            {"maxAttempts", 100},   {"stretch", 2.0}};
}

/** A configuration with a route that only this version has. */
std::string make_configuration(int version)
{
    const json::object service{{"name", "clerks"},     {"healthCheckPath", "/health"},
                               {"maxConnections", 64}, {"protocol", "h1"},
                               {"tls", false},         {"rejectsOverload", true},
                               {"standby", false}};
    const json::object limits{{"maxHeaderBytes", 16384},
                              {"maxBodyBytes", 262144},
                              {"headerTimeoutMs", 3000},
                              {"idleTimeoutMs", 15000}};
    json::array routes;
    routes.push_back(make_route("work", jobs_prefix));
    routes.push_back(make_route("added", added_prefix(version)));
    json::array services;
    services.push_back(service);
    return json::serialize(json::object{
        {"version", version}, {"routes", routes}, {"services", services}, {"limits", limits}});
}

std::string make_job(std::mt19937_64& random)
{
    const bool is_long = between(random, 0, 3) == 0;
    const auto work = is_long ? between(random, 4000, longest_work / milliseconds{1})
                              : between(random, 200, 2500);
    const auto text = "work_ms=" + std::to_string(work) +
                      " cpu=4000 memory=500 stop_ms=" + std::to_string(between(random, 0, 300));
    const auto step = [&] {
        return json::object{
            {"count", between(random, 1, 3)}, {"cpu", 4000}, {"memMb", 500}, {"estimatedMs", work}};
    };
    json::array steps;
    steps.push_back(step());
    if (!is_long && between(random, 0, 3) == 0) {
        auto second = step();
        second["after"] = json::array{0};
        steps.push_back(std::move(second));
    }
    return json::serialize(json::object{{"spec", text}, {"steps", std::move(steps)}});
}

std::string caller_request(const std::string& method, const std::string& target,
                           const std::string& body = {})
{
    return request_text(method, target, jobs_host, "Galenaturn-Request-Deadline: 3000\r\n", body);
}

struct submission {
    std::string id;
    std::string body;
    /** Whether an earlier attempt had no clear answer. */
    bool unclear{false};
};

class caller {
public:
    caller(caller_record& shared, std::size_t number)
        : shared_{shared}, random_{shared.seed * 1000 + number},
          prefix_{static_cast<unsigned>(number)}, entry_{number % shared.entries.size()}
    {
    }

    void run()
    {
        auto next_job = monotonic_now();
        while (!shared_.stopped) {
            if (!connect())
                continue;
            if (pending_.id.empty() && shared_.submits && monotonic_now() >= next_job) {
                next_job = monotonic_now() + shared_.job_interval;
                std::array<char, 17> id{};
                std::snprintf(id.data(), id.size(), "%04x%012x", prefix_ + 1, jobs_++);
                pending_ = {id.data(), make_job(random_), false};
            }
            if (!pending_.id.empty())
                submit();
            else
                ask();
            // Some callers leave their connections idle for a while.
            pause(milliseconds{prefix_ % 4 == 3 ? between(random_, 300, 1500)
                                                : between(random_, 2, 40)});
        }
    }

private:
    bool connect()
    {
        if (socket_.is_open() && !socket_.peer_has_closed())
            return true;
        if (socket_.connect(shared_.entries[entry_].address, milliseconds{500}))
            return true;
        pause(milliseconds{20});
        entry_ = static_cast<std::size_t>(
            between(random_, 0, static_cast<std::int64_t>(shared_.entries.size()) - 1));
        return false;
    }

    /** Returns the status of the response, or 0. */
    http_message exchange(const std::string& request)
    {
        ++shared_.requests;
        sent_ = monotonic_now();
        if (!socket_.send(request)) {
            socket_.close();
            return {};
        }
        constexpr milliseconds slack{500};
        const auto response = socket_.read(sent_ + request_deadline + slack);
        answered_ = monotonic_now();
        if (response) {
            if (response->closes())
                socket_.close();
            return *response;
        }
        socket_.close();
        ++shared_.unanswered;
        if (socket_.last_end() == read_end::timed_out)
            return {};
        const std::scoped_lock lock{shared_.mutex};
        shared_.broken.push_back({shared_.entries[entry_].name,
                                  request.substr(0, request.find(" HTTP")), sent_, answered_,
                                  socket_.last_end()});
        return {};
    }

    void submit()
    {
        const auto response =
            exchange(caller_request("POST", jobs_prefix + pending_.id, pending_.body));
        const auto status = response.status;
        const std::scoped_lock lock{shared_.mutex};
        if (status / 100 == 2) {
            ++shared_.accepted;
            shared_.open_jobs[pending_.id] = answered_;
            own_jobs_.push_back(pending_.id);
            pending_ = {};
            return;
        }
        if (status == 429 || status == 503) {
            if (!pending_.unclear)
                shared_.refused.insert(pending_.id);
            pending_ = {};
            return;
        }
        if (status / 100 == 4)
            shared_.violations.push_back("job " + pending_.id + " was answered with " +
                                         std::to_string(status) + " by " +
                                         shared_.entries[entry_].name);
        pending_.unclear = true;
    }

    void ask()
    {
        if (own_jobs_.empty()) {
            exchange(caller_request("GET", jobs_prefix));
            return;
        }
        const auto which = static_cast<std::size_t>(
            between(random_, 0, static_cast<std::int64_t>(own_jobs_.size()) - 1));
        const auto id = own_jobs_[which];
        const auto response = exchange(caller_request("GET", jobs_prefix + id));
        const std::scoped_lock lock{shared_.mutex};
        if (response.status == 410 && sent_ > shared_.open_jobs[id] + visible_after)
            shared_.unknown.push_back({shared_.entries[entry_].name, id, sent_, answered_});
        if (response.status != 200)
            return;
        const bool is_open = response.body.find("\"pending\"") != std::string::npos ||
                             response.body.find("\"running\"") != std::string::npos;
        if (is_open)
            return;
        if (response.body.find("\"completed\"") == std::string::npos)
            shared_.violations.push_back("job " + id + " is shown as " + response.body);
        shared_.open_jobs.erase(id);
        std::erase(own_jobs_, id);
    }

    caller_record& shared_;
    std::mt19937_64 random_;
    unsigned prefix_;
    unsigned jobs_{0};
    std::size_t entry_;
    http_socket socket_;
    time_point sent_;
    time_point answered_;
    submission pending_;
    std::vector<std::string> own_jobs_;
};

/** Returns the newest version, or with `older` one of the last few before. */
int choose_version(caller_record& shared, std::mt19937_64& random)
{
    const std::scoped_lock lock{shared.mutex};
    if (shared.changes.empty())
        return 0;
    constexpr std::int64_t remembered = 3;
    const auto last = static_cast<std::int64_t>(shared.changes.size()) - 1;
    const auto back = std::max<std::int64_t>(0, between(random, -remembered, remembered));
    return shared.changes[static_cast<std::size_t>(std::max<std::int64_t>(0, last - back))].version;
}

config_probe ask_entry(caller_record& shared, const callee& target, std::mt19937_64& random)
{
    config_probe probe;
    probe.version = choose_version(shared, random);
    probe.sent = monotonic_now();
    const auto request =
        request_text("GET", added_prefix(probe.version), jobs_host,
                     "Galenaturn-Request-Deadline: 1500\r\nConnection: close\r\n", "");
    const auto status = call_once(target.address, request, milliseconds{1500}).status;
    if (probe.version > 0 && status == 200)
        probe.shown = shown_version::in_force;
    if (probe.version > 0 && status == 404)
        probe.shown = shown_version::not_in_force;
    return probe;
}

config_probe ask_control(const callee& target, http_socket& kept)
{
    config_probe probe;
    probe.sent = monotonic_now();
    probe.version = kept.is_open() ? read_version(kept) : read_version(target);
    if (probe.version > 0)
        probe.shown = shown_version::read;
    return probe;
}

/** Sends a version once; returns whether it was acknowledged. */
bool send_version(caller_record& shared, int version, std::size_t control)
{
    const auto& target = shared.controls[control % shared.controls.size()];
    const auto request = request_text("PUT", "/-/config", target.address.text(),
                                      "Connection: close\r\n", make_configuration(version));
    const auto status = call_once(target.address, request, operator_timeout).status;
    const bool refused = status / 100 == 4 && status != 408 && status != 429;
    if (refused) {
        const std::scoped_lock lock{shared.mutex};
        shared.violations.push_back("version " + std::to_string(version) + " was refused with " +
                                    std::to_string(status) + " by " + target.name);
    }
    return status == 200;
}

} // namespace

void run_caller(caller_record& shared, std::size_t number)
{
    caller{shared, number}.run();
}

void run_watcher(caller_record& shared, const callee& target, bool is_control)
{
    constexpr milliseconds interval{60};
    std::mt19937_64 random{shared.seed ^ std::hash<std::string>{}(target.name)};
    http_socket kept;
    while (!shared.stopped) {
        const auto life = shared.life_of(target.name);
        const bool changes_connection = is_control && between(random, 0, 3) == 0;
        if (changes_connection && kept.is_open())
            kept.close();
        else if (changes_connection)
            kept.connect(target.address, interval);
        auto probe = is_control ? ask_control(target, kept) : ask_entry(shared, target, random);
        probe.process = target.name;
        probe.life = life;
        probe.answered = monotonic_now();
        if (probe.shown != shown_version::nothing && shared.life_of(target.name) == life) {
            const std::scoped_lock lock{shared.mutex};
            shared.probes.push_back(probe);
        }
        pause(interval);
    }
}

bool publish_next(caller_record& shared, time_point deadline)
{
    std::size_t index{};
    int version{};
    {
        const std::scoped_lock lock{shared.mutex};
        index = shared.changes.size();
        // Versions rise in uneven steps.
        version = index == 0 ? 1 : shared.changes.back().version + 1 + static_cast<int>(index % 3);
        shared.changes.push_back({version, monotonic_now()});
    }
    for (auto control = index; monotonic_now() < deadline; ++control) {
        if (send_version(shared, version, control)) {
            const std::scoped_lock lock{shared.mutex};
            shared.changes[index].acknowledged = monotonic_now();
            return true;
        }
        pause(milliseconds{100});
    }
    return false;
}

void run_operator(caller_record& shared)
{
    std::mt19937_64 random{shared.seed + 77};
    while (shared.operates) {
        const auto series = between(random, 0, 2) == 0 ? between(random, 2, 4) : 1;
        for (std::int64_t change = 0; change < series; ++change) {
            // What is never acknowledged is overtaken by the next version.
            publish_next(shared, monotonic_now() + seconds{10});
        }
        if (between(random, 0, 3) == 0) {
            // An acknowledged change arrives again.
            const auto version = choose_version(shared, random);
            send_version(shared, version, static_cast<std::size_t>(between(random, 0, 8)));
        }
        const auto next = monotonic_now() + milliseconds{between(random, 2700, 4500)};
        while (shared.operates && monotonic_now() < next)
            pause(milliseconds{20});
    }
}

int read_version(const callee& control)
{
    http_socket connection;
    return connection.connect(control.address, read_timeout) ? read_version(connection) : 0;
}

int read_version(http_socket& connection)
{
    const auto request = request_text("GET", "/-/config", "control", "", "");
    const bool sent = connection.send(request);
    const auto response = sent ? connection.read(monotonic_now() + read_timeout) : std::nullopt;
    if (!response || response->closes())
        connection.close();
    if (!response || response->status != 200)
        return 0;
    boost::system::error_code error;
    const auto parsed = json::parse(response->body, error);
    const auto* body = error ? nullptr : parsed.if_object();
    const auto* version = body == nullptr ? nullptr : body->if_contains("version");
    return version == nullptr ? 0 : version->to_number<int>();
}

bool serves_jobs(const callee& entry)
{
    const auto request =
        request_text("GET", jobs_prefix, jobs_host,
                     "Galenaturn-Request-Deadline: 1000\r\nConnection: close\r\n", "");
    return call_once(entry.address, request, seconds{1}).status == 200;
}

} // namespace galenaturn::soak
