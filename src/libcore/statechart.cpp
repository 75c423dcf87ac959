#include "statechart.h"

#include "builtincharts.h"
#include "yamlreader.h"

#include <algorithm>
#include <set>

namespace galenaturn {

namespace {

bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

chart_transition read_transition(yaml_map& map, const std::vector<std::string>& actions)
{
    chart_transition transition;
    transition.target = map.text("to");
    transition.actions = map.texts("do");
    for (const auto& action : transition.actions) {
        if (!contains(actions, action))
            map.report("do", "unknown action '" + action + "'", "use an action that the code has");
    }
    map.finish();
    return transition;
}

chart_state read_state(yaml_map& map, const state_chart& chart,
                       const std::vector<std::string>& actions)
{
    chart_state state;
    state.final_state = map.boolean("final", false);
    if (map.has("on")) {
        auto events = map.map("on");
        for (const auto& event : events.keys()) {
            if (!contains(chart.events, event))
                events.report(event, "unknown event '" + event + "'", "declare it under 'events'");
            auto transition = events.map(event);
            state.on.emplace(event, read_transition(transition, actions));
        }
    }
    map.finish();
    if (!state.final_state && state.on.empty())
        map.report("on", "the state has no exit", "add a transition or mark it 'final: true'");
    if (state.final_state && !state.on.empty())
        map.report("on", "a final state has an exit", "remove 'final' or the transitions");
    return state;
}

std::set<std::string> reachable_states(const state_chart& chart)
{
    std::set<std::string> reached;
    std::vector<std::string> pending{chart.initial};
    while (!pending.empty()) {
        const auto name = pending.back();
        pending.pop_back();
        const auto state = chart.states.find(name);
        if (state == chart.states.end() || !reached.insert(name).second)
            continue;
        for (const auto& [event, transition] : state->second.on)
            pending.push_back(transition.target);
    }
    return reached;
}

void check_states(const state_chart& chart, yaml_map& states, findings& found)
{
    const auto reached = reachable_states(chart);
    std::set<std::string> used_events;
    for (const auto& [name, state] : chart.states) {
        if (!reached.contains(name))
            found.add(states.place_of(name), "state '" + name + "' cannot be reached",
                      "add a transition to it or remove it");
        for (const auto& [event, transition] : state.on) {
            used_events.insert(event);
            if (!chart.states.contains(transition.target))
                found.add(states.place_of(name),
                          "unknown state '" + transition.target + "' after event '" + event + "'",
                          "name a state of this chart");
        }
    }
    for (const auto& event : chart.events) {
        if (!used_events.contains(event))
            found.add(states.place(), "event '" + event + "' does nothing in any state",
                      "remove it from 'events' or use it");
    }
}

state_chart read_chart(yaml_map& root, const std::vector<std::string>& actions, findings& found)
{
    state_chart chart;
    chart.name = root.text("chart");
    chart.initial = root.text("initial");
    chart.events = root.texts("events");
    auto states = root.map("states");
    for (const auto& name : states.keys()) {
        auto state = states.map(name);
        chart.states.emplace(name, read_state(state, chart, actions));
    }
    root.finish();
    if (!chart.states.contains(chart.initial))
        root.report("initial", "unknown state '" + chart.initial + "'",
                    "name a state of this chart");
    check_states(chart, states, found);
    return chart;
}

} // namespace

state_chart parse_chart(const std::string& text, const std::string& file,
                        const std::vector<std::string>& actions, findings& found)
{
    auto root = yaml_map::parse(text, file, found);
    return read_chart(root, actions, found);
}

state_chart load_chart(const std::string& folder, const std::string& name,
                       const std::vector<std::string>& actions, findings& found)
{
    if (folder.empty())
        return parse_chart(builtin_chart(name), name + ".yaml", actions, found);
    auto root = yaml_map::load(folder + "/" + name + ".yaml", found);
    return read_chart(root, actions, found);
}

const chart_transition* find_transition(const state_chart& chart, std::string_view state,
                                        std::string_view event)
{
    const auto found_state = chart.states.find(state);
    if (found_state == chart.states.end())
        return nullptr;
    const auto transition = found_state->second.on.find(event);
    return transition == found_state->second.on.end() ? nullptr : &transition->second;
}

} // namespace galenaturn
