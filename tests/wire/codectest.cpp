#include <galenaturn/wire.h>

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace galenaturn::wire {

class codec_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(codec_test);
    CPPUNIT_TEST(command_is_unchanged_by_encoding_and_decoding);
    CPPUNIT_TEST(truncated_messages_are_rejected_and_mutated_ones_are_harmless);
    CPPUNIT_TEST(corrupted_frame_is_rejected);
    CPPUNIT_TEST_SUITE_END();

    static command_request sample()
    {
        command_request request;
        request.id = request_id{"entry-1-7"};
        report_tasks report;
        report.items.push_back({task_id{"ensemble-1"}, epoch{4}, task_outcome::succeeded, false,
                                checkpoint_id{"c9"}, "done", worker_id{"w1"}});
        request.body = report;
        return request;
    }

    void command_is_unchanged_by_encoding_and_decoding()
    {
        const auto decoded = decode<command_request>(encode(sample()));
        CPPUNIT_ASSERT(decoded.has_value());
        const auto& item = std::get<report_tasks>(decoded.value().body).items.at(0);
        CPPUNIT_ASSERT(item.id == task_id{"ensemble-1"});
        CPPUNIT_ASSERT(item.assignment == epoch{4});
        CPPUNIT_ASSERT(item.checkpoint == checkpoint_id{"c9"});
    }

    void truncated_messages_are_rejected_and_mutated_ones_are_harmless()
    {
        const auto bytes = encode(sample());
        for (std::size_t size = 0; size < bytes.size(); ++size)
            CPPUNIT_ASSERT(!decode<command_request>(bytes.substr(0, size)));
        CPPUNIT_ASSERT(!decode<command_request>(bytes + "x"));
        std::mt19937_64 random{1}; // NOLINT: a fixed seed makes the test repeatable
        int refused = 0;
        for (int round = 0; round < 20000; ++round) {
            auto mutated = bytes;
            mutated[random() % mutated.size()] = static_cast<char>(random());
            refused += decode<command_request>(mutated) ? 0 : 1;
        }
        CPPUNIT_ASSERT(refused > 0);
    }

    void corrupted_frame_is_rejected()
    {
        const frame original{frame_kind::ledger_command, 9, "payload"};
        auto bytes = encode_frame(original);
        const auto header = decode_frame_header(bytes.substr(0, frame_header_size));
        CPPUNIT_ASSERT(header.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, header.value().correlation);
        CPPUNIT_ASSERT(check_frame(header.value(), "payload").has_value());
        CPPUNIT_ASSERT(!check_frame(header.value(), "qayload"));
        bytes[0] = 'x';
        CPPUNIT_ASSERT(!decode_frame_header(bytes.substr(0, frame_header_size)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(codec_test);

} // namespace galenaturn::wire
