#include <galenaturn/wire.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <memory>
#include <stdexcept>

namespace galenaturn::wire {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds test_timeout{20};

/** One process with a frame server that echoes payloads of one kind. */
struct echo_process {
    explicit echo_process(asio::io_context& io, std::vector<failure_domain_id> refused = {})
        : context{io,
                  {process_id{"echo"}, failure_domain_id{"hall-a"}},
                  std::move(refused),
                  channel_counters{metrics}},
          server{context, router}
    {
        router.on(frame_kind::ledger_query,
                  [this](const hello& from, frame received, const reply_function& reply) {
                      last_sender = from.process;
                      reply(received.payload);
                  });
    }

    metrics_registry metrics;
    channel_context context;
    frame_router router;
    frame_server server;
    process_id last_sender;
};

/** Returns a loopback port that was free when probed. */
std::uint16_t free_port(asio::io_context& io)
{
    asio::ip::tcp::acceptor probe{io, {asio::ip::make_address("127.0.0.1"), 0}};
    return probe.local_endpoint().port();
}

/** A process that listens, with links to its peers, and the settings of one peer that is down. */
struct linking_process {
    explicit linking_process(asio::io_context& io)
        : address{"127.0.0.1", free_port(io)}, process{io}
    {
        CPPUNIT_ASSERT(process.server.listen(address));
        other.id = process_id{"other"};
        other.domain = failure_domain_id{"hall-b"};
        other.peer = {"127.0.0.1", free_port(io)};
        process_settings settings;
        settings.self.id = process.context.self.process;
        peers = std::make_unique<peer_directory>(process.context, settings);
        peers->start();
    }

    ip_endpoint address;
    echo_process process;
    member_settings other;
    std::unique_ptr<peer_directory> peers;
};

/** Runs `io` until `done` returns true or `test_timeout` has passed. */
void run_until(asio::io_context& io, const std::function<bool()>& done)
{
    const auto limit = monotonic_now() + test_timeout;
    while (!done() && monotonic_now() < limit)
        io.run_one_for(std::chrono::milliseconds{20});
}

} // namespace

class channel_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(channel_test);
    CPPUNIT_TEST(call_returns_the_reply_of_the_peer);
    CPPUNIT_TEST(call_on_a_disconnected_link_is_not_sent);
    CPPUNIT_TEST(connection_from_a_refused_domain_is_rejected);
    CPPUNIT_TEST(frames_are_dropped_silently_once_a_domain_is_refused);
    CPPUNIT_TEST(link_reconnects_when_its_peer_restarts);
    CPPUNIT_TEST(link_reconnects_at_once_when_its_peer_connects);
    CPPUNIT_TEST(attempt_without_a_reply_ends_when_its_peer_connects);
    CPPUNIT_TEST(link_closed_during_an_attempt_ends_without_a_trace);
    CPPUNIT_TEST(malformed_bytes_close_only_their_connection);
    CPPUNIT_TEST(failed_frame_handler_closes_only_its_connection);
    CPPUNIT_TEST(failed_datagram_handler_does_not_end_receiving);
    CPPUNIT_TEST(frames_that_have_arrived_do_not_wait_for_a_round_each);
    CPPUNIT_TEST(frame_is_written_without_a_further_round);
    CPPUNIT_TEST(second_frame_is_written_without_a_further_round);
    CPPUNIT_TEST(frame_longer_than_the_usual_read_is_received);
    CPPUNIT_TEST_SUITE_END();

    static asio::awaitable<void> send_call(peer_link& link, duration limit,
                                           std::optional<result<std::string>>& reply)
    {
        reply = co_await link.call(frame_kind::ledger_query, "question", monotonic_now() + limit);
    }

    static std::optional<result<std::string>> call_once(asio::io_context& io, peer_link& link,
                                                        duration limit)
    {
        std::optional<result<std::string>> reply;
        asio::co_spawn(io, send_call(link, limit, reply), asio::detached);
        run_until(io, [&reply] { return reply.has_value(); });
        return reply;
    }

    void call_returns_the_reply_of_the_peer()
    {
        asio::io_context io;
        echo_process echo{io};
        const ip_endpoint address{"127.0.0.1", free_port(io)};
        CPPUNIT_ASSERT(echo.server.listen(address));
        metrics_registry metrics;
        channel_context client{
            io, {process_id{"client"}, failure_domain_id{"hall-b"}}, {}, channel_counters{metrics}};
        peer_link link{client, address, failure_domain_id{"hall-a"}};
        link.start();
        run_until(io, [&link] { return link.connected(); });
        const auto reply = call_once(io, link, test_timeout);
        CPPUNIT_ASSERT(reply && *reply);
        CPPUNIT_ASSERT_EQUAL(std::string{"question"}, reply->value());
        CPPUNIT_ASSERT_EQUAL(process_id{"client"}, echo.last_sender);
    }

    void call_on_a_disconnected_link_is_not_sent()
    {
        asio::io_context io;
        metrics_registry metrics;
        channel_context client{
            io, {process_id{"client"}, failure_domain_id{"hall-b"}}, {}, channel_counters{metrics}};
        peer_link link{client, {"127.0.0.1", free_port(io)}, failure_domain_id{"hall-a"}};
        const auto reply = call_once(io, link, test_timeout);
        CPPUNIT_ASSERT(reply && !*reply);
        CPPUNIT_ASSERT(reply->error() == make_error_code(wire_error::not_connected));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, client.counters.frames_sent.value());
    }

    void connection_from_a_refused_domain_is_rejected()
    {
        asio::io_context io;
        echo_process echo{io, {failure_domain_id{"hall-b"}}};
        const ip_endpoint address{"127.0.0.1", free_port(io)};
        CPPUNIT_ASSERT(echo.server.listen(address));
        metrics_registry metrics;
        channel_context client{
            io, {process_id{"client"}, failure_domain_id{"hall-b"}}, {}, channel_counters{metrics}};
        peer_link link{client, address, failure_domain_id{"hall-a"}};
        link.start();
        run_until(io, [&echo] { return echo.context.counters.connections_refused.value() > 0; });
        CPPUNIT_ASSERT(echo.context.counters.connections_refused.value() > 0);
        CPPUNIT_ASSERT_EQUAL(process_id{}, echo.last_sender);
    }

    void frames_are_dropped_silently_once_a_domain_is_refused()
    {
        asio::io_context io;
        echo_process echo{io};
        const ip_endpoint address{"127.0.0.1", free_port(io)};
        CPPUNIT_ASSERT(echo.server.listen(address));
        metrics_registry metrics;
        channel_context client{
            io, {process_id{"client"}, failure_domain_id{"hall-b"}}, {}, channel_counters{metrics}};
        peer_link link{client, address, failure_domain_id{"hall-a"}};
        link.start();
        run_until(io, [&link] { return link.connected(); });
        client.refused_domains = {failure_domain_id{"hall-a"}};
        const auto lost = call_once(io, link, std::chrono::milliseconds{50});
        CPPUNIT_ASSERT(lost && !*lost);
        CPPUNIT_ASSERT(lost->error() == make_error_code(wire_error::timed_out));
        CPPUNIT_ASSERT(link.connected());
        CPPUNIT_ASSERT_EQUAL(process_id{}, echo.last_sender);
        client.refused_domains.clear();
        const auto reply = call_once(io, link, test_timeout);
        CPPUNIT_ASSERT(reply && *reply);
    }

    void link_reconnects_when_its_peer_restarts()
    {
        asio::io_context io;
        const ip_endpoint address{"127.0.0.1", free_port(io)};
        metrics_registry metrics;
        channel_context client{
            io, {process_id{"client"}, failure_domain_id{"hall-b"}}, {}, channel_counters{metrics}};
        peer_link link{client, address, failure_domain_id{"hall-a"}};
        link.start();
        for (int restart = 0; restart < 3; ++restart) {
            echo_process echo{io};
            CPPUNIT_ASSERT(echo.server.listen(address));
            run_until(io, [&link] { return link.connected(); });
            const auto reply = call_once(io, link, test_timeout);
            CPPUNIT_ASSERT(reply && *reply);
            echo.server.close();
            run_until(io, [&link] { return !link.connected(); });
            CPPUNIT_ASSERT(!link.connected());
        }
    }

    /** Starts the other process, which connects to the client, and returns when the client's link
     * is up. */
    static duration time_to_reconnect(asio::io_context& io, linking_process& client)
    {
        echo_process other{io};
        other.context.self = {client.other.id, client.other.domain};
        CPPUNIT_ASSERT(other.server.listen(client.other.peer));
        const auto began = monotonic_now();
        peer_link back{other.context, client.address, failure_domain_id{"hall-a"}};
        back.start();
        auto* link = client.peers->find(client.other.id);
        run_until(io, [&link] { return link->connected(); });
        CPPUNIT_ASSERT(link->connected());
        return monotonic_now() - began;
    }

    /** A peer that was down for long has connected, so it runs: the delay of the link is over. */
    void link_reconnects_at_once_when_its_peer_connects()
    {
        asio::io_context io;
        linking_process client{io};
        client.peers->learn(client.other);
        // After six attempts the delay is a second.
        const auto& reconnects = client.process.context.counters.reconnects;
        run_until(io, [&reconnects] { return reconnects.value() >= 6; });
        CPPUNIT_ASSERT(time_to_reconnect(io, client) < std::chrono::milliseconds{500});
    }

    /** A listener with a full backlog answers no attempt to connect until it is closed. */
    struct silent_listener {
        silent_listener(asio::io_context& io, const ip_endpoint& at) : acceptor{io}
        {
            const asio::ip::tcp::endpoint endpoint{asio::ip::make_address(at.address), at.port};
            acceptor.open(endpoint.protocol());
            acceptor.set_option(asio::ip::tcp::acceptor::reuse_address{true});
            acceptor.bind(endpoint);
            acceptor.listen(0);
            for (int number = 0; number < 4; ++number) {
                waiting.emplace_back(io);
                waiting.back().async_connect(endpoint, [](const boost::system::error_code&) {});
            }
            io.run_for(std::chrono::milliseconds{100});
        }

        asio::ip::tcp::acceptor acceptor;
        std::vector<asio::ip::tcp::socket> waiting;
    };

    void attempt_without_a_reply_ends_when_its_peer_connects()
    {
        asio::io_context io;
        linking_process client{io};
        {
            silent_listener silent{io, client.other.peer};
            client.peers->learn(client.other);
            io.run_for(std::chrono::milliseconds{150});
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                                 client.process.context.counters.reconnects.value());
        }
        CPPUNIT_ASSERT(time_to_reconnect(io, client) < std::chrono::milliseconds{500});
    }

    /** A hello that arrives after forget, close or the end of the directory finds no link. */
    void link_closed_during_an_attempt_ends_without_a_trace()
    {
        for (const int way : {0, 1, 2}) {
            asio::io_context io;
            linking_process client{io};
            silent_listener silent{io, client.other.peer};
            client.peers->learn(client.other);
            io.run_for(std::chrono::milliseconds{30});
            if (way == 0)
                client.peers->forget(client.other.id);
            if (way == 1)
                client.peers->close();
            if (way == 2)
                client.peers.reset();
            echo_process other{io};
            other.context.self = {client.other.id, client.other.domain};
            peer_link back{other.context, client.address, failure_domain_id{"hall-a"}};
            back.start();
            run_until(io, [&back] { return back.connected(); });
            io.run_for(std::chrono::milliseconds{1300});
        }
    }

    void malformed_bytes_close_only_their_connection()
    {
        asio::io_context io;
        echo_process echo{io};
        const ip_endpoint address{"127.0.0.1", free_port(io)};
        CPPUNIT_ASSERT(echo.server.listen(address));
        asio::ip::tcp::socket raw_client{io};
        raw_client.connect({asio::ip::make_address(address.address), address.port});
        asio::write(raw_client, asio::buffer(std::string(64, 'x')));
        run_until(io, [&echo] { return echo.context.counters.frames_malformed.value() > 0; });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, echo.context.counters.frames_malformed.value());

        metrics_registry metrics;
        channel_context client{
            io, {process_id{"client"}, failure_domain_id{"hall-b"}}, {}, channel_counters{metrics}};
        peer_link link{client, address, failure_domain_id{"hall-a"}};
        link.start();
        run_until(io, [&link] { return link.connected(); });
        const auto reply = call_once(io, link, test_timeout);
        CPPUNIT_ASSERT(reply && *reply);
    }

    /** Guards against a connection that stays open and unread after an error in a handler. */
    void failed_frame_handler_closes_only_its_connection()
    {
        asio::io_context io;
        echo_process echo{io};
        echo.router.on(frame_kind::roster, [](const hello& /*from*/, const frame& /*received*/,
                                              const reply_function& /*reply*/) {
            throw std::out_of_range{"no such job"};
        });
        const ip_endpoint address{"127.0.0.1", free_port(io)};
        CPPUNIT_ASSERT(echo.server.listen(address));
        metrics_registry metrics;
        channel_context client{
            io, {process_id{"client"}, failure_domain_id{"hall-b"}}, {}, channel_counters{metrics}};
        peer_link link{client, address, failure_domain_id{"hall-a"}};
        link.start();
        run_until(io, [&link] { return link.connected(); });
        CPPUNIT_ASSERT(link.send(frame_kind::roster, "question"));
        run_until(io, [&link] { return !link.connected(); });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, echo.context.counters.frames_failed.value());
        run_until(io, [&link] { return link.connected(); });
        const auto reply = call_once(io, link, test_timeout);
        CPPUNIT_ASSERT(reply && *reply);
    }

    /** Guards against an error in a handler that ends the receiving of datagrams for good. */
    void failed_datagram_handler_does_not_end_receiving()
    {
        asio::io_context io;
        metrics_registry metrics;
        channel_context context{io,
                                {process_id{"receiver"}, failure_domain_id{"hall-a"}},
                                {},
                                channel_counters{metrics}};
        int received = 0;
        datagram_channel receiver{context, metrics,
                                  [&](const hello& /*from*/, std::string_view text) {
                                      ++received;
                                      if (text == "bad")
                                          throw std::out_of_range{"no such member"};
                                  }};
        CPPUNIT_ASSERT(receiver.open({"127.0.0.1", 0}));
        metrics_registry sender_metrics;
        datagram_channel sender{context, sender_metrics, [](const hello&, std::string_view) {}};
        CPPUNIT_ASSERT(sender.open({"127.0.0.1", 0}));
        for (const auto* text : {"bad", "good"})
            CPPUNIT_ASSERT(
                sender.send(receiver.local_address(), failure_domain_id{"hall-a"}, text));
        run_until(io, [&] { return received == 2; });
        CPPUNIT_ASSERT_EQUAL(2, received);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, receiver.counters().failed.value());
    }

    /** Counts the rounds of the event loop: a handler that posts itself again. */
    static void count_rounds(asio::io_context& io, std::uint64_t& rounds)
    {
        asio::post(io, [&io, &rounds] {
            ++rounds;
            count_rounds(io, rounds);
        });
    }

    /** Each frame waited for two rounds of a busy leader, so that its ledger fell behind. */
    void frames_that_have_arrived_do_not_wait_for_a_round_each()
    {
        constexpr std::uint64_t sent = 100;
        asio::io_context io;
        echo_process echo{io};
        std::uint64_t received = 0;
        echo.router.on(frame_kind::roster,
                       [&received](const hello& /*from*/, const frame& /*received*/,
                                   const reply_function& /*reply*/) { ++received; });
        const ip_endpoint address{"127.0.0.1", free_port(io)};
        CPPUNIT_ASSERT(echo.server.listen(address));
        const hello greeting{process_id{"client"}, failure_domain_id{"hall-b"}};
        auto text = encode_frame({frame_kind::hello, 0, encode(greeting)});
        for (std::uint64_t number = 0; number < sent; ++number)
            text += encode_frame({frame_kind::roster, 0, std::string(100, 'x')});
        asio::ip::tcp::socket client{io};
        client.connect({asio::ip::make_address(address.address), address.port});
        asio::write(client, asio::buffer(text));
        run_until(io, [&received] { return received > 0; });
        std::uint64_t rounds = 0;
        count_rounds(io, rounds);
        run_until(io, [&received] { return received == sent; });
        CPPUNIT_ASSERT_EQUAL(sent, received);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(rounds), rounds < sent / 10);
    }

    /** A frame waited for the next round of a busy event loop before it was written. */
    void frame_is_written_without_a_further_round()
    {
        asio::io_context io;
        asio::io_context busy;
        echo_process echo{io};
        int received = 0;
        echo.router.on(frame_kind::roster,
                       [&received](const hello& /*from*/, const frame& /*received*/,
                                   const reply_function& /*reply*/) { ++received; });
        const ip_endpoint address{"127.0.0.1", free_port(io)};
        CPPUNIT_ASSERT(echo.server.listen(address));
        metrics_registry metrics;
        channel_context client{busy,
                               {process_id{"client"}, failure_domain_id{"hall-b"}},
                               {},
                               channel_counters{metrics}};
        peer_link link{client, address, failure_domain_id{"hall-a"}};
        link.start();
        run_until(busy, [&link] { return link.connected(); });
        busy.run_for(std::chrono::milliseconds{20});
        CPPUNIT_ASSERT(link.send(frame_kind::roster, "news"));
        io.run_for(std::chrono::milliseconds{200});
        CPPUNIT_ASSERT_EQUAL(1, received);
    }

    /** The second frame waits for the round in which the end of the first write is handled. */
    void second_frame_is_written_without_a_further_round()
    {
        asio::io_context io;
        asio::io_context busy;
        echo_process echo{io};
        int received = 0;
        echo.router.on(frame_kind::roster,
                       [&received](const hello& /*from*/, const frame& /*received*/,
                                   const reply_function& /*reply*/) { ++received; });
        const ip_endpoint address{"127.0.0.1", free_port(io)};
        CPPUNIT_ASSERT(echo.server.listen(address));
        metrics_registry metrics;
        channel_context client{busy,
                               {process_id{"client"}, failure_domain_id{"hall-b"}},
                               {},
                               channel_counters{metrics}};
        peer_link link{client, address, failure_domain_id{"hall-a"}};
        link.start();
        run_until(busy, [&link] { return link.connected(); });
        busy.run_for(std::chrono::milliseconds{20});
        CPPUNIT_ASSERT(link.send(frame_kind::roster, "news"));
        CPPUNIT_ASSERT(link.send(frame_kind::roster, "more news"));
        io.run_for(std::chrono::milliseconds{200});
        CPPUNIT_ASSERT_EQUAL(2, received);
    }

    void frame_longer_than_the_usual_read_is_received()
    {
        asio::io_context io;
        echo_process echo{io};
        std::size_t received = 0;
        echo.router.on(frame_kind::roster, [&received](const hello& /*from*/, const frame& read,
                                                       const reply_function& /*reply*/) {
            received += read.payload.size();
        });
        const ip_endpoint address{"127.0.0.1", free_port(io)};
        CPPUNIT_ASSERT(echo.server.listen(address));
        metrics_registry metrics;
        channel_context client{
            io, {process_id{"client"}, failure_domain_id{"hall-b"}}, {}, channel_counters{metrics}};
        peer_link link{client, address, failure_domain_id{"hall-a"}};
        link.start();
        run_until(io, [&link] { return link.connected(); });
        std::size_t sent = 0;
        for (const std::size_t size : {1, 3 << 20, 0, 16 << 10, (16 << 10) - 24, 100}) {
            CPPUNIT_ASSERT(link.send(frame_kind::roster, std::string(size, 'x')));
            sent += size;
        }
        run_until(io, [&] { return received == sent; });
        CPPUNIT_ASSERT_EQUAL(sent, received);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, echo.context.counters.frames_malformed.value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(channel_test);

} // namespace galenaturn::wire
