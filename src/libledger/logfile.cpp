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

bool apply_batch(log_content& content, log_batch batch)
{
    if (batch.start)
        content.log = replica_log{batch.start->base, batch.start->base_term, batch.start->voters};
    if (batch.hard)
        content.hard = *batch.hard;
    if (batch.truncate_after) {
        if (*batch.truncate_after < content.log.base())
            return false;
        content.log.truncate_after(*batch.truncate_after);
    }
    for (auto& entry : batch.entries) {
        const bool follows = entry.index == content.log.last_index().next() &&
                             entry.entry_term >= content.log.last_term();
        if (!follows)
            return false;
        if (entry.kind == entry_kind::voters && !wire::decode<voter_set>(entry.payload))
            return false;
        content.log.append(std::move(entry));
    }
    return true;
}

bool apply_record(log_content& content, std::string_view body)
{
    auto batches = wire::decode<std::vector<log_batch>>(body);
    if (!batches)
        return false;
    for (auto& batch : batches.value()) {
        if (!apply_batch(content, std::move(batch)))
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

result<log_content> read_log(std::string_view data, const std::string& file, findings& found)
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
        if (!apply_record(content, next->body))
            return report_damage(file, offset, "record does not continue the log before it", found);
        content.last_sequence = next->sequence;
        offset += record_header_bytes + next->body.size();
    }
    content.valid_bytes = offset;
    return content;
}

} // namespace galenaturn::ledger
