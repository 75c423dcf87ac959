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

/** Sends the payload of the one reply to a frame. Does nothing once the connection is gone. */
using reply_function = std::function<void(std::string payload)>;
/** Handles one frame from another process. */
using frame_handler = std::function<void(const hello& from, frame received, reply_function reply)>;

/** Which handler takes which kind of frame. Kinds without a handler are counted and dropped. */
class frame_router {
public:
    void on(frame_kind kind, frame_handler handler);
    /** Returns false where no handler takes the frame. */
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
    counter& frames_refused;
    counter& connections_refused;
    counter& reconnects;
};

/** What the channels of one process share. Outlives every channel. */
struct channel_context {
    boost::asio::io_context& io;
    hello self;
    /**
     * Domains whose frames and datagrams are lost without a sign, for failure tests. May change
     * while the process runs: open connections stay open and carry nothing.
     */
    std::vector<failure_domain_id> refused_domains;
    channel_counters counters;

    [[nodiscard]] bool refuses(const failure_domain_id& domain) const;
};

/** Accepts connections from other processes and hands their frames to a router. */
class frame_server {
public:
    frame_server(channel_context& context, const frame_router& router);
    ~frame_server();
    frame_server(const frame_server&) = delete;
    frame_server& operator=(const frame_server&) = delete;

    /** Starts to accept. Returns the system's error where the address cannot be bound. */
    result<void> listen(const ip_endpoint& address);
    void close();

private:
    struct state;
    std::shared_ptr<state> state_;
};

/**
 * A connection to one other process, made anew with a growing delay whenever it breaks. Frames sent
 * while it is down are dropped and counted: every protocol above resends what it needs.
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
    [[nodiscard]] bool connected() const;
    /** Sends a frame that wants no reply. Returns false where it was dropped. */
    bool send(frame_kind kind, std::string payload);
    /**
     * Sends a frame and returns the payload of its reply. not_connected: the frame was never
     * written. timed_out: it may have been handled.
     */
    boost::asio::awaitable<result<std::string>> call(frame_kind kind, std::string payload,
                                                     time_point deadline);

private:
    struct state;
    std::shared_ptr<state> state_;
};

/** The links to all other members that this process was told of or has learned of. */
class peer_directory {
public:
    peer_directory(channel_context& context, const process_settings& settings);

    void start();
    void close();
    /** Adds a member and opens a link to it. Does nothing where it is known, or is this process. */
    void learn(const member_settings& member);
    /** Closes the link to a member and forgets it. */
    void forget(const process_id& process);
    /** Returns the link to a member, or null where it is not known. */
    peer_link* find(const process_id& process);
    [[nodiscard]] const std::vector<member_settings>& members() const { return members_; }

private:
    channel_context& context_;
    std::vector<member_settings> members_;
    std::map<process_id, std::unique_ptr<peer_link>> links_;
    bool started_{false};
};

} // namespace galenaturn::wire
