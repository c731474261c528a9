#pragma once

#include "jackdawvane/configuration/configuration_rules.hpp"

#include <string>

namespace jackdawvane {

/// Small valid document of revision 1.
inline configuration_document sample_document() {
    return parse_document(R"({"revision":1,
        "routes":{"r":{"pool":"p","organisations":["depot"]}},
        "pools":{"p":{"groups":{"g1":{"backend_servers":{"b1":{"endpoint":"127.0.0.1:7001",
            "place":{"region":"east","failure_domain":"d1"}}}}}}},
        "organisations":{"depot":{"rate":10,"burst":5},"harbour":{"rate":10,"burst":5}},
        "keys":{}})")
        .value();
}

/// Edit that changes the rate of one organisation.
inline configuration_edit rate_edit(const std::string& id, const std::string& organisation,
                                    double from, double to) {
    const auto row = [](double rate) { return to_json(organisation_row{rate, 5, 1}); };
    configuration_edit edit;
    edit.id = edit_id{id};
    edit.operator_name = "test";
    edit.changes = {{"organisations", organisation, row(from), row(to)}};
    return edit;
}

} // namespace jackdawvane
