// Shared by the cases 6 to 10: starts the programs of the deploy file on loopback addresses, as a
// platform would, sends HTTP requests as an operator and as clients would, and records what
// happened. POSIX only.
#pragma once

#include <arpa/inet.h>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace review {

namespace fs = std::filesystem;

constexpr int held = 0;
constexpr int broken = 1;
constexpr int could_not_run = 2;

inline std::int64_t now_ms()
{
    timespec t{};
    clock_gettime(CLOCK_MONOTONIC, &t);
    return std::int64_t{t.tv_sec} * 1000 + t.tv_nsec / 1'000'000;
}

inline void sleep_ms(std::int64_t ms)
{
    if (ms > 0)
        usleep(static_cast<useconds_t>(ms * 1000));
}

struct response {
    /** 0 without a complete response. */
    int status{0};
    std::string body;
};

/** One HTTP request on a connection of its own. */
inline response call(const std::string& ip, int port, const std::string& method,
                     const std::string& path, const std::string& host, const std::string& body,
                     int timeout_ms)
{
    const auto deadline = now_ms() + timeout_ms;
    response result;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const auto wait_for = [&](short events) {
        pollfd entry{fd, events, 0};
        const auto left = deadline - now_ms();
        return left > 0 && ::poll(&entry, 1, static_cast<int>(left)) > 0;
    };
    int error = 0;
    socklen_t size = sizeof error;
    if ((connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 &&
         errno != EINPROGRESS) ||
        !wait_for(POLLOUT) || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
        close(fd);
        return result;
    }
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                       "\r\nContent-Type: application/json\r\nConnection: "
                       "close\r\nGalenaturn-Request-Deadline: 2000\r\n"
                       "Content-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body;
    std::size_t sent = 0;
    while (sent < text.size() && wait_for(POLLOUT)) {
        const auto n = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n < 0 && errno != EAGAIN)
            break;
        sent += n > 0 ? static_cast<std::size_t>(n) : 0;
    }
    std::string received;
    char buffer[65536];
    while (sent == text.size() && wait_for(POLLIN)) {
        const auto n = ::recv(fd, buffer, sizeof buffer, 0);
        if (n <= 0)
            break;
        received.append(buffer, static_cast<std::size_t>(n));
        const auto end = received.find("\r\n\r\n");
        if (end == std::string::npos)
            continue;
        std::size_t length = 0;
        const char* field = strcasestr(received.c_str(), "content-length:");
        if (field != nullptr)
            length = std::strtoul(field + 15, nullptr, 10);
        if (received.size() < end + 4 + length)
            continue;
        result.status = std::atoi(received.c_str() + 9);
        result.body = received.substr(end + 4, length);
        break;
    }
    close(fd);
    return result;
}

/** A process of the platform. It is restarted where it ends by itself, with its settings file. */
struct process {
    std::string name;
    std::string ip;
    std::string program;
    std::string settings;
    std::string folder;
    std::string log;
    pid_t pid{0};
    /** Not to be restarted at present: the test has stopped it. */
    bool down{false};
    std::int64_t restart_at{0};
    /** How often it ended by itself. */
    int own_ends{0};
    int last_exit{0};
};

class deployment {
public:
    explicit deployment(const std::string& case_folder)
        : record_{std::fopen((case_folder + "/record.txt").c_str(), "w")}, began_{now_ms()}
    {
        const char* parent = std::getenv("TMPDIR");
        folder_ = std::string{parent == nullptr ? "/tmp" : parent} + "/review-XXXXXX";
        mkdtemp(folder_.data());
        std::srand(static_cast<unsigned>(getpid() ^ time(nullptr)));
        for (int attempt = 0; attempt < 50 && !choose_addresses(); ++attempt) {
        }
    }
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    ~deployment()
    {
        for (auto& [name, each] : processes) {
            if (each.pid > 0) {
                ::kill(each.pid, SIGCONT);
                ::kill(each.pid, SIGKILL);
                waitpid(each.pid, nullptr, 0);
            }
        }
        std::error_code ignored;
        if (std::getenv("KEEP") == nullptr)
            fs::remove_all(folder_, ignored);
        std::fclose(record_);
    }

    /** Writes a line with the time since the start to the record. */
    void note(const char* format, ...)
    {
        char line[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(line, sizeof line, format, arguments);
        va_end(arguments);
        std::fprintf(record_, "%8.3f %s\n", static_cast<double>(now_ms() - began_) / 1000, line);
        std::fflush(record_);
    }

    [[nodiscard]] std::int64_t since_start() const { return now_ms() - began_; }

    /** Writes the settings that deploy/settings.yaml gives for the process. */
    void write_settings(const process& target, bool bootstrap) const
    {
        const bool control = target.folder.size() > 0;
        std::ofstream out{target.settings};
        out << "name: \"" << target.name << "\"\n";
        if (control)
            out << "data_folder: \"" << target.folder << "\"\n";
        else
            out << "readiness: \"" << target.ip << ":" << ready_port << "\"\n";
        out << "metrics: \"" << target.ip << ":" << metrics_port << "\"\n"
            << "drain_notice: 1500ms\ndrain_limit: 3s\nbody_limit: 4MiB\njobs:\n  lease: 7500ms\n  "
               "stop_limit: 200ms\n"
            << "  announcement_interval: 1500ms\nself:\n  role: " << (control ? "control" : "entry")
            << "\n"
            << "  failure_domain: \"" << zone_of(target.name) << "\"\n  region: \"region-1\"\n"
            << "  peer: \"" << target.ip << ":" << peer_port << "\"\n"
            << "  http: \"" << target.ip << ":" << (control ? control_port : client_port) << "\"\n"
            << "  seeds: [\"" << address(seeds_[0]) << ":" << control_port << "\",\""
            << address(seeds_[1]) << ":" << control_port << "\",\"" << address(seeds_[2]) << ":"
            << control_port << "\"]\n"
            << "  form_ledger: " << (bootstrap ? "true" : "false") << "\n  tolerated_disks: 1\n";
    }

    static std::string zone_of(const std::string& name)
    {
        return "zone-" + name.substr(name.size() - 1);
    }

    process& add_control(int number)
    {
        auto& added = add("control-" + std::to_string(number), number, "target/galenaturn-control");
        added.folder = folder_ + "/" + added.name;
        write_settings(added, true);
        return added;
    }

    process& add_entry(int number)
    {
        auto& added =
            add("entry-" + std::to_string(number), 10 + number, "target/galenaturn-entry");
        write_settings(added, true);
        return added;
    }

    void start(process& target)
    {
        const pid_t pid = fork();
        if (pid == 0) {
            setenv("GALENATURN_CONFIG", target.settings.c_str(), 1);
            const int log = open(target.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(log, STDOUT_FILENO);
            dup2(log, STDERR_FILENO);
            execl(target.program.c_str(), target.program.c_str(),
                  "--settings_from_environment=GALENATURN_CONFIG", nullptr);
            _exit(127);
        }
        target.pid = pid;
        target.down = false;
        target.restart_at = 0;
    }

    /** Kills the process; it stays down until it is started again. */
    void kill(process& target)
    {
        target.down = true;
        if (target.pid > 0) {
            ::kill(target.pid, SIGKILL);
            waitpid(target.pid, nullptr, 0);
        }
        target.pid = 0;
        note("%s is killed (SIGKILL)", target.name.c_str());
    }

    /** Stops the process as planned: SIGTERM, and SIGKILL after gracePeriodS. */
    void stop(process& target)
    {
        target.down = true;
        if (target.pid > 0) {
            note("%s gets SIGTERM", target.name.c_str());
            ::kill(target.pid, SIGTERM);
            const auto until = now_ms() + 6000;
            while (now_ms() < until && waitpid(target.pid, nullptr, WNOHANG) == 0)
                sleep_ms(20);
            if (now_ms() >= until) {
                ::kill(target.pid, SIGKILL);
                waitpid(target.pid, nullptr, 0);
            }
        }
        target.pid = 0;
        note("%s has ended", target.name.c_str());
    }

    /** The machine loses its disk: it is back after `down_ms` with an empty data folder and
     * bootstrap false. */
    void lose_disk(process& target)
    {
        kill(target);
        fs::remove_all(target.folder);
        write_settings(target, false);
        note("%s has lost its disk", target.name.c_str());
    }

    /** Restarts what ended by itself, after a short delay. */
    void look_after()
    {
        for (auto& [name, each] : processes) {
            int status = 0;
            if (each.pid > 0 && waitpid(each.pid, &status, WNOHANG) == each.pid) {
                each.pid = 0;
                ++each.own_ends;
                each.last_exit = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
                each.restart_at = now_ms() + 500;
                note("%s ended by itself, status %d, for the %d. time", name.c_str(),
                     each.last_exit, each.own_ends);
            }
            if (each.pid == 0 && !each.down && each.restart_at > 0 && now_ms() >= each.restart_at)
                start(each);
        }
    }

    /** Lets time pass, and the platform restart what ends. */
    void pass(std::int64_t ms)
    {
        const auto until = now_ms() + ms;
        while (now_ms() < until) {
            look_after();
            sleep_ms(20);
        }
    }

    /** Sends a configuration to the control processes in turn until one acknowledges it. */
    bool publish(std::uint64_t version, const std::string& document, std::int64_t patience_ms)
    {
        const auto until = now_ms() + patience_ms;
        for (int number = 0; now_ms() < until; ++number) {
            look_after();
            const auto& target = processes.at("control-" + std::to_string(number % 3 + 1));
            const auto answer =
                call(target.ip, control_port, "PUT", "/-/config", "operator", document, 1000);
            if (answer.status == 200) {
                note("version %llu is acknowledged by %s", static_cast<unsigned long long>(version),
                     target.name.c_str());
                return true;
            }
            sleep_ms(100);
        }
        note("version %llu is not acknowledged within %lld ms",
             static_cast<unsigned long long>(version), static_cast<long long>(patience_ms));
        return false;
    }

    /** Returns the version in the answer of the control process, 0 without an answer, -status for
     * another one. */
    std::int64_t read_version(const process& target)
    {
        const auto answer = call(target.ip, control_port, "GET", "/-/config", "operator", "", 1000);
        if (answer.status != 200)
            return -answer.status;
        const auto at = answer.body.find("\"version\":");
        return at == std::string::npos ? 0 : std::atoll(answer.body.c_str() + at + 10);
    }

    /** A configuration with one queue in use and `idle` queues that nobody uses. */
    static std::string configuration(std::uint64_t version, int idle, const std::string& extra = "")
    {
        std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
                           route("r-jobs", "/jobs/", 3000);
        for (int number = 0; number < idle; ++number) {
            const auto name = "idle" + std::to_string(number);
            text += "," + route("r-" + name, "/" + name + "/", 3000);
        }
        text +=
            "],\"services\":[{\"name\":\"runners\",\"healthCheckPath\":\"/"
            "health\",\"maxConnections\":64,"
            "\"protocol\":\"h1\",\"tls\":false,\"rejectsOverload\":true,\"standby\":false}],"
            "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
            "\"idleTimeoutMs\":15000}" +
            extra + "}";
        return text;
    }

    static std::string route(const std::string& name, const std::string& path, int timeout_ms)
    {
        return "{\"name\":\"" + name + "\",\"host\":\"jobs.example\",\"pathPrefix\":\"" + path +
               "\",\"type\":\"non_idempotent\",\"timeoutMs\":" + std::to_string(timeout_ms) +
               ",\"targetLatencyMs\":2500,\"priority\":0,\"service\":\"runners\",\"maxAttempts\":2,"
               "\"stretch\":2.0}";
    }

    /** A client's request, at one entry after the other until it gets a clear answer. */
    response client(const std::string& method, const std::string& path, const std::string& body,
                    std::int64_t patience_ms)
    {
        const auto until = now_ms() + patience_ms;
        response answer;
        for (int number = 0; now_ms() < until; ++number) {
            look_after();
            const auto& entry = processes.at("entry-" + std::to_string(number % entries_ + 1));
            answer = call(entry.ip, client_port, method, path, "jobs.example", body, 2000);
            if (answer.status != 0 && answer.status != 502 && answer.status != 503 &&
                answer.status != 504)
                break;
            sleep_ms(200);
        }
        note("client: %s %s -> %d %s", method.c_str(), path.c_str(), answer.status,
             answer.status == 200 ? answer.body.c_str() : "");
        return answer;
    }

    /** The operator's list has another address for the control process; settings written later name
     * it. */
    void move_seed(int number, int last) { seeds_[number - 1] = last; }

    [[nodiscard]] std::string address(int last) const { return prefix_ + std::to_string(last); }
    [[nodiscard]] const std::string& folder() const { return folder_; }
    /** Adds a program of another kind, such as a stand-in. */
    process& add(const std::string& name, int last, const std::string& program)
    {
        auto& added = processes[name];
        added.name = name;
        added.ip = address(last);
        added.program = program;
        added.settings = folder_ + "/" + name + ".yaml";
        added.log = folder_ + "/" + name + ".log";
        entries_ += name.starts_with("entry-") ? 1 : 0;
        return added;
    }

    std::map<std::string, process> processes;
    int control_port{0};
    int client_port{0};
    int peer_port{0};
    int metrics_port{0};
    int ready_port{0};

private:
    /** Chooses a loopback network and ports that are free on the addresses in use. */
    bool choose_addresses()
    {
        prefix_ = "127." + std::to_string(20 + std::rand() % 200) + "." +
                  std::to_string(std::rand() % 250) + ".";
        const int base = 20000 + std::rand() % 10000;
        control_port = base;
        client_port = base + 1;
        peer_port = base + 2;
        metrics_port = base + 3;
        ready_port = base + 4;
        for (int last = 1; last <= 40; ++last) {
            for (int port = base; port < base + 5; ++port) {
                const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
                sockaddr_in at{};
                at.sin_family = AF_INET;
                at.sin_port = htons(static_cast<std::uint16_t>(port));
                inet_pton(AF_INET, address(last).c_str(), &at.sin_addr);
                const bool is_free = bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
                close(fd);
                if (!is_free)
                    return false;
            }
        }
        return true;
    }

    std::FILE* record_;
    std::int64_t began_;
    std::string folder_;
    std::string prefix_;
    int entries_{0};
    int seeds_[3]{1, 2, 3};
};

inline bool has_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

/** Returns whether the folder has a file whose name begins so and does not end in ".new". */
inline bool has_file(const std::string& folder, const std::string& prefix)
{
    std::error_code error;
    for (const auto& entry : fs::directory_iterator{folder, error}) {
        const auto name = entry.path().filename().string();
        if (name.starts_with(prefix) && !name.ends_with(".new"))
            return true;
    }
    return false;
}

} // namespace review
