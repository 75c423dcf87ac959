#include "storage.h"

#include <xxhash.h>

#include <unistd.h>

#include <algorithm>
#include <filesystem>

namespace galenaturn::ledger {

namespace {

constexpr const char* log_prefix = "log-";
constexpr const char* image_prefix = "image-";
constexpr const char* new_suffix = ".new";
constexpr std::size_t checksum_size = 8;
/** Names sort by number. */
constexpr std::size_t number_width = 20;

const std::string replace_advice =
    "replace this voter: remove it, empty its data folder, start it and add it as a learner";

std::string numbered(const char* prefix, std::uint64_t number)
{
    auto digits = std::to_string(number);
    digits.insert(0, number_width - digits.size(), '0');
    return prefix + digits;
}

std::string sealed(const std::string& body)
{
    return wire::encode(XXH3_64bits(body.data(), body.size())) + body;
}

/** Returns what `sealed` was given, or nothing where the checksum differs. */
std::optional<std::string> unsealed(const std::string& data)
{
    if (data.size() < checksum_size)
        return std::nullopt;
    auto body = data.substr(checksum_size);
    if (sealed(body) != data)
        return std::nullopt;
    return body;
}

/** Returns the last name that begins with `prefix` and was written whole. */
std::string newest(const std::string& folder, const std::string& prefix)
{
    std::string found;
    for (const auto& name : list_folder(folder)) {
        if (name.starts_with(prefix) && !name.ends_with(new_suffix))
            found = name;
    }
    return found;
}

struct image_file {
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

result<storage> storage::open(const std::string& folder, findings& found)
{
    storage opened;
    opened.folder_ = folder;
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error) {
        found.add({folder, 0, 0}, "the data folder cannot be made: " + error.message(),
                  "check 'data_folder' and its permissions");
        return make_error_code(ledger_error::folder_unusable);
    }
    auto lock = lock_file(folder + "/lock");
    if (!lock) {
        found.add({folder, 0, 0}, lock.error().message(),
                  "stop the other process or name another 'data_folder'");
        return lock.error();
    }
    opened.lock_ = std::move(lock).value();
    if (auto loaded = opened.load(found); !loaded)
        return loaded.error();
    return opened;
}

result<void> storage::load(findings& found)
{
    if (auto step = load_identity(found); !step)
        return step;
    if (auto step = load_image(found); !step)
        return step;
    if (auto step = load_log(found); !step)
        return step;
    if (auto step = reconcile(found); !step)
        return step;
    return open_log();
}

result<void> storage::load_identity(findings& found)
{
    const auto path = folder_ + "/identity";
    if (!std::filesystem::exists(path)) {
        if (newest(folder_, log_prefix).empty() && newest(folder_, image_prefix).empty())
            return success();
        found.add({path, 0, 0}, "the file is missing though a log is there", replace_advice);
        return make_error_code(ledger_error::corrupted);
    }
    const auto data = read_file(path);
    const auto body = data ? unsealed(data.value()) : std::nullopt;
    if (!body) {
        found.add({path, 0, 0}, "the file is damaged", replace_advice);
        return make_error_code(ledger_error::corrupted);
    }
    stored_.voter = voter_id{*body};
    return success();
}

result<void> storage::load_image(findings& found)
{
    const auto name = newest(folder_, image_prefix);
    if (name.empty())
        return success();
    const auto data = read_file(folder_ + "/" + name);
    const auto body = data ? unsealed(data.value()) : std::nullopt;
    auto image = body ? wire::decode<image_file>(*body)
                      : result<image_file>{make_error_code(ledger_error::corrupted)};
    if (!image) {
        found.add({folder_ + "/" + name, 0, 0}, "the image is damaged", replace_advice);
        return make_error_code(ledger_error::corrupted);
    }
    auto& read = image.value();
    stored_.image =
        state_image{read.index, read.index_term, std::move(read.voters), std::move(read.data)};
    return success();
}

result<void> storage::load_log(findings& found)
{
    log_name_ = newest(folder_, log_prefix);
    if (log_name_.empty())
        return success();
    const auto path = folder_ + "/" + log_name_;
    const auto data = read_file(path);
    if (!data) {
        found.add({path, 0, 0}, "the log cannot be read", replace_advice);
        return data.error();
    }
    auto content = read_log(data.value(), path, found);
    if (!content)
        return content.error();
    auto& read = content.value();
    if (read.valid_size < data.value().size()) {
        log_event(log_level::warning, "log_torn_end_cut",
                  {{"file", path}, {"bytes", data.value().size() - read.valid_size}});
        if (::truncate(path.c_str(), static_cast<off_t>(read.valid_size)) != 0)
            return make_error_code(ledger_error::write_failed);
    }
    log_number_ = std::stoull(log_name_.substr(std::string{log_prefix}.size()));
    sequence_ = read.last_sequence;
    stored_.hard = std::move(read.hard);
    stored_.log = std::move(read.log);
    return success();
}

result<void> storage::reconcile(findings& found)
{
    auto& log = stored_.log;
    if (!stored_.image) {
        if (log.base().value() == 0)
            return success();
        found.add({folder_, 0, 0}, "the image before the log is missing", replace_advice);
        return make_error_code(ledger_error::corrupted);
    }
    const auto& image = *stored_.image;
    if (image.index < log.base()) {
        found.add({folder_, 0, 0},
                  "the log begins at " + std::to_string(log.base().value()) +
                      ", after the image of " + std::to_string(image.index.value()),
                  replace_advice);
        return make_error_code(ledger_error::corrupted);
    }
    // A crash between a received image and the log after it leaves the log of before.
    if (!log.knows(image.index) || log.term_of(image.index) != image.index_term)
        log = replica_log{image.index, image.index_term, image.voters};
    log.compact(image.index);
    return success();
}

result<void> storage::open_log()
{
    if (log_name_.empty())
        log_name_ = numbered(log_prefix, log_number_);
    auto file = open_for_append(folder_ + "/" + log_name_);
    if (!file)
        return file.error();
    log_file_ = std::move(file).value();
    return sync_folder(folder_);
}

result<void> storage::checked(result<void> outcome)
{
    failed_ = failed_ || !outcome;
    return outcome;
}

result<void> storage::write_identity(const voter_id& voter)
{
    stored_.voter = voter;
    return checked(replace_file(folder_, "identity", sealed(voter.value())));
}

result<void> storage::append(const std::vector<log_batch>& batches)
{
    if (failed_)
        return make_error_code(ledger_error::write_failed);
    const auto record = encode_record(++sequence_, batches);
    bytes_written_ += record.size();
    if (auto written = checked(log_file_.write(record)); !written)
        return written;
    ++syncs_;
    return checked(log_file_.sync());
}

result<void> storage::write_image(const state_image& image)
{
    if (failed_)
        return make_error_code(ledger_error::write_failed);
    const auto name = numbered(image_prefix, image.index.value());
    const image_file file{image.index, image.index_term, image.voters, image.data};
    ++syncs_;
    const auto written = checked(replace_file(folder_, name, sealed(wire::encode(file))));
    if (written)
        remove_others(image_prefix, name);
    return written;
}

result<void> storage::rewrite_log(log_batch batch)
{
    if (failed_)
        return make_error_code(ledger_error::write_failed);
    const auto name = numbered(log_prefix, log_number_ + 1);
    ++syncs_;
    const auto record = encode_record(++sequence_, {std::move(batch)});
    bytes_written_ += record.size();
    if (auto written = checked(replace_file(folder_, name, record)); !written)
        return written;
    ++log_number_;
    log_name_ = name;
    if (auto opened = checked(open_log()); !opened)
        return opened;
    remove_others(log_prefix, name);
    return success();
}

void storage::remove_others(const std::string& prefix, const std::string& kept)
{
    for (const auto& name : list_folder(folder_)) {
        if (name.starts_with(prefix) && name != kept)
            ::unlink((folder_ + "/" + name).c_str());
    }
}

} // namespace galenaturn::ledger
