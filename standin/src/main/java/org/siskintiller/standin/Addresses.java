package org.siskintiller.standin;

import org.siskintiller.core.model.Address;

/** Parses addresses of the command line and of settings files. */
public final class Addresses {

    private Addresses() {}

    /** Parses HOST:PORT, where HOST is an IP address. */
    public static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            return new Address(text.substring(0, Math.max(0, colon)), Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("address " + text + " is no HOST:PORT", e);
        }
    }
}
