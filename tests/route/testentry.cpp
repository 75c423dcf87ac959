#include "testentry.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/parse.hpp>

#include <cppunit/TestAssert.h>

#include <sstream>

namespace galenaturn {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds test_timeout{10};

asio::awaitable<void> fetch_response(asio::io_context& io, ip_endpoint address,
                                     http::request message, std::shared_ptr<pending_call> call)
{
    call->response =
        co_await http::fetch(io, address, std::move(message), monotonic_now() + test_timeout);
}

} // namespace

std::string test_catalogue()
{
    return R"(
owners:
  - {name: harbour, weight: 4, quota: {processors: 100, memory: 10GiB}, rate: 10000, concurrency: 64}
  - {name: grid, weight: 1, quota: {processors: 100, memory: 10GiB}, rate: 10000, concurrency: 64}
  - {name: slow, weight: 1, quota: {processors: 100, memory: 10GiB}, rate: 1, concurrency: 1}
services:
  - {name: forecast, owner: harbour, class: interactive, concurrency: 100, queue: 20,
     timeout: 5s, latency_objective: 10ms}
  - {name: charge, owner: grid, class: interactive, concurrency: 100, queue: 20, timeout: 5s,
     latency_objective: 10ms}
)";
}

member_settings test_member(const std::string& name, process_role role, const std::string& domain,
                            std::uint16_t peer_port)
{
    member_settings member;
    member.id = process_id{name};
    member.role = role;
    member.domain = failure_domain_id{domain};
    member.region = region_id{"cook-strait"};
    member.peer = {"127.0.0.1", peer_port};
    member.http = {"127.0.0.1", 0};
    return member;
}

process_settings test_settings(const std::string& name, std::vector<member_settings> members)
{
    process_settings settings;
    for (const auto& member : members) {
        if (member.id == process_id{name})
            settings.self = member;
    }
    settings.members = std::move(members);
    settings.charts_folder = GALENATURN_SOURCE_DIR "/charts";
    settings.body_limit = bytes{std::int64_t{1} << 20};
    return settings;
}

test_entry::test_entry(process_settings settings) : test_entry{std::move(settings), {}} {}

test_entry::test_entry(process_settings settings, entryd::key_ledger ledger)
    : shared{std::move(settings)}
{
    service = std::make_unique<entryd::request_service>(shared, hub, std::move(ledger));
    server = std::make_unique<http::server>(shared.io, shared.routes, http::server_limits{},
                                            shared.metrics);
    peers = std::make_unique<wire::frame_server>(shared.channels, shared.frames);
    CPPUNIT_ASSERT(server->listen({"127.0.0.1", 0}).has_value());
    if (shared.settings.self.peer.port != 0)
        CPPUNIT_ASSERT(peers->listen(shared.settings.self.peer).has_value());
    shared.peers.start();
    CPPUNIT_ASSERT(service->start().has_value());
}

test_entry::~test_entry()
{
    server->stop();
    peers->close();
    shared.peers.close();
    shared.io.poll();
}

void test_entry::apply_catalogue(const std::string& document, std::uint64_t version)
{
    findings problems;
    entryd::catalogue_in_force update;
    update.version = catalogue_version{version};
    update.entries = parse_catalogue(document, "catalogue", problems);
    CPPUNIT_ASSERT_MESSAGE(problems.text(), problems.empty());
    entryd::publish(hub.catalogue_changed, update);
}

std::uint64_t test_entry::metric_value(const std::string& name) const
{
    std::istringstream lines{shared.metrics.text()};
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(name + " "))
            return std::stoull(line.substr(name.size() + 1));
    }
    CPPUNIT_FAIL("no series " + name);
    return 0;
}

std::uint64_t test_entry::refusals(const std::string& reason) const
{
    return metric_value("galenaturn_requests_refused_total{reason=\"" + reason + "\"}");
}

unsigned pending_call::status() const
{
    CPPUNIT_ASSERT(response.has_value());
    return response->has_value() ? response->value().result_int() : 0;
}

std::string pending_call::reason() const
{
    CPPUNIT_ASSERT(response.has_value() && response->has_value());
    if ((*response).value()[http::field::content_type] != "application/problem+json")
        return {};
    return std::string{boost::json::parse((*response).value().body()).at("reason").as_string()};
}

std::string pending_call::header(const std::string& name) const
{
    CPPUNIT_ASSERT(response.has_value() && response->has_value());
    return std::string{(*response).value()[name]};
}

std::shared_ptr<pending_call> send_call(test_entry& entry, const call_options& options)
{
    auto call = std::make_shared<pending_call>();
    auto message = http::make_request(
        options.method, "/v1/services/" + options.service + options.path, options.body);
    if (!options.owner.empty())
        message.set("Galenaturn-Owner", options.owner);
    if (!options.timeout.empty())
        message.set("Galenaturn-Timeout", options.timeout);
    if (!options.key.empty())
        message.set("Idempotency-Key", options.key);
    asio::co_spawn(entry.shared.io,
                   fetch_response(entry.shared.io, {"127.0.0.1", entry.server->port()},
                                  std::move(message), call),
                   asio::detached);
    return call;
}

bool run_until(const std::vector<asio::io_context*>& contexts, const std::function<bool()>& done)
{
    const auto deadline = monotonic_now() + test_timeout;
    while (!done()) {
        if (monotonic_now() > deadline)
            return false;
        if (contexts.size() == 1) {
            contexts.front()->run_one_for(std::chrono::milliseconds{10});
            continue;
        }
        std::size_t ran = 0;
        for (auto* context : contexts)
            ran += context->poll();
        if (ran == 0)
            contexts.front()->run_one_for(std::chrono::milliseconds{1});
    }
    return true;
}

bool run_until(test_entry& entry, const std::function<bool()>& done)
{
    return run_until({&entry.shared.io}, done);
}

std::shared_ptr<pending_call> call_and_wait(test_entry& entry, const call_options& options)
{
    auto call = send_call(entry, options);
    CPPUNIT_ASSERT(run_until(entry, [&] { return call->response.has_value(); }));
    return call;
}

} // namespace galenaturn
