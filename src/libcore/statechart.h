#pragma once

#include "errors.h"
#include "findings.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace galenaturn {

/** The transition that an event causes in one state. */
struct chart_transition {
    std::string target;
    /** Names of actions, run in this order before the state changes. */
    std::vector<std::string> actions;
};

struct chart_state {
    bool final_state{false};
    std::map<std::string, chart_transition, std::less<>> on;
};

/** A state chart as read from its file. */
struct state_chart {
    std::string name;
    std::string initial;
    std::vector<std::string> events;
    std::map<std::string, chart_state, std::less<>> states;
};

/**
 * Parses a chart and checks it: every state can be reached, every state that is not final has an
 * exit, and every event, target and action is known. `actions` are the names of the actions that
 * the code implements.
 */
state_chart parse_chart(const std::string& text, const std::string& file,
                        const std::vector<std::string>& actions, findings& found);
/** Loads and checks the chart in `folder`/`name`.yaml; if `folder` is empty, the built-in one. */
state_chart load_chart(const std::string& folder, const std::string& name,
                       const std::vector<std::string>& actions, findings& found);

/** Returns the transition of `event` in `state`, or null where the chart has none. */
const chart_transition* find_transition(const state_chart& chart, std::string_view state,
                                        std::string_view event);

/** The actions that a kind of object offers to its chart, by name. */
template <class Object>
using chart_actions = std::map<std::string, std::function<void(Object&)>, std::less<>>;

/** Returns the names in a table of actions. */
template <class Object>
std::vector<std::string> action_names(const chart_actions<Object>& actions)
{
    std::vector<std::string> names;
    for (const auto& [name, action] : actions)
        names.push_back(name);
    return names;
}

/**
 * Applies `event` to `object`, whose current state is `state`: runs the actions in order and
 * sets the new state. Returns core_error::unknown_event, and changes nothing, if the chart has
 * no such transition.
 */
template <class Object>
result<void> apply_event(const state_chart& chart, const chart_actions<Object>& actions,
                         std::string& state, std::string_view event, Object& object)
{
    const auto* transition = find_transition(chart, state, event);
    if (transition == nullptr)
        return make_error_code(core_error::unknown_event);
    for (const auto& action : transition->actions)
        actions.find(action)->second(object);
    state = transition->target;
    return success();
}

} // namespace galenaturn
