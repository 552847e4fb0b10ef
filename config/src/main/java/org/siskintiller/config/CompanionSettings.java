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
 * @param http address for callers, operators and the backend server
 * @param peer address for other companions, used for both TCP and UDP
 * @param log address of the log service
 * @param translations addresses that replace announced ones, sorted by announced address
 */
public record CompanionSettings(
        String instance,
        String failureDomain,
        Address http,
        Address peer,
        Address log,
        Limits limits,
        List<Translation> translations) {

    private static final Comparator<Translation> BY_ANNOUNCED_ADDRESS =
            Comparator.comparing((Translation t) -> t.from().toString()).thenComparing(t -> t.to().toString());

    public CompanionSettings {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(http, "http");
        Objects.requireNonNull(peer, "peer");
        Objects.requireNonNull(log, "log");
        Objects.requireNonNull(limits, "limits");
        translations = translations.stream().sorted(BY_ANNOUNCED_ADDRESS).toList();
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
     * Limits on the resources that callers may use.
     *
     * @param maxCallers maximum number of concurrent caller requests
     * @param stopTimeoutMs maximum duration of a planned stop, after which the process exits in any case
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
