package org.siskintiller.config;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;

import org.siskintiller.core.model.Address;

/**
 * Process settings of a companion.
 *
 * @param instance name of the machine
 * @param failureDomain name of the failure domain that the machine is in
 * @param http where callers, operators and the backend server reach the companion
 * @param peer where other companions reach it, by TCP and UDP on the same port
 * @param log address of the log service
 * @param translations addresses to use in place of announced ones, sorted by announced address
 */
public record CompanionSettings(
        String instance,
        String failureDomain,
        Address http,
        Address peer,
        Address log,
        Limits limits,
        List<Translation> translations) {

    private static final Comparator<Translation> BY_ANNOUNCED =
            Comparator.comparing((Translation t) -> t.from().toString()).thenComparing(t -> t.to().toString());

    public CompanionSettings {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(http, "http");
        Objects.requireNonNull(peer, "peer");
        Objects.requireNonNull(log, "log");
        Objects.requireNonNull(limits, "limits");
        translations = translations.stream().sorted(BY_ANNOUNCED).toList();
    }

    /** Returns the address to connect to in place of an announced one. */
    public Address translate(Address announced) {
        for (Translation translation : translations) {
            if (translation.from().equals(announced)) {
                return translation.to();
            }
        }
        return announced;
    }

    /** Address that replaces an announced address of a companion. */
    public record Translation(Address from, Address to) {
        public Translation {
            Objects.requireNonNull(from, "from");
            Objects.requireNonNull(to, "to");
        }
    }

    /**
     * Bounds of what callers may take up.
     *
     * @param maxCallers concurrent requests of callers
     * @param stopTimeoutMs longest time of a planned stop before the process exits all the same
     */
    public record Limits(
            int maxHeaderBytes, long maxBodyBytes, long requestTimeoutMs, int maxCallers, long stopTimeoutMs) {
        public static final Limits DEFAULT = new Limits(16_384, 1L << 30, 30_000, 1_024, 30_000);

        public Limits {
            if (maxHeaderBytes < 1 || maxBodyBytes < 0 || requestTimeoutMs < 1 || maxCallers < 1 || stopTimeoutMs < 1) {
                throw new IllegalArgumentException("limits must be positive");
            }
        }
    }
}
