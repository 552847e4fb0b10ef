package org.siskintiller.router.control;

import java.util.Objects;

import org.siskintiller.core.model.Address;

/**
 * Instance with a companion. A restart at the same address needs no new record.
 *
 * @param address address at which it accepts other companions
 */
public record Member(String instance, Address address, String failureDomain, String service) {

    public Member {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(service, "service");
    }
}
