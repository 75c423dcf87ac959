#include "storage.h"

#include "posixfolder.h"

#include <xxhash.h>

#include <algorithm>

namespace galenaturn::ledger {

namespace {

constexpr const char* log_file_prefix = "log-";
constexpr const char* snapshot_file_prefix = "image-";
constexpr const char* identity_file = "identity";
constexpr std::size_t checksum_bytes = 8;
/** Digits of the number in a file name; zero-padded, so that names sort by number. */
constexpr std::size_t file_number_digits = 20;

const std::string replace_voter_advice =
    "replace this voter: remove it, empty its data folder, start it and add it as a learner";

std::string numbered_name(const char* prefix, std::uint64_t number)
{
    auto digits = std::to_string(number);
    digits.insert(0, file_number_digits - digits.size(), '0');
    return prefix + digits;
}

std::string add_checksum(const std::string& body)
{
    return wire::encode(XXH3_64bits(body.data(), body.size())) + body;
}

/** Returns `data` without its checksum, or nothing if the checksum does not match. */
std::optional<std::string> verify_checksum(const std::string& data)
{
    if (data.size() < checksum_bytes)
        return std::nullopt;
    auto body = data.substr(checksum_bytes);
    if (add_checksum(body) != data)
        return std::nullopt;
    return body;
}

struct snapshot_file {
    log_index index;
    term index_term;
    voter_set voters;
    std::string data;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(index, index_term, voters, data);
    }
};

} // namespace

result<storage> storage::open(const std::string& path, findings& found)
{
    auto folder = posix_folder::open(path, found);
    if (!folder)
        return folder.error();
    return open(std::move(folder).value(), found);
}

result<storage> storage::open(std::unique_ptr<disk_folder> folder, findings& found)
{
    storage opened;
    opened.folder_ = std::move(folder);
    if (auto loaded = opened.load(found); !loaded)
        return loaded.error();
    return opened;
}

result<void> storage::load(findings& found)
{
    if (auto step = load_identity(found); !step)
        return step;
    if (auto step = load_snapshot(found); !step)
        return step;
    if (auto step = load_log(found); !step)
        return step;
    if (auto step = align_log_with_snapshot(found); !step)
        return step;
    if (auto step = open_log(); !step)
        return step;
    // A process that was killed between a write and its sync leaves records that are readable but
    // not durable. What was read is acknowledged from here on.
    return log_file_->sync();
}

result<void> storage::load_identity(findings& found)
{
    const auto names = folder_->names();
    if (std::find(names.begin(), names.end(), identity_file) == names.end())
        return success();
    const auto data = folder_->read(identity_file);
    const auto body = data ? verify_checksum(data.value()) : std::nullopt;
    if (!body) {
        found.add({path_of(identity_file), 0, 0}, "the file is damaged", replace_voter_advice);
        return make_error_code(ledger_error::corrupted);
    }
    stored_.voter = voter_id{*body};
    return success();
}

result<void> storage::require_identity(findings& found) const
{
    if (!stored_.voter.empty())
        return success();
    found.add({path_of(identity_file), 0, 0},
              "the file is missing although the folder has a log or a snapshot",
              replace_voter_advice);
    return make_error_code(ledger_error::corrupted);
}

result<void> storage::load_snapshot(findings& found)
{
    const auto name = newest_file(snapshot_file_prefix);
    if (name.empty())
        return success();
    if (auto known = require_identity(found); !known)
        return known;
    const auto data = folder_->read(name);
    const auto body = data ? verify_checksum(data.value()) : std::nullopt;
    auto snapshot = body ? wire::decode<snapshot_file>(*body)
                         : result<snapshot_file>{make_error_code(ledger_error::corrupted)};
    if (!snapshot) {
        found.add({path_of(name), 0, 0}, "the snapshot is damaged", replace_voter_advice);
        return make_error_code(ledger_error::corrupted);
    }
    auto& read = snapshot.value();
    stored_.snapshot =
        state_snapshot{read.index, read.index_term, std::move(read.voters), std::move(read.data)};
    return success();
}

result<void> storage::load_log(findings& found)
{
    log_name_ = newest_file(log_file_prefix);
    if (log_name_.empty())
        return success();
    const auto path = path_of(log_name_);
    const auto data = folder_->read(log_name_);
    if (!data) {
        found.add({path, 0, 0}, "the log cannot be read", replace_voter_advice);
        return data.error();
    }
    std::optional<log_start> after_snapshot;
    if (const auto& snapshot = stored_.snapshot)
        after_snapshot = log_start{snapshot->index, snapshot->index_term, snapshot->voters};
    auto content = read_log(data.value(), path, found, after_snapshot);
    if (!content)
        return content.error();
    auto& read = content.value();
    if (read.valid_bytes > 0) {
        if (auto known = require_identity(found); !known)
            return known;
    }
    if (read.valid_bytes < data.value().size()) {
        log_event(log_level::warning, "log_torn_end_cut",
                  {{"file", path}, {"bytes", data.value().size() - read.valid_bytes}});
        if (auto cut = folder_->truncate(log_name_, read.valid_bytes); !cut)
            return cut;
    }
    log_number_ = std::stoull(log_name_.substr(std::string{log_file_prefix}.size()));
    sequence_ = read.last_sequence;
    stored_.hard = std::move(read.hard);
    stored_.log = std::move(read.log);
    return success();
}

result<void> storage::align_log_with_snapshot(findings& found)
{
    auto& log = stored_.log;
    if (!stored_.snapshot) {
        if (log.base().value() == 0)
            return success();
        found.add({folder_->path(), 0, 0}, "the snapshot on which the log builds is missing",
                  replace_voter_advice);
        return make_error_code(ledger_error::corrupted);
    }
    const auto& snapshot = *stored_.snapshot;
    if (snapshot.index < log.base()) {
        found.add({folder_->path(), 0, 0},
                  "the log begins at " + std::to_string(log.base().value()) +
                      ", after the snapshot at " + std::to_string(snapshot.index.value()),
                  replace_voter_advice);
        return make_error_code(ledger_error::corrupted);
    }
    // A vote in the term of the snapshot would have been stored with that term.
    if (stored_.hard.current_term < snapshot.index_term)
        stored_.hard = hard_state{snapshot.index_term, voter_id{}};
    if (log.has_term_of(snapshot.index) && log.term_of(snapshot.index) == snapshot.index_term) {
        log.compact(snapshot.index);
        return success();
    }
    // A process that stopped after writing a received snapshot leaves a log that does not reach it.
    log = replica_log{snapshot.index, snapshot.index_term, snapshot.voters};
    log_event(log_level::warning, "log_replaced_by_image",
              {{"folder", folder_->path()}, {"index", snapshot.index}});
    return rewrite_log(whole_log_batch(log, stored_.hard));
}

result<void> storage::open_log()
{
    if (log_file_)
        return success();
    if (log_name_.empty())
        log_name_ = numbered_name(log_file_prefix, log_number_);
    auto file = folder_->open_for_append(log_name_);
    if (!file)
        return file.error();
    log_file_ = std::move(file).value();
    return folder_->sync();
}

result<void> storage::note_failure(result<void> outcome)
{
    failed_ = failed_ || !outcome;
    return outcome;
}

result<void> storage::write_identity(const voter_id& voter)
{
    stored_.voter = voter;
    return note_failure(replace_file(*folder_, identity_file, add_checksum(voter.value())));
}

result<void> storage::append(const std::vector<log_batch>& batches)
{
    if (failed_)
        return make_error_code(ledger_error::write_failed);
    const auto record = encode_record(++sequence_, batches);
    bytes_written_ += record.size();
    if (auto written = note_failure(log_file_->write(record)); !written)
        return written;
    ++syncs_;
    return note_failure(log_file_->sync());
}

result<void> storage::write_snapshot(const state_snapshot& snapshot)
{
    if (failed_)
        return make_error_code(ledger_error::write_failed);
    const auto name = numbered_name(snapshot_file_prefix, snapshot.index.value());
    const snapshot_file file{snapshot.index, snapshot.index_term, snapshot.voters, snapshot.data};
    ++syncs_;
    const auto written =
        note_failure(replace_file(*folder_, name, add_checksum(wire::encode(file))));
    if (written)
        remove_other_files(snapshot_file_prefix, name);
    return written;
}

result<void> storage::rewrite_log(log_batch batch)
{
    if (failed_)
        return make_error_code(ledger_error::write_failed);
    const auto name = numbered_name(log_file_prefix, log_number_ + 1);
    ++syncs_;
    const auto record = encode_record(++sequence_, {std::move(batch)});
    bytes_written_ += record.size();
    if (auto written = note_failure(replace_file(*folder_, name, record)); !written)
        return written;
    ++log_number_;
    log_name_ = name;
    log_file_.reset();
    if (auto opened = note_failure(open_log()); !opened)
        return opened;
    remove_other_files(log_file_prefix, name);
    return success();
}

std::string storage::newest_file(const std::string& prefix) const
{
    std::string found;
    for (const auto& name : folder_->names()) {
        if (name.starts_with(prefix) && !name.ends_with(temporary_suffix))
            found = name;
    }
    return found;
}

std::string storage::path_of(const std::string& name) const
{
    return folder_->path() + "/" + name;
}

void storage::remove_other_files(const std::string& prefix, const std::string& kept)
{
    for (const auto& name : folder_->names()) {
        if (name.starts_with(prefix) && name != kept)
            folder_->remove(name);
    }
}

} // namespace galenaturn::ledger
