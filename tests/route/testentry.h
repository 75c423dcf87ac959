#pragma once

#include "entryd/entryhub.h"
#include "entryd/requestservice.h"

#include <galenaturn/daemon.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace galenaturn {

/**
 * Returns a catalogue with the owners "harbour", "grid" and "slow" and the services "forecast" and
 * "charge".
 */
std::string test_catalogue();

/** Returns the settings of the entry `name`, one of `members`. */
process_settings test_settings(const std::string& name, std::vector<member_settings> members);
member_settings test_member(const std::string& name, process_role role, const std::string& domain,
                            std::uint16_t peer_port);

/** An entry with its own listeners, run in the test process. */
struct test_entry {
    explicit test_entry(process_settings settings);
    test_entry(process_settings settings, entryd::key_ledger ledger);
    ~test_entry();
    test_entry(const test_entry&) = delete;
    test_entry& operator=(const test_entry&) = delete;

    void apply_catalogue(const std::string& document, std::uint64_t version = 1);
    /** Returns the value of a metric, whose name includes its labels. */
    [[nodiscard]] std::uint64_t metric_value(const std::string& name) const;
    /** Returns the number of requests refused for `reason`. */
    [[nodiscard]] std::uint64_t refusals(const std::string& reason) const;

    daemon::context shared;
    entryd::entry_hub hub;
    std::unique_ptr<entryd::request_service> service;
    std::unique_ptr<http::server> server;
    std::unique_ptr<wire::frame_server> peers;
};

/** A request that was sent to an entry, and its response once it was received. */
struct pending_call {
    std::optional<result<http::response>> response;
    /** Returns the HTTP status, or 0 where the request failed without a response. */
    [[nodiscard]] unsigned status() const;
    /** Returns the reason of a refusal; empty for any other response. */
    [[nodiscard]] std::string reason() const;
    [[nodiscard]] std::string header(const std::string& name) const;
};

struct call_options {
    http::verb method{http::verb::get};
    std::string service{"forecast"};
    std::string path{"/slack-water"};
    std::string owner{"harbour"};
    std::string timeout;
    std::string key;
    std::string body;
};

/** Sends a request to an entry. The response is received while the I/O contexts run. */
std::shared_ptr<pending_call> send_call(test_entry& entry, const call_options& options = {});

/** Runs the I/O contexts until `done` returns true. Returns false after ten seconds. */
bool run_until(const std::vector<boost::asio::io_context*>& contexts,
               const std::function<bool()>& done);
bool run_until(test_entry& entry, const std::function<bool()>& done);
/** Sends a request and runs the entry until the response is received. */
std::shared_ptr<pending_call> call_and_wait(test_entry& entry, const call_options& options = {});

} // namespace galenaturn
