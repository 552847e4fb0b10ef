package org.siskintiller.router.control;

import java.util.Optional;

import org.siskintiller.core.path.RouteTable;

/** Decodes the operator's configuration. */
public interface ConfigDecoder {
    /** Key of the configuration in the operator's topic. */
    String key();

    /** Returns the failure domain that a record with this key in the operator's topic evacuates. */
    Optional<String> evacuatedDomain(String key);

    /** Decodes a configuration. The exception states why a configuration cannot be used. */
    RouteTable decode(byte[] content) throws InvalidConfigException;

    /** A configuration that cannot be used. */
    final class InvalidConfigException extends Exception {
        private static final long serialVersionUID = 1L;

        public InvalidConfigException(String message, Throwable cause) {
            super(message, cause);
        }
    }
}
