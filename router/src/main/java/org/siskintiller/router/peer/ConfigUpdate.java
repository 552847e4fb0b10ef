package org.siskintiller.router.peer;

import java.util.Objects;

/**
 * Configuration on the way between companions.
 *
 * @param version version of the configuration
 * @param baseVersion version to which the data is a difference, or {@link #WHOLE}
 * @param data compressed configuration or difference; not modified
 */
public record ConfigUpdate(long version, long baseVersion, byte[] data) {
    /** Base version of an update that contains the whole configuration. */
    public static final long WHOLE = 0;

    public ConfigUpdate {
        Objects.requireNonNull(data, "data");
        if (version <= baseVersion) {
            throw new IllegalArgumentException("version " + version + " is not above its base " + baseVersion);
        }
    }

    public int bytes() {
        return data.length;
    }
}
