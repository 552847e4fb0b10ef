package org.siskintiller.config;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.siskintiller.core.model.ClusterConfig;
import org.siskintiller.core.model.CustomerConfig;
import org.siskintiller.core.model.ServiceConfig;

/** Rules for a configuration that is to replace the current one. */
public final class ClusterConfigChangeRules {

    private ClusterConfigChangeRules() {}

    /**
     * Checks a configuration against the current one.
     *
     * @param removedCustomers removed customers, which publishing an outdated file must not add again
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
        Optional<ServiceConfig> existing = current.service(service.name());
        if (existing.isPresent() && existing.get().slots() != service.slots()) {
            problems.add(
                    ClusterConfigParser.SERVICE + " " + service.name(),
                    "slots",
                    "cannot change from " + existing.get().slots() + " to " + service.slots()
                            + ", since keys would hash to other slots and could have two owners",
                    "keep " + existing.get().slots() + " or publish a new service under another name");
        }
    }
}
