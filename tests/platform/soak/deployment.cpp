#include "deployment.h"

#include <boost/json.hpp>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <sstream>

namespace galenaturn::soak {

using std::chrono::milliseconds;

namespace {

constexpr int listener_of_child = 3;
/** Ports of one process: peer, HTTP, readiness, metrics. */
constexpr std::uint16_t ports_of_process = 4;
/** Time from SIGTERM until a process is killed. */
constexpr std::chrono::seconds grace_period{6};

std::int64_t to_ms(time_point time)
{
    return std::chrono::floor<milliseconds>(time.time_since_epoch()).count();
}

std::string domain_name(int domain)
{
    return "domain-" + std::string(1, static_cast<char>('a' + domain));
}

/** Describes an end that no signal of the soak explains, or returns nothing. */
std::string fault_of_end(const soak_process& process, int status, time_point now)
{
    if (!process.stopping)
        return process.name + " ended by itself, status " + std::to_string(status);
    if (status != 0)
        return process.name + " ended a planned stop with status " + std::to_string(status);
    if (now > process.stop_asked + grace_period)
        return process.name + " ended later than its grace period";
    return {};
}

} // namespace

deployment::deployment(std::filesystem::path programs, std::filesystem::path folder,
                       const deployment_sizes& sizes)
    : programs_{std::move(programs)}, folder_{std::move(folder)}, sizes_{sizes}
{
    std::filesystem::create_directories(folder_);
    const std::filesystem::path memory{"/dev/shm"};
    data_ = std::filesystem::is_directory(memory)
                ? memory / ("galenaturn-soak-" + std::to_string(getpid()) + "-" +
                            folder_.filename().string())
                : folder_;
}

deployment::~deployment()
{
    for (auto& process : processes_) {
        if (process.pid != 0) {
            kill(process.pid, SIGKILL);
            waitpid(process.pid, nullptr, 0);
        }
        if (process.orders >= 0)
            close(process.orders);
        if (process.listener >= 0)
            close(process.listener);
    }
    std::error_code ignored;
    if (data_ != folder_)
        std::filesystem::remove_all(data_, ignored);
}

void deployment::note(const std::string& text)
{
    notes_.push_back(std::to_string(to_ms(monotonic_now())) + " " + text);
}

std::vector<soak_process*> deployment::all_of(process_kind kind)
{
    std::vector<soak_process*> found;
    for (auto& process : processes_) {
        if (process.kind == kind)
            found.push_back(&process);
    }
    return found;
}

soak_process* deployment::leader()
{
    constexpr milliseconds answer_limit{200};
    const auto request = request_text("GET", "/v1/status", "status", "Connection: close\r\n", "");
    for (auto* control : all_of(process_kind::control)) {
        const auto status = call_once(control->address, request, answer_limit);
        if (status.status == 200 &&
            boost::json::parse(status.body).at("ledger").at("role") == "leader")
            return control;
    }
    return nullptr;
}

int deployment::life_of(const std::string& name) const
{
    const std::scoped_lock lock{lives_mutex_};
    const auto found = lives_.find(name);
    return found == lives_.end() ? 0 : found->second;
}

/** Below the ports that the system gives to callers, so that a process finds its port again. */
bool deployment::choose_ports()
{
    std::random_device device;
    network_ = "127." + std::to_string(16 + device() % 200) + ".";
    for (int attempt = 0; attempt < 100; ++attempt) {
        first_port_ = static_cast<std::uint16_t>(12'000 + device() % 16'000);
        bool free = true;
        for (std::uint16_t port = 0; port < ports_of_process; ++port) {
            const int listener =
                open_listener({"0.0.0.0", static_cast<std::uint16_t>(first_port_ + port)});
            free = free && listener >= 0;
            if (listener >= 0)
                close(listener);
        }
        if (free)
            return true;
    }
    return false;
}

void deployment::add_processes()
{
    constexpr int first_control = 10;
    constexpr int first_entry = 40;
    constexpr int first_worker = 100;
    const auto add = [&](const std::string& name, process_kind kind, int number, int first) {
        const int domain = number % domain_count;
        const auto ip = network_ + std::to_string(domain + 1) + "." +
                        std::to_string(first + number / domain_count);
        soak_process added;
        added.name = name + "-" + std::to_string(number + 1);
        added.kind = kind;
        added.domain = domain;
        added.address = {ip, static_cast<std::uint16_t>(first_port_ + 1)};
        processes_.push_back(added);
    };
    for (int number = 0; number < sizes_.controls; ++number)
        add("control", process_kind::control, number, first_control);
    for (int number = 0; number < sizes_.entries; ++number)
        add("entry", process_kind::entry, number, first_entry);
    for (int number = 0; number < sizes_.workers; ++number)
        add("worker", process_kind::worker, number, first_worker);
}

bool deployment::start(std::mt19937_64& random)
{
    if (!choose_ports())
        return false;
    add_processes();
    for (auto& process : processes_) {
        if (process.kind != process_kind::worker) {
            start_member(process);
            continue;
        }
        process.listener = open_listener(process.address);
        if (process.listener < 0)
            return false;
        start_worker(process, {static_cast<std::int64_t>(500 + random() % 100'000), 1, 0, false});
    }
    return true;
}

/** Writes what deploy/settings.yaml gives for this process. */
void deployment::write_settings(const soak_process& member) const
{
    const bool is_control = member.kind == process_kind::control;
    const auto at = [&](std::uint16_t port) {
        return "\"" + member.address.ip + ":" + std::to_string(first_port_ + port) + "\"";
    };
    std::ofstream out{folder_ / (member.name + ".yaml")};
    out << "name: \"" << member.name << "\"\n";
    if (is_control)
        out << "data_folder: \"" << (data_ / member.name).string() << "\"\n";
    else
        out << "readiness: " << at(2) << "\n";
    out << "metrics: " << at(3)
        << "\ndrain_notice: 1500ms\ndrain_limit: 3s\nbody_limit: 4MiB\njobs:\n  lease: 7500ms\n"
           "  lease_limit: 10000ms\n  stop_limit: 400ms\n  announcement_interval: 1100ms\n"
           "self:\n  role: "
        << (is_control ? "control" : "entry") << "\n  failure_domain: \""
        << domain_name(member.domain) << "\"\n  region: \"region-1\"\n  peer: " << at(0)
        << "\n  http: " << at(1) << "\n  seeds: [";
    for (const auto& process : processes_) {
        if (process.kind == process_kind::control)
            out << (&process == processes_.data() ? "" : ",") << "\"" << process.address.text()
                << "\"";
    }
    out << "]\n  form_ledger: " << (member.life <= 1 ? "true" : "false")
        << "\n  tolerated_disks: 1\n";
}

int deployment::spawn(const soak_process& process, const std::vector<std::string>& words, int input)
{
    const auto log = (folder_ / (process.name + ".log")).string();
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (const auto& word : words)
        arguments.push_back(const_cast<char*>(word.c_str()));
    arguments.push_back(nullptr);
    setenv(own_address_variable, process.address.ip.c_str(), 1);
    const auto parent = getpid();
    const pid_t pid = fork();
    if (pid != 0)
        return pid;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
        _exit(1);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    if (input >= 0)
        dup2(input, STDIN_FILENO);
    if (process.listener >= 0)
        dup2(process.listener, listener_of_child);
    if (process.listener == listener_of_child)
        fcntl(listener_of_child, F_SETFD, 0);
    execv(arguments[0], arguments.data());
    _exit(127);
}

void deployment::start_member(soak_process& member)
{
    const bool is_control = member.kind == process_kind::control;
    {
        const std::scoped_lock lock{lives_mutex_};
        member.life = ++lives_[member.name];
    }
    std::filesystem::create_directories(data_ / member.name);
    write_settings(member);
    member.stopping = false;
    const auto* program = is_control ? "galenaturn-control" : "galenaturn-entry";
    member.pid = spawn(
        member, {programs_ / program, "--settings", (folder_ / (member.name + ".yaml")).string()},
        -1);
    note("start " + member.name);
    disruptions_.end(member.name, monotonic_now());
}

void deployment::start_worker(soak_process& worker, const worker_life& life)
{
    std::string controls;
    for (const auto* control : all_of(process_kind::control))
        controls += (controls.empty() ? "" : ",") + control->address.text();
    int orders[2]{};
    if (pipe2(orders, O_CLOEXEC) != 0)
        return;
    if (worker.orders >= 0)
        close(worker.orders);
    worker.orders = orders[1];
    worker.stopping = false;
    ++worker.life;
    worker.pid = spawn(
        worker,
        {SOAK_WORKER, "--id=" + worker.name, "--address=" + worker.address.text(),
         "--domain=" + domain_name(worker.domain), "--service=clerks", "--controls=" + controls,
         "--journal=" + journal().string(),
         "--calls=" + (folder_ / (worker.name + ".calls")).string(),
         "--listener=" + std::to_string(listener_of_child), "--clock=" + std::to_string(life.clock),
         "--clock_rate=" + std::to_string(life.clock_rate),
         "--calls_after=" + std::to_string(life.calls_after), life.cut ? "--cut" : "--nocut"},
        orders[0]);
    close(orders[0]);
    note("start " + worker.name + (life.cut ? " behind a cut" : ""));
}

void deployment::signal(soak_process& target, int number)
{
    if (target.pid == 0)
        return;
    const auto now = monotonic_now();
    const bool is_control = target.kind == process_kind::control;
    note("signal " + std::to_string(number) + " to " + target.name);
    if (number == SIGKILL || number == SIGSTOP || number == SIGTERM)
        disruptions_.begin(target.name, is_control, number == SIGTERM, now);
    if (number == SIGTERM) {
        target.stopping = true;
        target.stop_asked = now;
    }
    if (observer_ && (number == SIGSTOP || number == SIGCONT || number == SIGKILL))
        observer_(target, number == SIGSTOP);
    kill(target.pid, number);
    if (number == SIGCONT)
        disruptions_.end(target.name, monotonic_now());
    if (number != SIGKILL)
        return;
    waitpid(target.pid, nullptr, 0);
    target.pid = 0;
    if (target.kind == process_kind::worker)
        std::ofstream{journal(), std::ios::app} << to_ms(now) << " " << target.name << " gone\n";
}

void deployment::order(soak_process& worker, const std::string& word)
{
    const auto line = word + "\n";
    note(word + " " + worker.name);
    [[maybe_unused]] const auto size = write(worker.orders, line.data(), line.size());
}

void deployment::lose_disk(soak_process& member)
{
    signal(member, SIGKILL);
    std::filesystem::remove_all(data_ / member.name);
    note("disk of " + member.name + " lost");
}

void deployment::note_cut(const std::vector<soak_process*>& members, bool is_cut)
{
    for (const auto* member : members) {
        note((is_cut ? "cut " : "heal ") + member->name);
        if (is_cut)
            disruptions_.begin(member->name, true, false, monotonic_now());
        else
            disruptions_.end(member->name, monotonic_now());
    }
}

std::vector<std::string> deployment::collect_ended()
{
    std::vector<std::string> faults;
    const auto now = monotonic_now();
    for (auto& process : processes_) {
        int status = 0;
        if (process.pid == 0)
            continue;
        if (waitpid(process.pid, &status, WNOHANG) == process.pid) {
            note("end of " + process.name + " with status " + std::to_string(status));
            if (auto fault = fault_of_end(process, status, now); !fault.empty())
                faults.push_back(std::move(fault));
            process.pid = 0;
            continue;
        }
        if (!process.stopping || now <= process.stop_asked + grace_period)
            continue;
        faults.push_back(process.name + " did not end within its grace period");
        signal(process, SIGKILL);
    }
    return faults;
}

} // namespace galenaturn::soak
