#include <galenaturn/ledger.h>

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <random>

namespace galenaturn::ledger {

class storage_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(storage_test);
    CPPUNIT_TEST(what_was_synced_is_there_after_a_restart);
    CPPUNIT_TEST(a_second_process_is_refused);
    CPPUNIT_TEST(a_torn_end_is_cut_at_every_length);
    CPPUNIT_TEST(damage_before_whole_records_is_refused_with_its_place);
    CPPUNIT_TEST(random_damage_never_yields_other_entries);
    CPPUNIT_TEST(an_image_replaces_the_log_before_it);
    CPPUNIT_TEST(a_full_disk_fails_the_write_and_every_later_one);
    CPPUNIT_TEST(an_image_of_a_newer_version_is_refused_by_name);
    CPPUNIT_TEST(mutated_images_are_refused_or_read_without_harm);
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

    void what_was_synced_is_there_after_a_restart()
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

    void a_second_process_is_refused()
    {
        const auto disk = open_new();
        findings found;
        const auto second = storage::open(folder_, found);
        CPPUNIT_ASSERT(!second);
        CPPUNIT_ASSERT(second.error() == make_error_code(ledger_error::folder_locked));
    }

    void a_torn_end_is_cut_at_every_length()
    {
        const auto whole = log_bytes(3);
        const auto two = log_bytes(2).size();
        for (auto size = two; size < whole.size(); ++size) {
            findings found;
            const auto content = read_log(whole.substr(0, size), "log", found);
            CPPUNIT_ASSERT(content.has_value());
            CPPUNIT_ASSERT_EQUAL(log_index{2}, content.value().log.last_index());
            CPPUNIT_ASSERT_EQUAL(two, content.value().valid_size);
        }
    }

    void damage_before_whole_records_is_refused_with_its_place()
    {
        auto bytes = log_bytes(3);
        const auto place = log_bytes(1).size();
        bytes[place + 30] = static_cast<char>(bytes[place + 30] ^ 1);
        findings found;
        const auto content = read_log(bytes, "log-7", found);
        CPPUNIT_ASSERT(!content);
        CPPUNIT_ASSERT(found.text().find("log-7") != std::string::npos);
        CPPUNIT_ASSERT(found.text().find("byte " + std::to_string(place)) != std::string::npos);
    }

    void random_damage_never_yields_other_entries()
    {
        const auto whole = log_bytes(4);
        std::mt19937_64 random{5}; // NOLINT: a fixed seed gives the same verdict every time
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

    void an_image_replaces_the_log_before_it()
    {
        {
            auto disk = open_new();
            CPPUNIT_ASSERT(disk.append({entries(1, 9)}));
            CPPUNIT_ASSERT(disk.write_image({log_index{8}, term{1}, {}, "state"}));
            log_batch rest;
            rest.start = log_start{log_index{6}, term{1}, {}};
            rest.entries = entries(7, 9).entries;
            CPPUNIT_ASSERT(disk.rewrite_log(rest));
            CPPUNIT_ASSERT(disk.append({entries(10, 10)}));
        }
        auto disk = open_new();
        CPPUNIT_ASSERT_EQUAL(std::string{"state"}, disk.stored().image->data);
        CPPUNIT_ASSERT_EQUAL(log_index{8}, disk.stored().log.base());
        CPPUNIT_ASSERT_EQUAL(log_index{10}, disk.stored().log.last_index());
    }

    void a_full_disk_fails_the_write_and_every_later_one()
    {
        auto disk = open_new();
        // Removing the folder makes every later rewrite fail, as a full disk does.
        std::filesystem::remove_all(folder_);
        CPPUNIT_ASSERT(!disk.rewrite_log(entries(1, 1)));
        std::filesystem::create_directories(folder_);
        const auto later = disk.append({entries(1, 1)});
        CPPUNIT_ASSERT(!later);
        CPPUNIT_ASSERT(later.error() == make_error_code(ledger_error::write_failed));
    }

    void an_image_of_a_newer_version_is_refused_by_name()
    {
        auto image = write_image(ledger_state{});
        image[0] = static_cast<char>(image_version + 1);
        const auto read = read_image(image);
        CPPUNIT_ASSERT(!read);
        CPPUNIT_ASSERT(read.error() == make_error_code(ledger_error::unknown_image_version));
        CPPUNIT_ASSERT_EQUAL(image_version + 1, version_of_image(image));
    }

    void mutated_images_are_refused_or_read_without_harm()
    {
        ledger_state state;
        wire::task_record task;
        task.id = task_id{"t"};
        task.phase = wire::task_phase::finished;
        state.tasks.emplace(task.id, task);
        state.finished.push_back({task.id, wall_time{}});
        const auto image = write_image(state);
        CPPUNIT_ASSERT(read_image(image).has_value());
        std::mt19937_64 random{6}; // NOLINT: a fixed seed gives the same verdict every time
        int refused = 0;
        for (int round = 0; round < 5'000; ++round) {
            auto mutated =
                image.substr(0, random() % 3 == 0 ? random() % image.size() : image.size());
            if (!mutated.empty())
                mutated[random() % mutated.size()] = static_cast<char>(random());
            refused += read_image(mutated) ? 0 : 1;
        }
        CPPUNIT_ASSERT(refused > 1'000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(storage_test);

} // namespace galenaturn::ledger
