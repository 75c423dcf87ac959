#pragma once

#include "announcements.h"
#include "frame.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace galenaturn::wire {

/** Sends the payload of the one reply to a frame. Does nothing if the connection has been closed.
 */
using reply_function = std::function<void(std::string payload)>;
/** Handles one frame from another process. */
using frame_handler = std::function<void(const hello& from, frame received, reply_function reply)>;

/** Maps each kind of frame to its handler. Frames without a handler are counted and dropped. */
class frame_router {
public:
    void on(frame_kind kind, frame_handler handler);
    /** Returns false if there is no handler for the kind of frame. */
    bool dispatch(const hello& from, frame received, reply_function reply) const;

private:
    std::map<frame_kind, frame_handler> handlers_;
};

/** Counters of the channels of one process. */
struct channel_counters {
    explicit channel_counters(metrics_registry& metrics);

    counter& frames_sent;
    counter& frames_received;
    counter& bytes_sent;
    counter& bytes_received;
    counter& frames_dropped;
    counter& frames_malformed;
    /** Frames on which the handler failed. */
    counter& frames_failed;
    counter& frames_refused;
    counter& connections_refused;
    counter& reconnects;
};

/** State shared by the channels of one process. Must outlive all channels. */
struct channel_context {
    boost::asio::io_context& io;
    hello self;
    /**
     * Domains whose frames and datagrams are silently dropped, for failure tests. May change at
     * run time: open connections stay open, but their frames are dropped.
     */
    std::vector<failure_domain_id> refused_domains;
    channel_counters counters;
    /** Called when another process has opened a connection to this one. */
    std::function<void(const process_id&)> on_hello{};

    [[nodiscard]] bool refuses(const failure_domain_id& domain) const;
};

/** Accepts connections from other processes and passes their frames to a router. */
class frame_server {
public:
    frame_server(channel_context& context, const frame_router& router);
    ~frame_server();
    frame_server(const frame_server&) = delete;
    frame_server& operator=(const frame_server&) = delete;

    /** Starts to accept connections. Returns the system's error if the address cannot be bound. */
    result<void> listen(const ip_endpoint& address);
    void close();

private:
    struct state;
    std::shared_ptr<state> state_;
};

/**
 * A connection to another process, which reconnects with exponential backoff. Frames sent while it
 * is down are dropped and counted: the protocols above resend what they need.
 */
class peer_link {
public:
    peer_link(channel_context& context, const ip_endpoint& address,
              const failure_domain_id& domain);
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    void start();
    void close();
    void set_domain(const failure_domain_id& domain);
    /** Connects at once if the link is down. Called when the peer is known to run. */
    void retry();
    [[nodiscard]] bool connected() const;
    /** Sends a frame without waiting for a reply. Returns false if it was dropped. */
    bool send(frame_kind kind, std::string payload);
    /**
     * Sends a frame and returns the payload of its reply. not_connected: the frame was not
     * sent. timed_out: it may have been handled.
     */
    boost::asio::awaitable<result<std::string>> call(frame_kind kind, std::string payload,
                                                     time_point deadline);

private:
    struct state;
    std::shared_ptr<state> state_;
};

/** The links to all other members, from the settings or discovered later. */
class peer_directory {
public:
    peer_directory(channel_context& context, const process_settings& settings);
    ~peer_directory();
    peer_directory(const peer_directory&) = delete;
    peer_directory& operator=(const peer_directory&) = delete;

    void start();
    void close();
    /**
     * Adds a member and opens a link to it, or updates what is known of a listed member. Does
     * nothing for this process.
     */
    void learn(const member_settings& member);
    /** Closes the link to a member and removes the member. */
    void forget(const process_id& process);
    /** Returns the link to a member, or null if it is unknown. */
    peer_link* find(const process_id& process);
    [[nodiscard]] const std::vector<member_settings>& members() const { return members_; }

private:
    channel_context& context_;
    std::vector<member_settings> members_;
    std::map<process_id, std::unique_ptr<peer_link>> links_;
    bool started_{false};
};

} // namespace galenaturn::wire
