#include <galenaturn/ledger.h>

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <random>

namespace galenaturn::ledger {

class storage_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(storage_test);
    CPPUNIT_TEST(synced_data_survives_a_restart);
    CPPUNIT_TEST(a_second_process_cannot_open_the_folder);
    CPPUNIT_TEST(an_incomplete_last_record_of_any_length_is_dropped);
    CPPUNIT_TEST(damage_before_valid_records_is_reported_with_its_offset);
    CPPUNIT_TEST(random_damage_never_yields_entries_that_were_not_written);
    CPPUNIT_TEST(a_snapshot_replaces_the_log_before_it);
    CPPUNIT_TEST(a_log_that_goes_on_after_a_received_snapshot_is_read);
    CPPUNIT_TEST(after_a_failed_write_every_later_write_fails);
    CPPUNIT_TEST(a_snapshot_of_a_newer_version_is_refused_with_its_own_error);
    CPPUNIT_TEST(mutated_snapshots_are_refused_or_decoded_without_a_crash);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        folder_ = std::string{GALENATURN_BINARY_DIR} + "/ledger_storage_test";
        std::filesystem::remove_all(folder_);
    }

    void tearDown() override { std::filesystem::remove_all(folder_); }

private:
    std::string folder_;

    static log_batch entries(std::uint64_t first, std::uint64_t last)
    {
        log_batch batch;
        for (auto index = first; index <= last; ++index)
            batch.entries.push_back(
                {term{1}, log_index{index}, entry_kind::command, std::string(40, 'x')});
        return batch;
    }

    storage open_new()
    {
        findings found;
        auto disk = storage::open(folder_, found);
        CPPUNIT_ASSERT_MESSAGE(found.text(), disk.has_value());
        if (disk.value().stored().voter.empty())
            CPPUNIT_ASSERT(disk.value().write_identity(voter_id{"v1"}));
        return std::move(disk).value();
    }

    std::string log_bytes(std::uint64_t records)
    {
        std::string bytes;
        for (std::uint64_t record = 1; record <= records; ++record)
            bytes += encode_record(record, {entries(record, record)});
        return bytes;
    }

    void synced_data_survives_a_restart()
    {
        {
            auto disk = open_new();
            auto batch = entries(1, 3);
            batch.hard = hard_state{term{2}, voter_id{"v2"}};
            CPPUNIT_ASSERT(disk.append({batch, entries(4, 5)}));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, disk.syncs());
        }
        auto disk = open_new();
        CPPUNIT_ASSERT(disk.stored().voter == voter_id{"v1"});
        CPPUNIT_ASSERT(disk.stored().hard == (hard_state{term{2}, voter_id{"v2"}}));
        CPPUNIT_ASSERT_EQUAL(log_index{5}, disk.stored().log.last_index());
    }

    void a_second_process_cannot_open_the_folder()
    {
        const auto disk = open_new();
        findings found;
        const auto second = storage::open(folder_, found);
        CPPUNIT_ASSERT(!second);
        CPPUNIT_ASSERT(second.error() == make_error_code(ledger_error::folder_locked));
    }

    void an_incomplete_last_record_of_any_length_is_dropped()
    {
        const auto whole = log_bytes(3);
        const auto two = log_bytes(2).size();
        for (auto size = two; size < whole.size(); ++size) {
            findings found;
            const auto content = read_log(whole.substr(0, size), "log", found);
            CPPUNIT_ASSERT(content.has_value());
            CPPUNIT_ASSERT_EQUAL(log_index{2}, content.value().log.last_index());
            CPPUNIT_ASSERT_EQUAL(two, content.value().valid_bytes);
        }
    }

    void damage_before_valid_records_is_reported_with_its_offset()
    {
        auto bytes = log_bytes(3);
        const auto offset = log_bytes(1).size();
        bytes[offset + 30] = static_cast<char>(bytes[offset + 30] ^ 1);
        findings found;
        const auto content = read_log(bytes, "log-7", found);
        CPPUNIT_ASSERT(!content);
        CPPUNIT_ASSERT(found.text().find("log-7") != std::string::npos);
        CPPUNIT_ASSERT(found.text().find("byte " + std::to_string(offset)) != std::string::npos);
    }

    void random_damage_never_yields_entries_that_were_not_written()
    {
        const auto whole = log_bytes(4);
        std::mt19937_64 random{5}; // NOLINT: fixed seed, for a repeatable result
        for (int round = 0; round < 5'000; ++round) {
            auto bytes = whole.substr(0, random() % (whole.size() + 1));
            for (std::uint64_t flips = random() % 4; flips > 0 && !bytes.empty(); --flips)
                bytes[random() % bytes.size()] = static_cast<char>(random());
            findings found;
            const auto content = read_log(bytes, "log", found);
            if (!content)
                continue;
            const auto& log = content.value().log;
            for (std::uint64_t index = 1; index <= log.last_index().value(); ++index)
                CPPUNIT_ASSERT(log.at(log_index{index}) == entries(index, index).entries.front());
        }
    }

    void a_snapshot_replaces_the_log_before_it()
    {
        {
            auto disk = open_new();
            CPPUNIT_ASSERT(disk.append({entries(1, 9)}));
            CPPUNIT_ASSERT(disk.write_snapshot({log_index{8}, term{1}, {}, "state"}));
            log_batch rest;
            rest.start = log_start{log_index{6}, term{1}, {}};
            rest.entries = entries(7, 9).entries;
            CPPUNIT_ASSERT(disk.rewrite_log(rest));
            CPPUNIT_ASSERT(disk.append({entries(10, 10)}));
        }
        auto disk = open_new();
        CPPUNIT_ASSERT_EQUAL(std::string{"state"}, disk.stored().snapshot->data);
        CPPUNIT_ASSERT_EQUAL(log_index{8}, disk.stored().log.base());
        CPPUNIT_ASSERT_EQUAL(log_index{10}, disk.stored().log.last_index());
    }

    /**
     * Earlier versions appended to the old log after a crash between a received snapshot and its
     * log. The old log may end before the snapshot, or at an entry that the snapshot replaced.
     */
    void a_log_that_goes_on_after_a_received_snapshot_is_read()
    {
        for (const std::uint64_t last : {3U, 20U, 25U}) {
            std::filesystem::remove_all(folder_);
            {
                auto disk = open_new();
                CPPUNIT_ASSERT(disk.append({entries(1, last)}));
                CPPUNIT_ASSERT(disk.write_snapshot({log_index{20}, term{2}, {}, "state"}));
                auto later = entries(21, 22);
                for (auto& entry : later.entries)
                    entry.entry_term = term{2};
                CPPUNIT_ASSERT(disk.append({later}));
            }
            for (int start = 0; start < 2; ++start) {
                auto disk = open_new();
                CPPUNIT_ASSERT_EQUAL(log_index{20}, disk.stored().log.base());
                CPPUNIT_ASSERT_EQUAL(log_index{22}, disk.stored().log.last_index());
                CPPUNIT_ASSERT_EQUAL(term{2}, disk.stored().hard.current_term);
            }
        }
    }

    void after_a_failed_write_every_later_write_fails()
    {
        auto disk = open_new();
        // Removing the folder makes the rewrite fail, as a full disk would.
        std::filesystem::remove_all(folder_);
        CPPUNIT_ASSERT(!disk.rewrite_log(entries(1, 1)));
        std::filesystem::create_directories(folder_);
        const auto later = disk.append({entries(1, 1)});
        CPPUNIT_ASSERT(!later);
        CPPUNIT_ASSERT(later.error() == make_error_code(ledger_error::write_failed));
    }

    void a_snapshot_of_a_newer_version_is_refused_with_its_own_error()
    {
        auto snapshot = encode_snapshot(ledger_state{});
        snapshot[0] = static_cast<char>(snapshot_version + 1);
        const auto read = decode_snapshot(snapshot);
        CPPUNIT_ASSERT(!read);
        CPPUNIT_ASSERT(read.error() == make_error_code(ledger_error::unknown_snapshot_version));
        CPPUNIT_ASSERT_EQUAL(snapshot_version + 1, read_snapshot_version(snapshot));
    }

    void mutated_snapshots_are_refused_or_decoded_without_a_crash()
    {
        ledger_state state;
        wire::task_record task;
        task.id = task_id{"t"};
        task.phase = wire::task_phase::finished;
        state.tasks.emplace(task.id, task);
        state.finished.push_back({task.id, wall_time{}});
        const auto snapshot = encode_snapshot(state);
        CPPUNIT_ASSERT(decode_snapshot(snapshot).has_value());
        std::mt19937_64 random{6}; // NOLINT: fixed seed, for a repeatable result
        int refused = 0;
        for (int round = 0; round < 5'000; ++round) {
            auto mutated = snapshot.substr(0, random() % 3 == 0 ? random() % snapshot.size()
                                                                : snapshot.size());
            if (!mutated.empty())
                mutated[random() % mutated.size()] = static_cast<char>(random());
            refused += decode_snapshot(mutated) ? 0 : 1;
        }
        CPPUNIT_ASSERT(refused > 1'000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(storage_test);

} // namespace galenaturn::ledger
