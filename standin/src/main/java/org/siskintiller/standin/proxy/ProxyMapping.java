package org.siskintiller.standin.proxy;

import java.net.InetSocketAddress;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import org.siskintiller.core.model.Address;
import org.siskintiller.standin.http.HttpBodies;

/** Target, faults and counters of one listening address. */
final class ProxyMapping {
    private static final int MAX_CORRUPTED_BYTES = 4;
    private static final int BYTE_VALUES = 256;

    private final Address target;
    private final Random random;
    private final AtomicLong tcpBytes = new AtomicLong();
    private final AtomicLong datagrams = new AtomicLong();
    private final AtomicLong lostDatagrams = new AtomicLong();
    private volatile ProxyFaults faults = ProxyFaults.NONE;

    ProxyMapping(Address target, long seed) {
        this.target = target;
        this.random = new Random(seed);
    }

    InetSocketAddress target() {
        return new InetSocketAddress(target.host(), target.port());
    }

    ProxyFaults faults() {
        return faults;
    }

    void setFaults(ProxyFaults newFaults) {
        faults = newFaults;
    }

    boolean drawFault(double share) {
        return share > 0 && random.nextDouble() < share;
    }

    /** Changes some bytes with the probability that the faults set. */
    void corrupt(ByteBuf content) {
        if (!content.isReadable() || !drawFault(faults.garbage())) {
            return;
        }
        int changes = 1 + random.nextInt(MAX_CORRUPTED_BYTES);
        for (int i = 0; i < changes; i++) {
            int index = content.readerIndex() + random.nextInt(content.readableBytes());
            content.setByte(index, random.nextInt(BYTE_VALUES));
        }
    }

    /** Counts a datagram; returns whether it is forwarded. */
    boolean forwardsDatagram(boolean forward) {
        ProxyFaults current = faults;
        datagrams.incrementAndGet();
        if (current.cut() || current.halfOpen() || drawFault(current.loss(forward))) {
            lostDatagrams.incrementAndGet();
            return false;
        }
        return true;
    }

    void countTcpBytes(int bytes) {
        tcpBytes.addAndGet(bytes);
    }

    ObjectNode toJson() {
        ObjectNode json = HttpBodies.object().put("to", target.toString());
        json.set("faults", faults.toJson());
        return json.put("tcpBytes", tcpBytes.get())
                .put("datagrams", datagrams.get())
                .put("lostDatagrams", lostDatagrams.get());
    }
}
