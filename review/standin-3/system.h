// Starts a small deployment of the project's own programs, with the commands of the deploy file,
// and its runners.
#pragma once

#include "net.h"

#include <csignal>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <sstream>
#include <vector>

namespace rig {

struct process {
    pid_t pid{-1};

    void signal(int number) const
    {
        if (pid > 0)
            kill(pid, number);
    }
    /** Kills it and waits for its end. */
    void destroy()
    {
        if (pid <= 0)
            return;
        kill(pid, SIGCONT);
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
        pid = -1;
    }
    [[nodiscard]] bool running() const { return pid > 0 && waitpid(pid, nullptr, WNOHANG) == 0; }
};

inline process spawn(std::vector<std::string> words, const std::string& log,
                     const std::vector<std::string>& environment = {})
{
    std::vector<char*> arguments;
    for (auto& word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    process out;
    out.pid = fork();
    if (out.pid == 0) {
        // It ends with the case, also where that is killed.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int file = open(log.c_str(), O_WRONLY | O_APPEND | O_CREAT, 0644);
        dup2(file, 1);
        dup2(file, 2);
        for (const auto& setting : environment)
            putenv(const_cast<char*>(setting.c_str()));
        execv(arguments[0], arguments.data());
        _exit(127);
    }
    return out;
}

struct machine {
    std::string name, zone, role, ip;
    address http, ready;
    process run;
};

/** Three control processes and six entries in three failure domains, as in tawhiti-grid. */
class deployment {
public:
    std::vector<machine> machines;
    std::map<std::string, process> runners;
    std::string folder, record_path, tools;
    record rec;
    std::int64_t zero{now_ms()};
    int peer_port{0}, http_port{0}, runner_port{0};

    explicit deployment(const std::string& record_file)
    {
        std::signal(SIGPIPE, SIG_IGN);
        const char* temporary = std::getenv("TMPDIR");
        auto path = std::string{temporary == nullptr ? "/tmp" : temporary} + "/review-3.XXXXXX";
        folder = mkdtemp(path.data());
        record_path = record_file;
        std::remove(record_path.c_str());
        rec.open(record_path, zero);
        std::srand(static_cast<unsigned>(getpid()));
        const char* zones[] = {"wellington-hall", "picton-hall", "nelson-hall"};
        net_ = "127.0." + std::to_string(20 + std::rand() % 200) + ".";
        peer_port = free_port();
        http_port = free_port();
        runner_port = free_port();
        for (int index = 0; index < 3; ++index) {
            const auto ip = net_ + std::to_string(index + 1);
            machines.push_back({"core-" + std::to_string(index + 1),
                                zones[index],
                                "control",
                                ip,
                                {ip, http_port},
                                {},
                                {}});
        }
        const int zone_of[] = {0, 1, 2, 0, 0, 2};
        for (int index = 0; index < 6; ++index) {
            const auto ip = net_ + std::to_string(index + 11);
            machines.push_back({"frontend-" + std::to_string(index + 1),
                                zones[zone_of[index]],
                                "entry",
                                ip,
                                {ip, http_port},
                                {ip, http_port + 1},
                                {}});
        }
    }
    ~deployment() { end(); }
    deployment(const deployment&) = delete;

    void end()
    {
        for (auto& [id, runner] : runners)
            runner.destroy();
        for (auto& each : machines)
            each.run.destroy();
        if (!folder.empty() && std::getenv("KEEP") == nullptr)
            std::system(("rm -rf " + folder).c_str());
    }

    void note(const std::string& what) const { rec.line("case", what); }

    /** The settings that deploy/settings.yaml gives on such a machine. */
    void write_settings(const machine& each, bool bootstrap) const
    {
        std::ofstream out{folder + "/" + each.name + ".yaml"};
        out << "name: \"" << each.name << "\"\n";
        if (each.role == "control")
            out << "data_folder: \"" << folder << "/data-" << each.name << "\"\n";
        else
            out << "readiness: \"" << each.ready.text() << "\"\n";
        out << "metrics: \"" << each.ip << ":9464\"\n"
            << "drain_notice: 1500ms\ndrain_limit: 3s\nbody_limit: 4MiB\njobs:\n  lease: 7500ms\n"
            << "  lease_limit: 10000ms\n  stop_limit: 200ms\n  announcement_interval: 1500ms\n"
            << "self:\n  role: " << each.role << "\n  failure_domain: \"" << each.zone
            << "\"\n  region: \"cook-strait\"\n  peer: \"" << each.ip << ":" << peer_port
            << "\"\n  http: \"" << each.http.text() << "\"\n  seeds: [";
        for (int index = 0; index < 3; ++index)
            out << (index ? ", " : "") << '"' << machines[index].http.text() << '"';
        out << "]\n  form_ledger: " << (bootstrap ? "true" : "false") << "\n  tolerated_disks: 1\n";
    }

    void start(machine& each, bool bootstrap = false)
    {
        write_settings(each, bootstrap);
        each.run = spawn(
            {"target/galenaturn-" + each.role, "--settings_from_environment=GALENATURN_CONFIG"},
            folder + "/" + each.name + ".log",
            {"GALENATURN_CONFIG=" + folder + "/" + each.name + ".yaml"});
    }

    bool start_all(const std::string& config)
    {
        for (auto& each : machines)
            start(each, true);
        for (int attempt = 0; attempt < 100; ++attempt) {
            if (call(machines[attempt % 3].http, "PUT", "/-/config", "", config, 1500).status ==
                200)
                return true;
            sleep_ms(100);
        }
        note("no node has acknowledged the configuration: the case can not run");
        return false;
    }

    address runner_address(int host) const
    {
        return {net_ + std::to_string(50 + host), runner_port};
    }

    void start_runner(const std::string& id, int host, const std::string& kind,
                      std::vector<std::string> more = {}, std::vector<address> controls = {})
    {
        if (controls.empty()) {
            for (int index = 0; index < 3; ++index)
                controls.push_back(machines[(host + index) % 3].http);
        }
        std::vector<std::string> words{tools + "/runner",
                                       "--id",
                                       id,
                                       "--zone",
                                       machines[host % 3].zone,
                                       "--rack",
                                       "r" + std::to_string(host % 3 + 1),
                                       "--kind",
                                       kind,
                                       "--service",
                                       "tawhiti-forecast",
                                       "--record",
                                       record_path,
                                       "--zero",
                                       std::to_string(zero),
                                       "--listen",
                                       runner_address(host).text()};
        for (const auto& control : controls) {
            words.push_back("--control");
            words.push_back(control.text());
        }
        words.insert(words.end(), more.begin(), more.end());
        runners[id] = spawn(std::move(words), folder + "/" + id + ".log");
    }

    /** A caller's request; the answer is recorded. */
    answer ask(const address& entry, const std::string& method, const std::string& path,
               const std::string& body = {}, std::int64_t deadline_ms = 3000) const
    {
        const auto began = now_ms();
        note("-> " + method + " " + path + " at " + entry.ip + " " + body.substr(0, 160));
        const auto got = call(entry, method, path,
                              "Host: nony24.example\r\nGalenaturn-Request-Deadline: " +
                                  std::to_string(deadline_ms) + "\r\n",
                              body, deadline_ms);
        note("<- " + method + " " + path + ": " +
             (got.status == 0 ? "no answer" : std::to_string(got.status)) + " " +
             got.body.substr(0, 160) + " after " + std::to_string(now_ms() - began) + " ms");
        return got;
    }

    /** What the runners have recorded so far, as words of a line after the time. */
    [[nodiscard]] std::vector<std::pair<double, std::vector<std::string>>> events() const
    {
        std::vector<std::pair<double, std::vector<std::string>>> out;
        std::ifstream in{record_path};
        for (std::string line; std::getline(in, line);) {
            std::istringstream words{line};
            double time = 0;
            words >> time;
            std::vector<std::string> row;
            for (std::string word; words >> word;)
                row.push_back(word);
            out.emplace_back(time, std::move(row));
        }
        return out;
    }

private:
    [[nodiscard]] int free_port() const
    {
        while (true) {
            const int port = 20000 + std::rand() % 12000;
            bool taken = false;
            for (int offset = 0; offset < 2; ++offset) {
                const int fd = listen_on({net_ + "1", port + offset});
                taken = taken || fd < 0;
                if (fd >= 0)
                    close(fd);
            }
            if (!taken)
                return port;
        }
    }

    std::string net_;
};

/** Whether the case runs with its disruption. */
inline bool has_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

/** A configuration with one queue. */
inline std::string config_text(int version, int max_attempts)
{
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"r-1","host":"nony24.example","pathPrefix":"/lohu930/","type":"non_idempotent","timeoutMs":3000,"targetLatencyMs":1000,"priority":0,"service":"tawhiti-forecast","maxAttempts":)" +
           std::to_string(max_attempts) +
           R"(,"stretch":2.0}],"services":[{"name":"tawhiti-forecast","healthCheckPath":"/health","maxConnections":64,"protocol":"h1","tls":false,"rejectsOverload":true,"standby":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

} // namespace rig
