#pragma once

#include "entryhub.h"
#include "operatorjson.h"

#include <galenaturn/daemon.h>

#include <functional>
#include <map>
#include <string>

namespace galenaturn::entryd {

/** Access of the operator service to the ledger; tests replace it. */
struct operator_ledger {
    std::function<request_id()> next_request_id;
    std::function<boost::asio::awaitable<wire::command_response>(wire::command_request, time_point)>
        submit;
    std::function<boost::asio::awaitable<wire::query_response>(wire::query_request, time_point)>
        ask;
    std::function<boost::asio::awaitable<wire::command_response>(wire::voter_change_request,
                                                                 time_point)>
        change_voters;
};

/** Returns access to the ledger through `shared`, which outlives the result. */
operator_ledger make_operator_ledger(daemon::context& shared);

/** HTTP interface of an entry for operators: catalogue, tasks and voters in the ledger. */
class operator_service : public daemon::service {
public:
    /** Adds its routes and counters to `shared`, which outlives the service. */
    operator_service(daemon::context& shared, entry_hub& hub, operator_ledger ledger);

    result<void> start() override;

private:
    using response_awaitable = boost::asio::awaitable<http::response>;

    void add_catalogue_routes();
    void add_task_routes();
    response_awaitable get_catalogue(http::call& incoming);
    response_awaitable put_catalogue(http::call& incoming);
    response_awaitable get_history(http::call& incoming);
    response_awaitable put_task(http::call& incoming);
    response_awaitable get_task(http::call& incoming);
    response_awaitable list_tasks(http::call& incoming);
    response_awaitable end_task(http::call& incoming, bool stop);
    response_awaitable get_ledger(http::call& incoming);
    response_awaitable change_voters(http::call& incoming);

    http::response reply_to_start(const start_request& request,
                                  const wire::command_response& response,
                                  const wire::query_response& existing);
    http::response reply_with_task(const wire::query_response& response, const task_id& id,
                                   http::status code);
    http::response refuse(const http::problem& details);
    http::response refuse_unconfirmed(const wire::command_response& response);
    http::response refuse_query(wire::query_status status, const std::string& what);
    [[nodiscard]] request_id id_of(const http::call& incoming) const;

    daemon::context& shared_;
    operator_ledger ledger_;
    catalogue_version version_;
    std::string digest_;
    counter& requests_;
    std::map<std::string, counter*, std::less<>> refusals_;
};

} // namespace galenaturn::entryd
