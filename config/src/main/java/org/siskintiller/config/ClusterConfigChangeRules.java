package org.siskintiller.config;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.siskintiller.core.model.ClusterConfig;
import org.siskintiller.core.model.CustomerConfig;
import org.siskintiller.core.model.ServiceConfig;

/** Rules for a configuration that is to follow the one in force. */
public final class ClusterConfigChangeRules {

    private ClusterConfigChangeRules() {}

    /**
     * Checks a configuration against the one in force.
     *
     * @param removedCustomers customers that were removed and must not come back by an old file
     */
    public static List<ConfigProblem> check(
            String file, ClusterConfig current, ClusterConfig next, Set<String> removedCustomers) {
        IniProblems problems = new IniProblems(file);
        next.services().forEach(service -> checkSlots(service, current, problems));
        for (CustomerConfig customer : next.customers()) {
            if (removedCustomers.contains(customer.name())) {
                problems.add(
                        ClusterConfigParser.CUSTOMER + " " + customer.name(),
                        "",
                        "the customer was removed, and publishing this section would serve it again",
                        "remove the section, or allow the return with --readmit " + customer.name());
            }
        }
        return problems.list();
    }

    private static void checkSlots(ServiceConfig service, ClusterConfig current, IniProblems problems) {
        Optional<ServiceConfig> known = current.service(service.name());
        if (known.isPresent() && known.get().slots() != service.slots()) {
            problems.add(
                    ClusterConfigParser.SERVICE + " " + service.name(),
                    "slots",
                    "cannot change from " + known.get().slots() + " to " + service.slots()
                            + ", since keys would hash to other slots and could have two owners",
                    "keep " + known.get().slots() + " or publish a new service under another name");
        }
    }
}
