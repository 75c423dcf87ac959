#pragma once

#include "configrecord.h"
#include "httpsocket.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace galenaturn::soak {

/** A process as callers know it. */
struct callee {
    std::string name;
    socket_address address;
};

/** A request on an open connection that ended without a complete answer. */
struct broken_request {
    std::string entry;
    std::string request;
    time_point sent;
    time_point ended;
    read_end end{read_end::closed};
};

/** An accepted job that an entry did not know. */
struct unknown_job {
    std::string entry;
    std::string job;
    time_point sent;
    time_point answered;
};

/** What callers and operators share and record. Guarded by `mutex`, but for the constant lists. */
struct caller_record {
    std::vector<callee> entries;
    std::vector<callee> controls;
    std::uint64_t seed{0};
    /** Time between two jobs of one caller. */
    duration job_interval = std::chrono::seconds{1};
    /** Returns how often a process has been started. */
    std::function<int(const std::string&)> life_of;

    std::atomic<bool> submits{true};
    std::atomic<bool> operates{true};
    std::atomic<bool> stopped{false};
    std::atomic<std::uint64_t> requests{0};
    std::atomic<std::uint64_t> unanswered{0};

    std::mutex mutex;
    std::vector<config_change> changes;
    std::vector<config_probe> probes;
    std::vector<broken_request> broken;
    std::vector<unknown_job> unknown;
    std::map<std::string, time_point> open_jobs;
    std::size_t accepted{0};
    /** Jobs whose attempts were all refused. */
    std::set<std::string> refused;
    std::vector<std::string> violations;
};

/** Longest work of a task of these callers. */
constexpr std::chrono::seconds longest_work{12};

/** Keeps a connection to an entry until it is closed; submits jobs and asks for their states. */
void run_caller(caller_record& shared, std::size_t number);
/** Asks one process for new and old versions of the configuration, over and over. */
void run_watcher(caller_record& shared, const callee& target, bool is_control);
/** Changes the configuration in series and singly. */
void run_operator(caller_record& shared);
/** Publishes the next version until it is acknowledged or `deadline` has passed. */
bool publish_next(caller_record& shared, time_point deadline);
/** Returns the version that the control process has, or 0. */
int read_version(const callee& control);
/** The same on an open connection, which is closed if no answer comes. */
int read_version(http_socket& connection);
/** Returns whether the entry knows the queue that all jobs go to. */
bool serves_jobs(const callee& entry);

} // namespace galenaturn::soak
