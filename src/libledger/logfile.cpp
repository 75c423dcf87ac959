#include "logfile.h"

#include <xxhash.h>

namespace galenaturn::ledger {

namespace {

constexpr std::uint32_t record_magic = 0x474c4e47;
/** Magic number, body size, sequence number, checksum of sequence number and body. */
constexpr std::size_t record_header_bytes = 4 + 4 + 8 + 8;
constexpr std::size_t max_record_bytes = std::size_t{256} << 20;

std::uint64_t checksum_of(std::uint64_t sequence, std::string_view body)
{
    return XXH3_64bits_withSeed(body.data(), body.size(), sequence);
}

struct record {
    std::uint64_t sequence{0};
    std::string_view body;
};

/** Returns the record at the start of `data`, or nothing if it is incomplete or damaged. */
std::optional<record> record_at(std::string_view data)
{
    if (data.size() < record_header_bytes)
        return std::nullopt;
    wire::input_archive archive{data};
    std::uint32_t magic{};
    std::uint32_t size{};
    std::uint64_t checksum{};
    record parsed;
    archive(magic, size, parsed.sequence, checksum);
    if (magic != record_magic || size > max_record_bytes || size > archive.remaining())
        return std::nullopt;
    parsed.body = data.substr(record_header_bytes, size);
    if (checksum_of(parsed.sequence, parsed.body) != checksum)
        return std::nullopt;
    return parsed;
}

/** Returns whether `data` contains a valid record with a higher sequence number anywhere. */
bool later_record_follows(std::string_view data, std::uint64_t sequence)
{
    const std::string magic{wire::encode(record_magic)};
    for (auto offset = data.find(magic); offset != std::string_view::npos;
         offset = data.find(magic, offset + 1)) {
        const auto found = record_at(data.substr(offset));
        if (found && found->sequence > sequence)
            return true;
    }
    return false;
}

replica_log log_after(const log_start& start)
{
    return {start.base, start.base_term, start.voters};
}

bool continues(const replica_log& log, const log_entry& entry)
{
    return entry.index == log.last_index().next() && entry.entry_term >= log.last_term();
}

/** Returns whether the log contains the last entry that the snapshot covers. */
bool reaches(const replica_log& log, const log_start& snapshot)
{
    return log.has_term_of(snapshot.base) && log.term_of(snapshot.base) == snapshot.base_term;
}

bool follows(const log_start& snapshot, const log_entry& entry)
{
    return entry.index == snapshot.base.next() && entry.entry_term >= snapshot.base_term;
}

bool apply_batch(log_content& content, log_batch batch, const std::optional<log_start>& snapshot)
{
    if (batch.start)
        content.log = log_after(*batch.start);
    if (batch.hard)
        content.hard = *batch.hard;
    if (batch.truncate_after) {
        if (*batch.truncate_after < content.log.base())
            return false;
        content.log.truncate_after(*batch.truncate_after);
    }
    for (auto& entry : batch.entries) {
        if (snapshot && follows(*snapshot, entry) && !reaches(content.log, *snapshot))
            content.log = log_after(*snapshot);
        if (!continues(content.log, entry))
            return false;
        if (entry.kind == entry_kind::voters && !wire::decode<voter_set>(entry.payload))
            return false;
        content.log.append(std::move(entry));
    }
    return true;
}

bool apply_record(log_content& content, std::string_view body,
                  const std::optional<log_start>& snapshot)
{
    auto batches = wire::decode<std::vector<log_batch>>(body);
    if (!batches)
        return false;
    for (auto& batch : batches.value()) {
        if (!apply_batch(content, std::move(batch), snapshot))
            return false;
    }
    return true;
}

error_code report_damage(const std::string& file, std::size_t offset, const std::string& problem,
                         findings& found)
{
    found.add(
        {file, 0, 0}, problem + " at byte " + std::to_string(offset),
        "do not edit the file; replace this voter: remove it, empty its data folder, start it "
        "and add it as a learner");
    return make_error_code(ledger_error::corrupted);
}

} // namespace

std::string encode_record(std::uint64_t sequence, const std::vector<log_batch>& batches)
{
    const auto body = wire::encode(batches);
    std::string target;
    target.reserve(record_header_bytes + body.size());
    wire::output_archive archive{target};
    archive(record_magic, static_cast<std::uint32_t>(body.size()), sequence,
            checksum_of(sequence, body));
    return target + body;
}

namespace {

result<log_content> read_records(std::string_view data, const std::string& file, findings& found,
                                 const std::optional<log_start>& snapshot)
{
    log_content content;
    std::size_t offset = 0;
    while (offset < data.size()) {
        const auto next = record_at(data.substr(offset));
        if (!next) {
            if (later_record_follows(data.substr(offset), content.last_sequence))
                return report_damage(file, offset, "damaged record with valid records after it",
                                     found);
            break;
        }
        if (next->sequence != content.last_sequence + 1 && offset != 0)
            return report_damage(file, offset, "record out of sequence", found);
        if (!apply_record(content, next->body, snapshot))
            return report_damage(file, offset, "record does not continue the log before it", found);
        content.last_sequence = next->sequence;
        offset += record_header_bytes + next->body.size();
    }
    content.valid_bytes = offset;
    return content;
}

} // namespace

log_batch whole_log_batch(const replica_log& log, const hard_state& hard)
{
    log_batch batch;
    batch.start = log_start{log.base(), log.base_term(), log.voters_at(log.base())};
    batch.hard = hard;
    for (auto index = log.base().next(); index <= log.last_index(); index = index.next())
        batch.entries.push_back(log.at(index));
    return batch;
}

result<log_content> read_log(std::string_view data, const std::string& file, findings& found,
                             const std::optional<log_start>& snapshot)
{
    findings problems;
    auto content = read_records(data, file, problems, std::nullopt);
    if (snapshot && (!content || !reaches(content.value().log, *snapshot))) {
        findings ignored;
        auto after_snapshot = read_records(data, file, ignored, snapshot);
        if (after_snapshot && reaches(after_snapshot.value().log, *snapshot))
            return after_snapshot;
    }
    for (const auto& problem : problems.items())
        found.add(problem.place, problem.problem, problem.fix);
    return content;
}

} // namespace galenaturn::ledger
