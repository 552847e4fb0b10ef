package org.siskintiller.router.control;

import java.io.ByteArrayOutputStream;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

import org.siskintiller.router.peer.ConfigUpdate;

/** Newest configurations as the operator wrote them, and the updates by which other companions get the newest one. */
final class ConfigArchive {
    /** Versions that are kept as the base of a difference. A companion that is further behind gets a whole one. */
    private static final int KEPT_VERSIONS = 4;
    /** Limit of a configuration from another companion: 16 times what the store accepts. */
    private static final int MAX_CONFIG_BYTES = 4 * 1024 * 1024;

    private static final int BUFFER_BYTES = 8 * 1024;

    private final TreeMap<Long, byte[]> contents = new TreeMap<>();
    /** Updates to the newest version by their base version. */
    private final Map<Long, ConfigUpdate> updates = new HashMap<>();

    /** Adds a version that is above all others. */
    void add(long version, byte[] content) {
        contents.put(version, content.clone());
        if (contents.size() > KEPT_VERSIONS) {
            contents.pollFirstEntry();
        }
        updates.clear();
    }

    /** Returns an update to the newest version that a companion with the given version can apply. */
    ConfigUpdate updateFrom(long version) {
        boolean isKept = contents.containsKey(version) && version < contents.lastKey();
        return updates.computeIfAbsent(isKept ? version : ConfigUpdate.WHOLE, this::createUpdate);
    }

    /** Returns the content of an update, or nothing if its base is not kept or its data is malformed. */
    Optional<byte[]> contentOf(ConfigUpdate update) {
        Optional<byte[]> data = inflate(update.data());
        if (update.baseVersion() == ConfigUpdate.WHOLE) {
            return data;
        }
        byte[] base = contents.get(update.baseVersion());
        return base == null
                ? Optional.empty()
                : data.flatMap(delta -> ContentDelta.apply(base, delta, MAX_CONFIG_BYTES));
    }

    private ConfigUpdate createUpdate(long baseVersion) {
        long version = contents.lastKey();
        byte[] content = contents.get(version);
        byte[] data =
                baseVersion == ConfigUpdate.WHOLE ? content : ContentDelta.encode(contents.get(baseVersion), content);
        return new ConfigUpdate(version, baseVersion, deflate(data));
    }

    private static byte[] deflate(byte[] data) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(data);
            deflater.finish();
            ByteArrayOutputStream deflated = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                deflated.write(buffer, 0, deflater.deflate(buffer));
            }
            return deflated.toByteArray();
        } finally {
            deflater.end();
        }
    }

    private static Optional<byte[]> inflate(byte[] data) {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(data);
            ByteArrayOutputStream inflated = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int length = inflater.inflate(buffer);
                if (length == 0 || inflated.size() + length > MAX_CONFIG_BYTES) {
                    return Optional.empty();
                }
                inflated.write(buffer, 0, length);
            }
            return Optional.of(inflated.toByteArray());
        } catch (DataFormatException e) {
            return Optional.empty();
        } finally {
            inflater.end();
        }
    }
}
