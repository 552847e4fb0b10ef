package org.siskintiller.standin.caller;

import java.io.IOException;
import java.io.Reader;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.ini4j.Ini;
import org.ini4j.Profile.Section;
import org.siskintiller.core.model.Address;
import org.siskintiller.standin.Addresses;

/** Reads a mix from INI: one [caller] section and one [stream NAME] section per stream of requests. */
final class MixReader {
    private static final String CALLER = "caller";
    private static final String STREAM_PREFIX = "stream ";
    private static final Set<String> CALLER_KEYS =
            Set.of("targets", "duration_ms", "seed", "max_in_flight", "margin_ms");
    private static final Set<String> STREAM_KEYS = Set.of(
            "service",
            "method",
            "path",
            "rate",
            "start_ms",
            "stop_ms",
            "keys",
            "key_prefix",
            "hot_shift_ms",
            "rank",
            "customer",
            "deadline_ms",
            "idempotency_keys",
            "resends",
            "resend_delay_ms",
            "repeats",
            "body_bytes");

    private MixReader() {}

    /** Reads a mix. Targets, duration and seed of the command line override those of the file unless they are null. */
    static CallerMix read(Reader reader, List<Address> targets, Long durationMs, Long seed) throws IOException {
        Ini ini = new Ini();
        ini.getConfig().setEscape(false);
        ini.load(reader);
        Section caller = ini.get(CALLER);
        if (caller == null) {
            throw new IllegalArgumentException("the mix has no [caller] section");
        }
        checkKeys(caller, CALLER_KEYS);
        long duration = durationMs == null ? number(caller, "duration_ms", 10_000) : durationMs;
        List<StreamSpec> streams = new ArrayList<>();
        for (Section section : ini.values()) {
            if (section.getName().startsWith(STREAM_PREFIX)) {
                streams.add(stream(section, duration));
            } else if (!section.getName().equals(CALLER)) {
                throw new IllegalArgumentException(
                        "section [" + section.getName() + "] is neither [caller] nor [stream NAME]");
            }
        }
        return new CallerMix(
                targets == null ? addresses(text(caller, "targets", "")) : targets,
                duration,
                seed == null ? number(caller, "seed", 1) : seed,
                (int) number(caller, "max_in_flight", 2_000),
                number(caller, "margin_ms", 500),
                streams);
    }

    private static StreamSpec stream(Section section, long durationMs) {
        checkKeys(section, STREAM_KEYS);
        String service = section.get("service");
        if (service == null) {
            throw new IllegalArgumentException("section [" + section.getName() + "] needs a service");
        }
        return new StreamSpec(
                section.getName().substring(STREAM_PREFIX.length()),
                service,
                text(section, "method", "GET"),
                text(section, "path", "/item"),
                decimal(section, "rate", 1),
                number(section, "start_ms", 0),
                number(section, "stop_ms", durationMs),
                KeyChooser.parse(
                        text(section, "keys", "none"),
                        text(section, "key_prefix", "k-"),
                        number(section, "hot_shift_ms", 0)),
                text(section, "rank", ""),
                text(section, "customer", ""),
                number(section, "deadline_ms", 1_000),
                Boolean.parseBoolean(text(section, "idempotency_keys", "false")),
                (int) number(section, "resends", 0),
                number(section, "resend_delay_ms", 50),
                decimal(section, "repeats", 0),
                (int) number(section, "body_bytes", 0));
    }

    private static void checkKeys(Section section, Set<String> known) {
        for (String key : section.keySet()) {
            if (!known.contains(key)) {
                throw new IllegalArgumentException(
                        "section [" + section.getName() + "] has the unknown key " + key + "; known are " + known);
            }
        }
    }

    private static List<Address> addresses(String text) {
        List<Address> result = new ArrayList<>();
        for (String part : text.split(",")) {
            if (!part.isBlank()) {
                result.add(Addresses.parse(part.trim()));
            }
        }
        return result;
    }

    private static String text(Section section, String key, String fallback) {
        String value = section.get(key);
        return value == null ? fallback : value;
    }

    private static long number(Section section, String key, long fallback) {
        return (long) decimal(section, key, fallback);
    }

    private static double decimal(Section section, String key, double fallback) {
        String value = section.get(key);
        try {
            return value == null ? fallback : Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(
                    "section [" + section.getName() + "]: " + key + " = " + value + " is no number", e);
        }
    }
}
