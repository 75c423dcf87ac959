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

/** A catalogue with the owners "harbour" and "grid" and the services "forecast" and "charge". */
std::string test_catalogue();

/** Settings of one entry among `members`, all on loopback. */
process_settings test_settings(const std::string& name, std::vector<member_settings> members);
member_settings test_member(const std::string& name, process_role role, const std::string& domain,
                            std::uint16_t peer_port);

/** One entry with its own listeners, in this process. */
struct test_entry {
    explicit test_entry(process_settings settings);
    test_entry(process_settings settings, entryd::key_ledger ledger);
    ~test_entry();
    test_entry(const test_entry&) = delete;
    test_entry& operator=(const test_entry&) = delete;

    void apply_catalogue(const std::string& document, std::uint64_t version = 1);
    [[nodiscard]] std::uint64_t counted(const std::string& name) const;
    [[nodiscard]] std::uint64_t refused(const std::string& reason) const;

    daemon::context shared;
    entryd::entry_hub hub;
    std::unique_ptr<entryd::request_service> service;
    std::unique_ptr<http::server> server;
    std::unique_ptr<wire::frame_server> peers;
};

/** A request on its way to an entry, and its answer. */
struct pending_call {
    std::optional<result<http::response>> answer;
    [[nodiscard]] unsigned status() const;
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

/** Sends a request to an entry; the answer comes while the contexts run. */
std::shared_ptr<pending_call> send_call(test_entry& entry, const call_options& options = {});

/** Runs the entries until `done` holds. Returns false where it did not within ten seconds. */
bool run_until(const std::vector<boost::asio::io_context*>& contexts,
               const std::function<bool()>& done);
bool run_until(test_entry& entry, const std::function<bool()>& done);
/** Sends one request and returns it with its answer. */
std::shared_ptr<pending_call> call_and_wait(test_entry& entry, const call_options& options = {});

} // namespace galenaturn
