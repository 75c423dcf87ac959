#pragma once

// Starts a small deployment of the project's own programs and stand-ins of runners on loopback
// addresses, plays the operator and the clients, and keeps the record of a case.

#include "http.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <vector>

namespace review {

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_could_not_run = 2;

/** One line of the record. */
struct event {
    std::int64_t at{0};
    std::string text;
};

struct run_event {
    std::int64_t at{0};
    std::string runner;
    std::string kind;
    std::string task;
    std::int64_t run{0};
    std::string how;
    std::int64_t number{0};
};

struct queue {
    std::string name;
    std::string host;
    std::string prefix;
    int priority{0};
    int attempts{3};
    double stretch{2};
    int target_ms{1000};
};

struct runner_options {
    std::int64_t cpu{64000};
    std::int64_t memory_mb{250'000};
    std::string rack{"r1-0"};
    /** How late the runner carries out one call of hold; 0: all are answered at once. */
    int late_ms{0};
};

class deployment {
public:
    static constexpr int zone_count = 3;
    static constexpr int heartbeat_ms = 1100;

    deployment()
    {
        began_ = now_ms();
        const char* trouble = std::getenv("TROUBLE");
        trouble_ = trouble == nullptr || std::string{trouble} != "0";
        char name[] = "/tmp/review-XXXXXX";
        folder_ = mkdtemp(name);
        base_ = "127." + std::to_string(20 + getpid() % 200) + ".";
        journal_ = folder_ / "journal";
    }

    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    ~deployment() { end_all(); }

    /** Ends all processes that it has started, and removes its folder. */
    void end_all()
    {
        for (const auto& [process, started] : processes_) {
            kill(started.pid, SIGCONT);
            kill(started.pid, SIGKILL);
        }
        processes_.clear();
        while (wait(nullptr) > 0) {
        }
        std::error_code ignored;
        if (std::getenv("KEEP") == nullptr)
            std::filesystem::remove_all(folder_, ignored);
        else
            std::cerr << "kept: " << folder_ << "\n";
    }

    [[nodiscard]] bool trouble() const { return trouble_; }

    void note(const std::string& text) { events_.push_back({now_ms(), text}); }

    /** Starts three control processes and three entries, one of each in a zone. */
    bool start()
    {
        if (!choose_ports())
            return false;
        for (int zone = 0; zone < zone_count; ++zone) {
            start_control(zone, true);
            start_entry(zone);
        }
        return true;
    }

    void start_control(int zone, bool first)
    {
        const auto name = "core-hall-" + zone_letter(zone) + "-1";
        const auto data = folder_ / name;
        std::filesystem::create_directories(data);
        write_settings(name, zone, control_ip(zone), control_port_, "control", first,
                       "data_folder: \"" + data.string() + "\"\n");
        start_program(name, "control");
    }

    void start_entry(int zone)
    {
        const auto name = "frontend-hall-" + zone_letter(zone) + "-1";
        write_settings(name, zone, entry_ip(zone), entry_port_, "entry", true,
                       "readiness: \"" + entry_ip(zone) + ":" + std::to_string(ready_port_) +
                           "\"\n");
        start_program(name, "entry");
    }

    /** Starts a runner at place `place`; a runner at the same place has the same address. */
    void start_runner(const std::string& id, int place, const runner_options& options)
    {
        const address own{runner_ip(place), runner_port_};
        std::string controls;
        for (int zone = 0; zone < zone_count; ++zone)
            controls += (zone > 0 ? "," : "") + control(zone).text();
        note("runner " + id + " is started at " + own.text());
        spawn(id,
              {std::filesystem::read_symlink("/proc/self/exe").parent_path() / "runner", id,
               own.text(), "hall-" + zone_letter(place % zone_count), options.rack,
               std::to_string(options.cpu), std::to_string(options.memory_mb), service_,
               std::to_string(heartbeat_ms), journal_.string(), controls,
               std::to_string(options.late_ms)},
              {});
    }

    void signal_process(const std::string& name, int number)
    {
        const auto found = processes_.find(name);
        if (found == processes_.end())
            return;
        note("signal " + std::to_string(number) + " to " + name);
        kill(found->second.pid, number);
        if (number != SIGKILL)
            return;
        waitpid(found->second.pid, nullptr, 0);
        processes_.erase(found);
    }

    /** Returns the names of processes that have ended by themselves. */
    std::vector<std::string> ended_processes()
    {
        std::vector<std::string> ended;
        for (const auto& [name, started] : processes_) {
            if (waitpid(started.pid, nullptr, WNOHANG) == started.pid)
                ended.push_back(name);
        }
        for (const auto& name : ended)
            processes_.erase(name);
        return ended;
    }

    [[nodiscard]] address control(int zone) const { return {control_ip(zone), control_port_}; }
    [[nodiscard]] address entry(int zone) const { return {entry_ip(zone), entry_port_}; }
    [[nodiscard]] static std::string control_name(int zone)
    {
        return "core-hall-" + zone_letter(zone) + "-1";
    }

    /** Returns the zone of the control process that leads, as its log says, or -1. */
    int leading_zone() const
    {
        for (int zone = 0; zone < zone_count; ++zone) {
            std::ifstream log{folder_ / (control_name(zone) + ".log")};
            std::string line;
            std::string last;
            while (std::getline(log, line)) {
                if (line.find("term_begun") != std::string::npos ||
                    line.find("term_ended") != std::string::npos)
                    last = line;
            }
            if (last.find("term_begun") != std::string::npos &&
                processes_.contains(control_name(zone)))
                return zone;
        }
        return -1;
    }

    /** Sends a configuration until it is acknowledged. */
    bool publish(const std::vector<queue>& queues, bool guards = true)
    {
        std::ostringstream body;
        body << R"({"version":)" << ++version_ << R"(,"routes":[)";
        for (const auto& route : queues) {
            body << (&route == &queues.front() ? "" : ",") << R"({"name":")" << route.name
                 << R"(","host":")" << route.host << R"(","pathPrefix":")" << route.prefix
                 << R"(","type":"non_idempotent","timeoutMs":3000,"targetLatencyMs":)"
                 << route.target_ms << R"(,"priority":)" << route.priority << R"(,"service":")"
                 << service_ << R"(","maxAttempts":)" << route.attempts << R"(,"stretch":)"
                 << route.stretch << "}";
        }
        body << R"(],"services":[{"name":")" << service_
             << R"(","healthCheckPath":"/health","maxConnections":64,"protocol":"h1","tls":false,)"
             << R"("rejectsOverload":)" << (guards ? "true" : "false")
             << R"(,"standby":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
             << R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
        const auto end = now_ms() + 15'000;
        for (int zone = 0; now_ms() < end; zone = (zone + 1) % zone_count) {
            const auto answer = request(control(zone), "PUT", "/-/config", body.str(), 1000);
            note("operator: PUT /-/config version " + std::to_string(version_) + " at " +
                 control_name(zone) + ": " + std::to_string(answer.status));
            if (answer.status == 200)
                return true;
            sleep_ms(200);
        }
        return false;
    }

    bool wait_until_ready()
    {
        const auto end = now_ms() + 15'000;
        int ready = 0;
        while (ready < zone_count && now_ms() < end) {
            const auto answer =
                request({entry_ip(ready), ready_port_}, "GET", "/-/readiness", "", 1000);
            if (answer.status == 200)
                ++ready;
            else
                sleep_ms(100);
        }
        return ready == zone_count;
    }

    /** Sends one request of a client to the entry of a zone. */
    message call(int zone, const std::string& method, const queue& route, const std::string& job,
                 const std::string& body = {})
    {
        const auto answer =
            request(entry(zone), method, route.prefix + job, body, 3000,
                    {{"Host", route.host}, {"Galenaturn-Request-Deadline", "3000"}});
        note("client: " + method + " " + route.prefix + job + ": " + std::to_string(answer.status) +
             " " + answer.body);
        return answer;
    }

    /** Hands a job in; sends it again as clients do. Returns whether it was accepted. */
    bool submit(const queue& route, const std::string& job, const std::string& body)
    {
        for (int attempt = 0; attempt < 5; ++attempt) {
            const auto answer = call(attempt % zone_count, "POST", route, job, body);
            if (answer.status / 100 == 2)
                return true;
            sleep_ms(300);
        }
        return false;
    }

    /** Returns the state that a client is shown, or the status code. */
    std::string state_of(const queue& route, const std::string& job)
    {
        const auto answer = call(0, "GET", route, job);
        const auto begin = answer.body.find(R"("state":")");
        if (answer.status != 200 || begin == std::string::npos)
            return std::to_string(answer.status);
        return answer.body.substr(begin + 9, answer.body.find('"', begin + 9) - begin - 9);
    }

    /** Returns what the runners have written so far. */
    [[nodiscard]] std::vector<run_event> run_events() const
    {
        std::vector<run_event> events;
        std::ifstream journal{journal_};
        std::string line;
        while (std::getline(journal, line)) {
            std::istringstream words{line};
            std::string word;
            run_event read;
            words >> read.at >> word >> read.runner >> read.kind;
            if (read.kind == "start")
                words >> read.task >> word >> read.run;
            else if (read.kind == "end")
                words >> read.task >> word >> read.run >> read.how >> word >> read.number;
            else if (read.kind == "seen")
                words >> read.number;
            events.push_back(read);
        }
        return events;
    }

    /** Writes the record and returns the exit code. */
    int finish(int code, const std::string& verdict, const std::string& record)
    {
        note("verdict: " + verdict);
        std::ifstream journal{journal_};
        std::string line;
        while (std::getline(journal, line)) {
            const auto space = line.find(' ');
            events_.push_back({std::atoll(line.c_str()), line.substr(space + 1)});
        }
        std::stable_sort(events_.begin(), events_.end(),
                         [](const auto& left, const auto& right) { return left.at < right.at; });
        std::ofstream out{record};
        out << "Milliseconds since the start of the case, what happened. trouble "
            << (trouble_ ? "on" : "off") << "\n";
        for (const auto& entry : events_)
            out << entry.at - began_ << " " << entry.text << "\n";
        std::cout << verdict << std::endl;
        return code;
    }

    static void sleep_ms(std::int64_t span)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{span});
    }

    [[nodiscard]] std::int64_t began() const { return began_; }

private:
    struct process {
        pid_t pid{0};
    };

    static std::string zone_letter(int zone)
    {
        return std::string(1, static_cast<char>('a' + zone));
    }
    [[nodiscard]] std::string control_ip(int zone) const
    {
        return base_ + std::to_string(zone + 1) + ".16";
    }
    [[nodiscard]] std::string entry_ip(int zone) const
    {
        return base_ + std::to_string(zone + 1) + ".13";
    }
    [[nodiscard]] std::string runner_ip(int place) const
    {
        return base_ + std::to_string(place % zone_count + 1) + "." + std::to_string(100 + place);
    }

    /** Chooses ports that are free on all addresses. */
    bool choose_ports()
    {
        for (int attempt = 0; attempt < 50; ++attempt) {
            const int first =
                12'000 + static_cast<int>((now_ms() * 31 + getpid() + attempt * 97) % 16'000);
            bool free = true;
            for (int port = first; port < first + 6; ++port) {
                const int listener = open_listener({"0.0.0.0", port});
                free = free && listener >= 0;
                if (listener >= 0)
                    close(listener);
            }
            if (!free)
                continue;
            peer_port_ = first;
            control_port_ = first + 1;
            entry_port_ = first + 2;
            ready_port_ = first + 3;
            runner_port_ = first + 4;
            metrics_port_ = first + 5;
            return true;
        }
        return false;
    }

    /** Writes what deploy/settings.yaml gives for this process. */
    void write_settings(const std::string& name, int zone, const std::string& ip, int http_port,
                        const std::string& role, bool first, const std::string& more) const
    {
        std::ofstream out{folder_ / (name + ".yaml")};
        out << "name: \"" << name << "\"\n"
            << more << "metrics: \"" << ip << ":" << metrics_port_ << "\"\n"
            << "drain_notice: 1500ms\ndrain_limit: 3s\nbody_limit: 4MiB\njobs:\n  lease: 7500ms\n"
            << "  stop_limit: 400ms\n  announcement_interval: " << heartbeat_ms << "ms\nself:\n"
            << "  role: " << role << "\n  failure_domain: \"hall-" << zone_letter(zone)
            << "\"\n  region: \"tx-central\"\n  peer: \"" << ip << ":" << peer_port_
            << "\"\n  http: \"" << ip << ":" << http_port << "\"\n  seeds: [";
        for (int seed = 0; seed < zone_count; ++seed)
            out << (seed > 0 ? "," : "") << "\"" << control(seed).text() << "\"";
        out << "]\n  form_ledger: " << (first ? "true" : "false") << "\n  tolerated_disks: 1\n";
    }

    /** Returns the words of the command that the deploy file has for the role. */
    static std::vector<std::string> command_of(const std::string& role)
    {
        std::ifstream deploy{"deploy/system.toml"};
        std::string line;
        bool in_role = false;
        while (std::getline(deploy, line)) {
            if (line.starts_with("["))
                in_role = line == "[roles." + role + "]";
            if (!in_role || !line.starts_with("run"))
                continue;
            const auto begin = line.find('"') + 1;
            std::istringstream text{line.substr(begin, line.rfind('"') - begin)};
            std::vector<std::string> words;
            for (std::string word; text >> word;)
                words.push_back(word);
            return words;
        }
        return {};
    }

    void start_program(const std::string& name, const std::string& role)
    {
        note("process " + name + " is started");
        spawn(name, command_of(role),
              {"GALENATURN_CONFIG=" + (folder_ / (name + ".yaml")).string()});
    }

    void spawn(const std::string& name, const std::vector<std::string>& words,
               const std::vector<std::string>& environment)
    {
        const auto log = folder_ / (name + ".log");
        std::vector<char*> arguments;
        for (const auto& word : words)
            arguments.push_back(const_cast<char*>(word.c_str()));
        arguments.push_back(nullptr);
        std::vector<std::string> kept = environment;
        for (const char* key : {"PATH", "HOME", "LANG"}) {
            if (const char* value = std::getenv(key))
                kept.push_back(std::string{key} + "=" + value);
        }
        std::vector<char*> variables;
        for (const auto& variable : kept)
            variables.push_back(const_cast<char*>(variable.c_str()));
        variables.push_back(nullptr);
        const pid_t pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, STDOUT_FILENO);
            dup2(out, STDERR_FILENO);
            execve(arguments[0], arguments.data(), variables.data());
            _exit(127);
        }
        processes_[name] = {pid};
    }

    std::int64_t began_{0};
    bool trouble_{true};
    std::filesystem::path folder_;
    std::filesystem::path journal_;
    std::string base_;
    std::string service_{"renewdesk"};
    int version_{0};
    int peer_port_{0};
    int control_port_{0};
    int entry_port_{0};
    int ready_port_{0};
    int runner_port_{0};
    int metrics_port_{0};
    std::map<std::string, process> processes_;
    std::vector<event> events_;
};

} // namespace review
