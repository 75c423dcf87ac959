#pragma once

#include "disruptionlog.h"
#include "httpsocket.h"

#include <filesystem>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace galenaturn::soak {

struct deployment_sizes {
    int controls{3};
    int entries{3};
    int workers{6};
};

enum class process_kind { control, entry, worker };

/** A process of the deployment, or a place where a worker starts again. */
struct soak_process {
    std::string name;
    process_kind kind{process_kind::entry};
    socket_address address;
    int domain{0};
    /** 0 while it does not run. */
    int pid{0};
    int life{0};
    /** Whether it has been told to end. */
    bool stopping{false};
    time_point stop_asked;
    /** Worker only: the socket that all its lives listen on, and the end of the pipe to this life.
     */
    int listener{-1};
    int orders{-1};
};

/** How a life of a worker begins. */
struct worker_life {
    std::int64_t clock{1000};
    double clock_rate{1};
    std::int64_t calls_after{0};
    bool cut{false};
};

/** Is told before a process is suspended (true), and before one is resumed or killed (false). */
using suspension_observer = std::function<void(const soak_process&, bool)>;
/** Loses what the first process sends to the second, or no longer. */
using link_cutter =
    std::function<void(const soak_process& from, const soak_process& to, bool is_cut)>;

/** Environment variable with the address of a process. */
inline constexpr const char* own_address_variable = "GALENATURN_SOAK_ADDRESS";

/**
 * Processes of the project and stand-ins of workers on loopback addresses of their own, started and
 * signalled by one thread, with which they end.
 */
class deployment {
public:
    static constexpr int domain_count = 3;

    deployment(std::filesystem::path programs, std::filesystem::path folder,
               const deployment_sizes& sizes);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    void observe_suspensions(suspension_observer observer) { observer_ = std::move(observer); }
    /** Starts all. Returns false if no ports are free. */
    bool start(std::mt19937_64& random);
    void start_member(soak_process& member);
    void start_worker(soak_process& worker, const worker_life& life);
    /** Sends a signal; SIGKILL waits for the end. */
    void signal(soak_process& target, int number);
    void order(soak_process& worker, const std::string& word);
    /** Kills a control process and empties its data folder. */
    void lose_disk(soak_process& member);
    /** Marks the processes as disturbed while what they send or are sent is lost. */
    void note_cut(const std::vector<soak_process*>& members, bool is_cut);
    /** Collects the processes that have ended. Returns what each did against the rules. */
    std::vector<std::string> collect_ended();
    /** Lines for the record of what happened. */
    void note(const std::string& text);

    [[nodiscard]] std::vector<soak_process*> all_of(process_kind kind);
    /** Returns the control process that answers as leader, or null if none does. */
    [[nodiscard]] soak_process* leader();
    [[nodiscard]] std::filesystem::path journal() const { return folder_ / "journal"; }
    [[nodiscard]] const std::vector<std::string>& notes() const { return notes_; }
    [[nodiscard]] disruption_log& disruptions() { return disruptions_; }
    /** Starts of the process so far; safe for threads. */
    [[nodiscard]] int life_of(const std::string& name) const;

private:
    bool choose_ports();
    void add_processes();
    void write_settings(const soak_process& member) const;
    int spawn(const soak_process& process, const std::vector<std::string>& words, int input);

    std::filesystem::path programs_;
    std::filesystem::path folder_;
    /** In memory, so that other users of the disk delay no sync of a ledger. */
    std::filesystem::path data_;
    deployment_sizes sizes_;
    std::string network_;
    std::uint16_t first_port_{0};
    std::vector<soak_process> processes_;
    std::vector<std::string> notes_;
    suspension_observer observer_;
    disruption_log disruptions_;
    mutable std::mutex lives_mutex_;
    std::map<std::string, int> lives_;
};

} // namespace galenaturn::soak
