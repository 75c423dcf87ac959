#pragma once

#include "entryhub.h"

#include <galenaturn/daemon.h>

#include <random>

namespace galenaturn::entryd {

/** What an entry does with a catalogue document that it receives. */
enum class catalogue_verdict : std::uint8_t {
    /** The document is newer and was put in force. */
    applied,
    /** The version is in force already. */
    already_in_force,
    /** A higher version is in force; an entry never returns to a lower one. */
    refused_older,
    /** The document cannot be parsed; the one in force stays. */
    refused_malformed,
};

/** Replaces `current` by `document` if that is valid and has a higher version. */
catalogue_verdict apply_catalogue(catalogue_in_force& current,
                                  const wire::catalogue_document& document);

/**
 * Keeps the catalogue of one entry up to date: applies the documents that control processes push,
 * polls for the newest version, and fetches it if it is newer. After a start it asks the leader
 * first, and a voter, which may lag behind, only if the leader does not reply.
 */
class catalogue_service : public daemon::service {
public:
    /** `hub` outlives the service. */
    catalogue_service(daemon::context& shared, entry_hub& hub);

    result<void> start() override;

    [[nodiscard]] const catalogue_in_force& current() const { return current_; }

private:
    static boost::asio::awaitable<void> poll(catalogue_service* self);
    /** Returns the newest document available, or nothing if none is newer than the current one. */
    static boost::asio::awaitable<std::optional<wire::catalogue_document>>
    fetch(catalogue_service* self, bool stale_allowed);
    void apply_document(const wire::catalogue_document& document);

    daemon::context& shared_;
    entry_hub& hub_;
    catalogue_in_force current_;
    /** Randomizes the poll interval, so that entries do not poll at the same time. */
    std::minstd_rand random_;
    gauge& version_;
    std::map<catalogue_verdict, counter*> verdicts_;
    counter& unanswered_polls_;
};

} // namespace galenaturn::entryd
