#include "simulation/memorydisk.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <functional>

namespace galenaturn::ledger {

namespace {

constexpr std::array last_operations{last_operation::missing, last_operation::torn,
                                     last_operation::whole};
constexpr std::array power_losses{power_loss::none, power_loss::everything_unsynced,
                                  power_loss::names, power_loss::data, power_loss::half_of_data};

/** What the storage has acknowledged, so that a start has to find it. */
struct acknowledged_state {
    voter_id voter;
    hard_state hard;
    log_index last_index;
    log_index snapshot_index;
};

log_entry entry_at(std::uint64_t index, std::uint64_t entry_term)
{
    return {term{entry_term}, log_index{index}, entry_kind::command,
            "entry " + std::to_string(index)};
}

log_batch batch_of(std::uint64_t first, std::uint64_t last, std::uint64_t entry_term)
{
    log_batch batch;
    for (auto index = first; index <= last; ++index)
        batch.entries.push_back(entry_at(index, entry_term));
    return batch;
}

/** A process that uses the storage as the daemon does, and notes what was acknowledged. */
class storage_user {
public:
    storage_user(memory_disk& disk, acknowledged_state& acknowledged) : acknowledged_{acknowledged}
    {
        findings found;
        auto opened = storage::open(disk.open(), found);
        if (!opened)
            throw std::runtime_error{"refused: " + found.text()};
        storage_.emplace(std::move(opened).value());
        check_loaded();
        if (storage_->stored().voter.empty()) {
            CPPUNIT_ASSERT(storage_->write_identity(voter_id{"v1"}));
            acknowledged_.voter = voter_id{"v1"};
        }
        log_ = storage_->stored().log;
        hard_ = storage_->stored().hard;
        // Whatever was loaded may be acknowledged from now on.
        acknowledged_.hard = hard_;
        acknowledged_.last_index = log_.last_index();
        if (storage_->stored().snapshot)
            acknowledged_.snapshot_index = storage_->stored().snapshot->index;
    }

    void append(std::uint64_t count, std::uint64_t entry_term)
    {
        const auto last = log_.last_index().value();
        auto batch = batch_of(last + 1, last + count, entry_term);
        for (const auto& entry : batch.entries)
            log_.append(entry);
        CPPUNIT_ASSERT(storage_->append({std::move(batch)}));
        acknowledged_.last_index = log_.last_index();
    }

    void vote(std::uint64_t in_term, const std::string& candidate)
    {
        log_batch batch;
        batch.hard = hard_state{term{in_term}, voter_id{candidate}};
        hard_ = *batch.hard;
        CPPUNIT_ASSERT(storage_->append({std::move(batch)}));
        acknowledged_.hard = hard_;
    }

    /** Replaces the log up to `index` by a snapshot; `index` may be beyond the log. */
    void store_snapshot(std::uint64_t index, std::uint64_t index_term)
    {
        const log_index covered{index};
        if (term{index_term} > hard_.current_term)
            hard_ = {term{index_term}, voter_id{}};
        CPPUNIT_ASSERT(storage_->write_snapshot({covered, term{index_term}, {}, "state"}));
        acknowledged_.snapshot_index = covered;
        if (log_.has_term_of(covered) && log_.term_of(covered) == term{index_term})
            log_.compact(covered);
        else
            log_ = replica_log{covered, term{index_term}, {}};
        CPPUNIT_ASSERT(storage_->rewrite_log(whole_log_batch(log_, hard_)));
        acknowledged_.last_index = log_.last_index();
    }

private:
    /** Asserts that what was acknowledged is there, and nothing that was never written. */
    void check_loaded()
    {
        const auto& stored = storage_->stored();
        CPPUNIT_ASSERT_EQUAL(acknowledged_.voter.value(),
                             acknowledged_.voter.empty() ? std::string{} : stored.voter.value());
        CPPUNIT_ASSERT(stored.hard.current_term >= acknowledged_.hard.current_term);
        if (stored.hard.current_term == acknowledged_.hard.current_term)
            CPPUNIT_ASSERT(acknowledged_.hard.voted_for.empty() ||
                           stored.hard.voted_for == acknowledged_.hard.voted_for);
        CPPUNIT_ASSERT(stored.log.last_index() >= acknowledged_.last_index);
        CPPUNIT_ASSERT(acknowledged_.snapshot_index.value() == 0 || stored.snapshot.has_value());
        CPPUNIT_ASSERT(!stored.snapshot || stored.snapshot->index >= acknowledged_.snapshot_index);
        CPPUNIT_ASSERT(stored.hard.current_term >= stored.log.last_term());
        for (auto index = stored.log.base().next(); index <= stored.log.last_index();
             index = index.next())
            CPPUNIT_ASSERT_EQUAL("entry " + std::to_string(index.value()),
                                 stored.log.at(index).payload);
    }

    acknowledged_state& acknowledged_;
    std::optional<storage> storage_;
    replica_log log_;
    hard_state hard_;
};

/** One life of a process: all that it does until it ends or is killed. */
using process_life = std::function<void(memory_disk&, acknowledged_state&)>;

void first_life(memory_disk& disk, acknowledged_state& acknowledged)
{
    storage_user user{disk, acknowledged};
    user.vote(1, "v2");
    user.append(3, 1);
    user.append(2, 1);
    user.vote(2, "v1");
}

/** Compacts its log, falls behind, and receives a snapshot that its log does not reach. */
void life_with_snapshots(memory_disk& disk, acknowledged_state& acknowledged)
{
    first_life(disk, acknowledged);
    storage_user user{disk, acknowledged};
    user.append(2, 2);
    user.store_snapshot(5, 1);
    user.append(1, 2);
    user.vote(3, "v3");
    user.store_snapshot(20, 5);
    user.append(2, 5);
    user.store_snapshot(40, 5);
}

/** What a life does after a start: it goes on, so that the next start reads it. */
void later_life(memory_disk& disk, acknowledged_state& acknowledged)
{
    storage_user user{disk, acknowledged};
    user.vote(6, "v2");
    user.append(1, 6);
    user.append(2, 6);
}

} // namespace

/**
 * Kills a process at each operation on its folder, with the last operation whole, torn and missing
 * and with each kind of loss of power. It has to start, go on and start again.
 */
class storage_crash_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(storage_crash_test);
    CPPUNIT_TEST(a_process_killed_at_its_first_start_starts_again);
    CPPUNIT_TEST(a_process_killed_while_it_stores_a_snapshot_starts_again_and_again);
    CPPUNIT_TEST(a_process_killed_while_it_recovers_starts_again_and_again);
    CPPUNIT_TEST(what_a_start_has_read_survives_a_loss_of_power);
    CPPUNIT_TEST_SUITE_END();

    std::string failed_;
    std::size_t cases_{0};
    std::size_t failures_{0};

    /** Runs a life and kills it. Returns whether it was killed before its end. */
    static bool run_killed(const process_life& life, memory_disk& disk,
                           acknowledged_state& acknowledged, std::size_t operations,
                           last_operation last)
    {
        disk.kill_after(operations, last);
        try {
            life(disk, acknowledged);
        }
        catch (const killed_error&) {
            return true;
        }
        return false;
    }

    void note(const std::string& at, const std::string& what)
    {
        ++failures_;
        if (failed_.size() < 2'000)
            failed_ += "\n" + at + ": " + what;
    }

    /** Carries out `action`; notes how it failed, if it did. */
    void attempt(const std::string& at, const std::function<void()>& action)
    {
        try {
            action();
        }
        catch (const CppUnit::Exception& failure) {
            note(at, failure.message().details());
        }
        catch (const std::runtime_error& failure) {
            note(at, failure.what());
        }
    }

    /** Lets a process start, go on, and start again twice. */
    void run_on(memory_disk& disk, acknowledged_state& acknowledged, const std::string& at)
    {
        ++cases_;
        attempt(at, [&] {
            for (int start = 0; start < 3; ++start) {
                later_life(disk, acknowledged);
                disk.restart(power_loss::none);
            }
        });
    }

    static std::string name_of(std::size_t operations, last_operation last, power_loss loss)
    {
        return std::to_string(operations) + "/" + std::to_string(static_cast<int>(last)) + "/" +
               std::to_string(static_cast<int>(loss));
    }

    /** Kills `life` at each operation and calls `then` with the disk as it is afterwards. */
    static void for_each_kill(
        const process_life& life,
        const std::function<void(memory_disk&, acknowledged_state&, const std::string&)>& then)
    {
        for (const auto last : last_operations) {
            for (const auto loss : power_losses) {
                bool killed = true;
                for (std::size_t operations = 0; killed; ++operations) {
                    memory_disk disk;
                    acknowledged_state acknowledged;
                    killed = run_killed(life, disk, acknowledged, operations, last);
                    disk.restart(loss);
                    then(disk, acknowledged, name_of(operations, last, loss));
                }
            }
        }
    }

    void assert_none_failed() const
    {
        CPPUNIT_ASSERT(cases_ > 0);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(failures_) + " of " + std::to_string(cases_) +
                                   " cases, operations/last/loss:" + failed_,
                               failed_.empty());
    }

    /** Guards against a folder with an empty log and no identity that is taken for damaged. */
    void a_process_killed_at_its_first_start_starts_again()
    {
        for_each_kill(first_life, [this](auto& disk, auto& acknowledged, const auto& at) {
            run_on(disk, acknowledged, at);
        });
        assert_none_failed();
    }

    /** Guards against a log file that ends before the snapshot that the next entries follow. */
    void a_process_killed_while_it_stores_a_snapshot_starts_again_and_again()
    {
        for_each_kill(life_with_snapshots, [this](auto& disk, auto& acknowledged, const auto& at) {
            run_on(disk, acknowledged, at);
        });
        assert_none_failed();
    }

    /** Guards against a start whose own repairs can be interrupted only once. */
    void a_process_killed_while_it_recovers_starts_again_and_again()
    {
        for_each_kill(life_with_snapshots, [this](auto& disk, auto& acknowledged, const auto& at) {
            kill_recovery(disk, acknowledged, at);
        });
        assert_none_failed();
    }

    /** Kills the next life at each operation too. */
    void kill_recovery(const memory_disk& found, const acknowledged_state& acknowledged,
                       const std::string& at)
    {
        for (const auto loss : {power_loss::none, power_loss::everything_unsynced}) {
            bool killed = true;
            for (std::size_t operations = 0; killed; ++operations) {
                memory_disk disk{found};
                auto expected = acknowledged;
                const auto both = at + "/" + name_of(operations, last_operation::whole, loss);
                attempt(both, [&] {
                    killed =
                        run_killed(later_life, disk, expected, operations, last_operation::whole);
                });
                disk.restart(loss);
                run_on(disk, expected, both);
                killed = killed && failed_.empty();
            }
        }
    }

    /** Guards against acknowledging what a process killed before its sync had only written. */
    void what_a_start_has_read_survives_a_loss_of_power()
    {
        for (const auto loss : power_losses) {
            for_each_kill(
                life_with_snapshots, [this, loss](auto& disk, auto& acknowledged, const auto& at) {
                    attempt(at, [&] { const storage_user reader{disk, acknowledged}; });
                    disk.restart(loss);
                    run_on(disk, acknowledged, at + "/" + std::to_string(static_cast<int>(loss)));
                });
        }
        assert_none_failed();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(storage_crash_test);

} // namespace galenaturn::ledger
