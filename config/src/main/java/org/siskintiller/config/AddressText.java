package org.siskintiller.config;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.siskintiller.core.model.Address;

/** Parses an IP address and port. Host names are rejected, since no process resolves names. */
final class AddressText {
    /** Replaces an address that cannot be parsed, so that the remaining problems can be collected. */
    static final Address PLACEHOLDER = new Address("0.0.0.0", 0);

    private static final int MAX_PORT = 65535;
    private static final Pattern IPV4 = Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}):(\\d{1,5})");
    private static final Pattern IPV6 = Pattern.compile("(\\[[0-9a-fA-F:.]*:[0-9a-fA-F:.]*\\]):(\\d{1,5})");

    private AddressText() {}

    static Optional<Address> parse(String text) {
        Matcher v4 = IPV4.matcher(text);
        if (v4.matches()) {
            return octetsInRange(v4.group(1)) ? address(v4) : Optional.empty();
        }
        Matcher v6 = IPV6.matcher(text);
        return v6.matches() ? address(v6) : Optional.empty();
    }

    private static Optional<Address> address(Matcher matcher) {
        int port = Integer.parseInt(matcher.group(2));
        return port > MAX_PORT ? Optional.empty() : Optional.of(new Address(matcher.group(1), port));
    }

    private static boolean octetsInRange(String host) {
        for (String octet : host.split("\\.")) {
            if (Integer.parseInt(octet) > 255) {
                return false;
            }
        }
        return true;
    }
}
