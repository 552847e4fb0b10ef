package org.siskintiller.router.control;

import java.io.ByteArrayOutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Difference between two contents, as a list of parts that are copied from the first one or inserted.
 *
 * <p>Load pattern: a configuration of 250 KB is changed in one route every second. Each companion needs the change, and a
 * companion that passes it on to 22 others has a link of 10 Mbit/s.
 */
final class ContentDelta {
    /** Shorter common parts are inserted: the position and the length of a copy take up to 8 bytes. */
    private static final int BLOCK_BYTES = 32;
    /** Multiplier of the rolling hash. */
    private static final int HASH_FACTOR = 0x01000193;

    private static final int COPY = 1;
    private static final int INSERT = 2;

    private ContentDelta() {}

    /** Returns the difference that turns the base into the target. */
    static byte[] encode(byte[] base, byte[] target) {
        Map<Integer, Integer> blocks = blocks(base);
        ByteArrayOutputStream delta = new ByteArrayOutputStream();
        int leavingFactor = power(HASH_FACTOR, BLOCK_BYTES - 1);
        int insertFrom = 0;
        int at = 0;
        int hash = hash(target, 0);
        while (at + BLOCK_BYTES <= target.length) {
            Integer block = blocks.get(hash);
            if (block != null && equalBlocks(base, block, target, at)) {
                int before = commonBefore(base, block, target, at, insertFrom);
                int length = before + commonLength(base, block, target, at);
                insert(delta, target, insertFrom, at - before);
                copy(delta, block - before, length);
                at += length - before;
                insertFrom = at;
                hash = hash(target, at);
                continue;
            }
            if (at + BLOCK_BYTES < target.length) {
                hash = (hash - target[at] * leavingFactor) * HASH_FACTOR + target[at + BLOCK_BYTES];
            }
            at++;
        }
        insert(delta, target, insertFrom, target.length);
        return delta.toByteArray();
    }

    /** Returns the target, or nothing if the difference does not fit the base or is malformed. */
    static Optional<byte[]> apply(byte[] base, byte[] delta, int maxBytes) {
        ByteArrayOutputStream target = new ByteArrayOutputStream();
        ByteBuffer parts = ByteBuffer.wrap(delta);
        try {
            while (parts.hasRemaining()) {
                int kind = parts.get();
                int from = kind == COPY ? readNumber(parts) : 0;
                int length = readNumber(parts);
                byte[] source = kind == COPY ? base : delta;
                int sourceFrom = kind == COPY ? from : parts.position();
                boolean isValid = (kind == COPY || kind == INSERT)
                        && length >= 0
                        && sourceFrom >= 0
                        && length <= source.length - sourceFrom
                        && length <= maxBytes - target.size();
                if (!isValid) {
                    return Optional.empty();
                }
                target.write(source, sourceFrom, length);
                if (kind == INSERT) {
                    parts.position(parts.position() + length);
                }
            }
        } catch (BufferUnderflowException e) {
            return Optional.empty();
        }
        return Optional.of(target.toByteArray());
    }

    private static Map<Integer, Integer> blocks(byte[] base) {
        Map<Integer, Integer> blocks = new HashMap<>(2 * base.length / BLOCK_BYTES);
        for (int at = 0; at + BLOCK_BYTES <= base.length; at += BLOCK_BYTES) {
            blocks.putIfAbsent(hash(base, at), at);
        }
        return blocks;
    }

    private static int hash(byte[] content, int from) {
        int hash = 0;
        int end = Math.min(content.length, from + BLOCK_BYTES);
        for (int i = from; i < end; i++) {
            hash = hash * HASH_FACTOR + content[i];
        }
        return hash;
    }

    private static int power(int factor, int exponent) {
        int power = 1;
        for (int i = 0; i < exponent; i++) {
            power *= factor;
        }
        return power;
    }

    private static boolean equalBlocks(byte[] base, int block, byte[] target, int at) {
        return Arrays.equals(base, block, block + BLOCK_BYTES, target, at, at + BLOCK_BYTES);
    }

    private static int commonLength(byte[] base, int block, byte[] target, int at) {
        int mismatch = Arrays.mismatch(base, block, base.length, target, at, target.length);
        return mismatch < 0 ? base.length - block : mismatch;
    }

    /** Number of equal bytes before the block, as far back as nothing has been written yet. */
    private static int commonBefore(byte[] base, int block, byte[] target, int at, int insertFrom) {
        int length = 0;
        while (length < block && at - length > insertFrom && base[block - length - 1] == target[at - length - 1]) {
            length++;
        }
        return length;
    }

    private static void copy(ByteArrayOutputStream delta, int from, int length) {
        delta.write(COPY);
        writeNumber(delta, from);
        writeNumber(delta, length);
    }

    private static void insert(ByteArrayOutputStream delta, byte[] target, int from, int to) {
        if (from == to) {
            return;
        }
        delta.write(INSERT);
        writeNumber(delta, to - from);
        delta.write(target, from, to - from);
    }

    /** Writes seven bits in each byte, the lowest ones first. */
    private static void writeNumber(ByteArrayOutputStream delta, int number) {
        int rest = number;
        while (rest >= 0x80) {
            delta.write(rest & 0x7F | 0x80);
            rest >>>= 7;
        }
        delta.write(rest);
    }

    private static int readNumber(ByteBuffer parts) {
        int number = 0;
        for (int shift = 0; shift < Integer.SIZE; shift += 7) {
            byte part = parts.get();
            number |= (part & 0x7F) << shift;
            if (part >= 0) {
                return number;
            }
        }
        return -1;
    }
}
