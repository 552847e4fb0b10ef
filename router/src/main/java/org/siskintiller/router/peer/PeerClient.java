package org.siskintiller.router.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import org.siskintiller.core.balance.BackendLoad;
import org.siskintiller.core.gate.Suspicion;
import org.siskintiller.core.lease.HolderReport;
import org.siskintiller.core.model.Address;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.router.Sockets;
import org.siskintiller.router.request.Destination;
import org.siskintiller.router.request.ForwardedRequest;
import org.siskintiller.router.request.Refusal;
import org.siskintiller.router.request.RefusalReason;
import org.siskintiller.router.request.ResponseListener;
import org.siskintiller.router.request.SendFailure;
import org.siskintiller.router.request.SentRequest;
import org.siskintiller.router.store.StoredRecord;
import org.siskintiller.wire.companion.CompanionProto;
import org.siskintiller.wire.companion.CompanionProto.Frame;

/**
 * Connection to another companion, made again whenever it is lost. A connection on which nothing arrives is closed,
 * since links may fall silent without a reset.
 */
public final class PeerClient implements Destination {
    private static final int CONNECT_TIMEOUT_MS = 700;
    private static final long FIRST_RECONNECT_MS = 100;
    private static final long LONGEST_RECONNECT_MS = 800;
    /** A companion that was silent for longer is asked for its status with the next request. */
    private static final long ASK_AFTER_NS = 600_000_000L;
    /** A companion that does not answer for this long gets no new requests. */
    private static final long UNRESPONSIVE_NS = 900_000_000L;
    /** A connection on which it does not answer for this long is closed. */
    private static final long UNANSWERED_NS = 1_400_000_000L;

    private final String self;
    private final String instance;
    private final EventLoop loop;
    private final FleetIntervals intervals;
    private final PeerEvents events;
    private final Map<Integer, Stream> streams = new HashMap<>();
    private Address address;
    private Channel channel;
    private boolean connected;
    private PeerStatus status;
    private BackendLoad load = BackendLoad.UNKNOWN;
    private int sentSinceReport;
    private long heardNs;
    /** Time at which the companion was asked for its status, 0 while no answer is awaited. */
    private long askedNs;

    private long reconnectMs = FIRST_RECONNECT_MS;
    private int lastStream;
    private boolean closed;

    public PeerClient(
            String self,
            String instance,
            Address address,
            EventLoop loop,
            FleetIntervals intervals,
            PeerEvents events) {
        this.self = self;
        this.instance = instance;
        this.address = address;
        this.loop = loop;
        this.intervals = intervals;
        this.events = events;
    }

    public String instance() {
        return instance;
    }

    public boolean connected() {
        return connected;
    }

    public Optional<PeerStatus> status() {
        return Optional.ofNullable(status);
    }

    /** Whether the companion is connected and has told its status lately. */
    public boolean responsive(long nowNs) {
        boolean answers = askedNs == 0 || nowNs - askedNs < UNRESPONSIVE_NS;
        return status != null && answers && nowNs - heardNs < intervals.unresponsiveAfterNs();
    }

    public BackendLoad load() {
        return load;
    }

    public int sentSinceReport() {
        return sentSinceReport;
    }

    public void countSentRequest() {
        sentSinceReport++;
    }

    public void connect() {
        if (closed) {
            return;
        }
        ChannelFuture future =
                Sockets.connect(loop, address, CONNECT_TIMEOUT_MS, new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel newChannel) {
                        PeerPipeline.add(newChannel.pipeline(), new Reader());
                    }
                });
        channel = future.channel();
        future.addListener(done -> {
            if (!done.isSuccess()) {
                reconnectLater();
            }
        });
    }

    /** Follows a companion that restarted at another address. */
    public void moveTo(Address newAddress) {
        if (!address.equals(newAddress)) {
            address = newAddress;
            closeChannel();
        }
    }

    public void close() {
        closed = true;
        closeChannel();
    }

    /** Closes a connection on which nothing has arrived for too long. */
    public void closeIfSilent(long nowNs) {
        boolean unanswered = askedNs != 0 && nowNs - askedNs > UNANSWERED_NS;
        if (connected && (unanswered || nowNs - heardNs > intervals.silentAfterNs())) {
            EventLog.log(LogEvent.PEER_CONNECT_FAILED, "peer", instance, "cause", "silent connection");
            closeChannel();
        }
    }

    public void sendRenewal(HolderReport report, long term, int sequence) {
        write(Frames.renewal(report, term, sequence));
    }

    public void shareConfig(byte[] content) {
        write(Frame.newBuilder()
                .setSharedConfig(CompanionProto.SharedConfig.newBuilder().setContent(ByteString.copyFrom(content)))
                .build());
    }

    public void shareRecords(List<StoredRecord> records) {
        write(Frames.sharedRecords(records));
    }

    public void shareSuspicion(Suspicion suspicion) {
        write(Frames.suspicions(suspicion));
    }

    public void requestResignation(long term) {
        write(Frame.newBuilder()
                .setResignation(CompanionProto.Resignation.newBuilder().setTerm(term))
                .build());
    }

    @Override
    public SentRequest send(ForwardedRequest request, ResponseListener listener) {
        if (!connected) {
            listener.refused(new Refusal(RefusalReason.UNREACHABLE, 0, false));
            return new Stream(0, listener);
        }
        long nowNs = System.nanoTime();
        if (askedNs == 0 && nowNs - heardNs > ASK_AFTER_NS) {
            askedNs = nowNs;
            write(hello());
        }
        Stream stream = new Stream(++lastStream, listener);
        streams.put(stream.id, stream);
        write(Frames.request(stream.id, request, nowNs));
        return stream;
    }

    private Frame hello() {
        return Frame.newBuilder()
                .setHello(CompanionProto.Hello.newBuilder().setInstance(self))
                .build();
    }

    private void write(Frame frame) {
        if (connected) {
            channel.writeAndFlush(frame);
        }
    }

    private void closeChannel() {
        if (channel != null) {
            channel.close();
        }
    }

    private void reconnectLater() {
        loop.schedule(this::connect, reconnectMs, TimeUnit.MILLISECONDS);
        reconnectMs = Math.min(LONGEST_RECONNECT_MS, reconnectMs * 2);
    }

    private void received(Frame frame) {
        heardNs = System.nanoTime();
        askedNs = 0;
        switch (frame.getKindCase()) {
            case STATUS -> status(frame.getStatus());
            case RESPONSE_START -> {
                report(frame.getResponseStart().getLoad());
                Stream stream = streams.get(frame.getResponseStart().getStream());
                if (stream != null) {
                    stream.listener.started(Frames.started(frame.getResponseStart()));
                }
            }
            case RESPONSE_DATA -> data(frame.getResponseData());
            case REFUSAL -> {
                report(frame.getRefusal().getLoad());
                Stream stream = streams.remove(frame.getRefusal().getStream());
                if (stream != null) {
                    stream.listener.refused(Frames.refused(frame.getRefusal()));
                }
            }
            case FAILURE -> {
                report(frame.getFailure().getLoad());
                Stream stream = streams.remove(frame.getFailure().getStream());
                if (stream != null) {
                    stream.listener.failed(new SendFailure(
                            "the backend server beside " + instance + " gave no response",
                            frame.getFailure().getTimedOut()));
                }
            }
            case LEASE_REPLY -> events.leaseReplyReceived(instance, Frames.leaseReply(frame.getLeaseReply()));
            case RESIGNATION -> {
                if (frame.getResignation().getAcknowledged()) {
                    events.resignationAcknowledged(
                            instance, frame.getResignation().getTerm());
                }
            }
            default ->
                EventLog.log(LogEvent.PEER_MALFORMED, "peer", instance, "frame", String.valueOf(frame.getKindCase()));
        }
    }

    private void status(CompanionProto.Status frame) {
        report(frame.getLoad());
        boolean first = status == null;
        status = new PeerStatus(
                frame.getService(),
                frame.getServing(),
                load,
                frame.getConfigVersion(),
                frame.getRecordsEnd(),
                frame.getHearsAuthority(),
                frame.getStoreAgeMs());
        if (first) {
            reconnectMs = FIRST_RECONNECT_MS;
            EventLog.log(LogEvent.PEER_CONNECTED, "peer", instance, "address", address);
            events.connectionChanged(instance, true);
        }
        events.statusReceived(this, status);
    }

    private void report(CompanionProto.Load reported) {
        load = Frames.load(reported);
        sentSinceReport = 0;
    }

    private void data(CompanionProto.ResponseData frame) {
        Stream stream = streams.get(frame.getStream());
        if (stream == null) {
            return;
        }
        if (frame.getLast()) {
            streams.remove(frame.getStream());
        }
        stream.listener.data(frame.getData().toByteArray(), frame.getLast());
    }

    private void lost() {
        boolean wasKnown = status != null;
        connected = false;
        status = null;
        sentSinceReport = 0;
        List<Stream> open = List.copyOf(streams.values());
        streams.clear();
        if (wasKnown) {
            EventLog.log(LogEvent.PEER_CONNECT_FAILED, "peer", instance, "cause", "lost", "streams", open.size());
            events.connectionChanged(instance, false);
        }
        for (Stream stream : open) {
            stream.listener.failed(new SendFailure("the connection to " + instance + " was lost", false));
        }
        reconnectLater();
    }

    private final class Reader extends SimpleChannelInboundHandler<Frame> {
        @Override
        public void channelActive(ChannelHandlerContext context) {
            heardNs = System.nanoTime();
            askedNs = 0;
            connected = true;
            context.writeAndFlush(hello());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            received(frame);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            lost();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            EventLog.log(LogEvent.PEER_CONNECT_FAILED, "peer", instance, "cause", String.valueOf(cause.getMessage()));
            context.close();
        }
    }

    private final class Stream implements SentRequest {
        private final int id;
        private final ResponseListener listener;

        private Stream(int id, ResponseListener listener) {
            this.id = id;
            this.listener = listener;
        }

        @Override
        public void cancel() {
            if (streams.remove(id) != null) {
                write(Frames.cancel(id));
            }
        }

        @Override
        public void credit(int bytes) {
            if (streams.containsKey(id) && bytes > 0) {
                write(Frames.credit(id, bytes));
            }
        }
    }
}
