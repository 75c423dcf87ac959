#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace galenaturn {

/** A name with its own type per kind. Names of different kinds cannot be compared or converted. */
template <class Tag>
class strong_name {
public:
    strong_name() = default;
    explicit strong_name(std::string value) : value_{std::move(value)} {}

    [[nodiscard]] const std::string& value() const { return value_; }
    [[nodiscard]] bool empty() const { return value_.empty(); }

    auto operator<=>(const strong_name&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(value_);
    }

private:
    std::string value_;
};

/** A number of one kind, such as an epoch or a log index. Starts at 0, which means "none yet". */
template <class Tag>
class strong_number {
public:
    constexpr strong_number() = default;
    constexpr explicit strong_number(std::uint64_t value) : value_{value} {}

    [[nodiscard]] constexpr std::uint64_t value() const { return value_; }
    /** Returns the number that follows this one. */
    [[nodiscard]] constexpr strong_number next() const { return strong_number{value_ + 1}; }

    constexpr auto operator<=>(const strong_number&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(value_);
    }

private:
    std::uint64_t value_{0};
};

template <class Tag>
std::ostream& operator<<(std::ostream& out, const strong_name<Tag>& name)
{
    return out << name.value();
}

template <class Tag>
std::ostream& operator<<(std::ostream& out, const strong_number<Tag>& number)
{
    return out << number.value();
}

/** A process of galenaturn; unique across all failure domains. */
using process_id = strong_name<struct process_tag>;
using failure_domain_id = strong_name<struct failure_domain_tag>;
using region_id = strong_name<struct region_tag>;
using rack_id = strong_name<struct rack_tag>;
using owner_id = strong_name<struct owner_tag>;
using service_id = strong_name<struct service_tag>;
using upstream_id = strong_name<struct upstream_tag>;
using worker_id = strong_name<struct worker_tag>;
/** A kind of task in the catalogue; tasks of one job share learned sizes and run times. */
using job_id = strong_name<struct job_tag>;
/** Chosen by the client that starts the task; starting the same id again has no effect. */
using task_id = strong_name<struct task_tag>;
/** A submitted job. Chosen by the caller; submitting the same id again has no effect. */
using submission_id = strong_name<struct submission_tag>;
using checkpoint_id = strong_name<struct checkpoint_tag>;
/** Chosen by a client of the ledger; commands with the same id are applied only once. */
using request_id = strong_name<struct request_tag>;
using idempotency_key = strong_name<struct idempotency_key_tag>;
/** One voter or learner of the ledger. A voter that lost its disk returns under a new id. */
using voter_id = strong_name<struct voter_tag>;

/** Number of a process's start; a restarted process has a higher one. */
using incarnation = strong_number<struct incarnation_tag>;

/**
 * Returns the id of one life of a worker, so that nothing that is known of a worker is taken to
 * hold for its next life. Without an incarnation the name is the id.
 */
worker_id make_worker_id(const std::string& name, incarnation life);
/** Returns the name under which a worker announces itself in all its lives. */
std::string name_of(const worker_id& worker);
/** Returns the life of the worker, or 0 if it is not known. */
incarnation incarnation_of(const worker_id& worker);

/** Fencing token: a process that has seen a higher epoch rejects commands of a lower one. */
using epoch = strong_number<struct epoch_tag>;
/** Token of a command to a worker, which does nothing for one lower than the highest it has seen.
 */
using fencing_token = strong_number<struct fencing_token_tag>;
/** Election number of the ledger's leader. */
using term = strong_number<struct term_tag>;
using log_index = strong_number<struct log_index_tag>;
using catalogue_version = strong_number<struct catalogue_version_tag>;
/** Sequence number of a heartbeat, assigned by its sender. */
using heartbeat_number = strong_number<struct heartbeat_tag>;

} // namespace galenaturn

template <class Tag>
struct std::hash<galenaturn::strong_name<Tag>> {
    std::size_t operator()(const galenaturn::strong_name<Tag>& name) const noexcept
    {
        return std::hash<std::string>{}(name.value());
    }
};

template <class Tag>
struct std::hash<galenaturn::strong_number<Tag>> {
    std::size_t operator()(const galenaturn::strong_number<Tag>& number) const noexcept
    {
        return std::hash<std::uint64_t>{}(number.value());
    }
};
