#include "catalogueservice.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace galenaturn::entryd {

namespace asio = boost::asio;

namespace {

/** Well below the time within which a version must be in force, so that polls may be lost. */
constexpr duration poll_interval = std::chrono::seconds{2};
/** Used after an unanswered poll; short, since no catalogue is in force after a start. */
constexpr duration poll_retry_interval = std::chrono::milliseconds{200};
constexpr duration query_timeout = std::chrono::seconds{2};

} // namespace

catalogue_verdict apply_catalogue(catalogue_in_force& current,
                                  const wire::catalogue_document& document)
{
    if (document.version == current.version)
        return catalogue_verdict::already_in_force;
    if (document.version < current.version)
        return catalogue_verdict::refused_older;
    findings found;
    auto entries = parse_catalogue(document.document, "catalogue", found);
    if (!found.empty())
        return catalogue_verdict::refused_malformed;
    current = {document.version, document.digest, std::move(entries)};
    return catalogue_verdict::applied;
}

catalogue_service::catalogue_service(daemon::context& shared, entry_hub& hub)
    : shared_{shared}, hub_{hub}, random_{static_cast<std::minstd_rand::result_type>(
                                      std::hash<process_id>{}(shared.settings.self.id))},
      version_{shared.metrics.make_gauge("galenaturn_catalogue_version")},
      unanswered_polls_{shared.metrics.make_counter("galenaturn_catalogue_polls_unanswered_total")}
{
    const auto verdict_counter = [&shared](const char* verdict) {
        return &shared.metrics.make_counter("galenaturn_catalogue_documents_total",
                                            {{"verdict", verdict}});
    };
    verdicts_[catalogue_verdict::applied] = verdict_counter("taken");
    verdicts_[catalogue_verdict::already_in_force] = verdict_counter("known");
    verdicts_[catalogue_verdict::refused_older] = verdict_counter("refused_older");
    verdicts_[catalogue_verdict::refused_malformed] = verdict_counter("refused_malformed");
    shared.frames.on(wire::frame_kind::catalogue_push, [this](const wire::hello& /*from*/,
                                                              const wire::frame& received,
                                                              const wire::reply_function& reply) {
        const auto document = wire::decode<wire::catalogue_document>(received.payload);
        if (document)
            apply_document(document.value());
        reply(wire::encode(current_.version));
    });
}

result<void> catalogue_service::start()
{
    asio::co_spawn(shared_.io, poll(this), asio::detached);
    return success();
}

void catalogue_service::apply_document(const wire::catalogue_document& document)
{
    const auto before = current_.version;
    const auto verdict = apply_catalogue(current_, document);
    GN_INVARIANT(current_.version >= before, {"version", current_.version}, {"before", before});
    verdicts_[verdict]->add();
    if (verdict != catalogue_verdict::applied)
        return;
    version_.set(static_cast<double>(current_.version.value()));
    log_event(log_level::info, "catalogue_in_force",
              {{"version", current_.version}, {"digest", current_.digest}});
    publish(hub_.catalogue_changed, current_);
}

asio::awaitable<std::optional<wire::catalogue_document>>
catalogue_service::fetch(catalogue_service* self, bool stale_allowed)
{
    wire::query_request history_query{wire::list_catalogue_history{1}, stale_allowed};
    const auto listed = co_await self->shared_.ledger.ask(std::move(history_query),
                                                          monotonic_now() + query_timeout);
    if (listed.status != wire::query_status::found) {
        self->unanswered_polls_.add();
        co_return std::nullopt;
    }
    if (listed.documents.empty() || listed.documents.front().version <= self->current_.version)
        co_return std::nullopt;
    wire::query_request document_query{wire::get_catalogue{}, stale_allowed};
    auto fetched = co_await self->shared_.ledger.ask(std::move(document_query),
                                                     monotonic_now() + query_timeout);
    if (fetched.status != wire::query_status::found || fetched.documents.empty())
        co_return std::nullopt;
    co_return std::move(fetched.documents.front());
}

asio::awaitable<void> catalogue_service::poll(catalogue_service* self)
{
    wire::boot_timer timer{self->shared_.io};
    bool leader_replied = false;
    while (true) {
        // The leader is asked until it has replied once: the voter of the own failure domain may
        // lag behind the version that was in force before a restart of this process.
        const auto unanswered_before = self->unanswered_polls_.value();
        auto document = co_await fetch(self, leader_replied);
        const bool answered = self->unanswered_polls_.value() == unanswered_before;
        if (!answered && !leader_replied)
            document = co_await fetch(self, true);
        leader_replied = leader_replied || answered;
        if (document)
            self->apply_document(*document);
        const auto interval = answered ? poll_interval : poll_retry_interval;
        const duration spread{self->random_() % (interval.count() / 4)};
        timer.expires_after(interval - spread);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

} // namespace galenaturn::entryd
