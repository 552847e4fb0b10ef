package org.siskintiller.router.peer;

import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import org.siskintiller.core.balance.ServerView;
import org.siskintiller.core.evacuation.Evacuation;
import org.siskintiller.core.gate.Suspicion;
import org.siskintiller.core.lease.HolderReport;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.path.BackendLeaves;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.router.Sockets;
import org.siskintiller.router.request.Destination;
import org.siskintiller.router.request.ForwardedRequest;
import org.siskintiller.router.request.ResponseListener;
import org.siskintiller.router.request.SendFailure;
import org.siskintiller.router.request.SentRequest;
import org.siskintiller.wire.companion.CompanionProto;
import org.siskintiller.wire.companion.CompanionProto.Frame;

/**
 * Connection to another companion, established again whenever it is lost. It is used only when the other side has introduced
 * itself as that companion, since its address may belong to another one by now. A connection on which nothing arrives is
 * closed, because a link can fail without a reset.
 */
public final class PeerClient implements Destination {
    /** Frames that belong to a request. Others count only on the current connection. */
    private static final Set<Frame.KindCase> RESPONSE_KINDS = EnumSet.of(
            Frame.KindCase.RESPONSE_START,
            Frame.KindCase.RESPONSE_DATA,
            Frame.KindCase.REFUSAL,
            Frame.KindCase.FAILURE,
            Frame.KindCase.CREDIT);

    /** A sender notices a full window after it has read a part of the response beyond it. */
    private static final int MAX_UNTAKEN_BYTES = 2 * Destination.WINDOW_BYTES;

    /** If nothing was received for longer, the next request is preceded by a request for the status. */
    private static final long REQUEST_STATUS_AFTER_NS = 600_000_000L;
    /** A companion that does not respond to a request for its status within this time receives no new requests. */
    private static final long STATUS_RESPONSE_TIMEOUT_NS = 900_000_000L;
    /** The connection is closed if the companion does not respond to a request for its status within this time. */
    private static final long CLOSE_AFTER_NS = 1_400_000_000L;

    private static final String LOST = "lost its connection";
    private static final Frame STATUS_REQUEST = Frame.newBuilder()
            .setHello(CompanionProto.Hello.getDefaultInstance())
            .build();

    private final PeerIdentity self;
    private final String instance;
    private final EventLoop loop;
    private final FleetIntervals intervals;
    private final PeerEvents events;
    private final PeerStreams streams;
    private final PeerTraffic traffic;
    private Address address;
    private Channel channel;
    /** Whether the companion has introduced itself on the channel. */
    private boolean connected;
    /** Number of the connections that the companion has introduced itself on. */
    private long connectionNumber;

    private PeerStatus status;
    private final ServerView view = new ServerView();
    private long knownPosition;
    private int sentSinceReport;
    private long lastReceivedNs;
    /** Time at which the status of the companion was requested; 0 while no response is pending. */
    private long statusRequestedNs;

    private final PeerConnector connector;
    private boolean closed;

    public PeerClient(
            PeerIdentity self,
            String instance,
            Address address,
            FleetIntervals intervals,
            LinkPacer pacer,
            PeerTraffic traffic,
            PeerEvents events) {
        this.self = self;
        this.instance = instance;
        this.address = address;
        this.loop = pacer.loop();
        this.intervals = intervals;
        this.streams = new PeerStreams(pacer);
        this.traffic = traffic;
        this.events = events;
        this.connector = new PeerConnector(
                loop, intervals, (to, timeoutMs) -> Sockets.connect(loop, to, timeoutMs, new Initializer()));
    }

    public String instance() {
        return instance;
    }

    public boolean connected() {
        return connected;
    }

    /** Number of the present connection, which tells it from earlier ones. */
    public long connectionNumber() {
        return connectionNumber;
    }

    public Optional<PeerStatus> status() {
        return Optional.ofNullable(status);
    }

    /** Whether the companion is connected and has sent frames recently. */
    public boolean responsive(long nowNs) {
        boolean respondsInTime = statusRequestedNs == 0 || nowNs - statusRequestedNs < STATUS_RESPONSE_TIMEOUT_NS;
        return status != null && respondsInTime && nowNs - lastReceivedNs < intervals.unresponsiveAfterNs();
    }

    /** Records what this companion knew when the last status arrived. */
    public void recordKnown(long recordsPosition) {
        knownPosition = recordsPosition;
    }

    /** Position, by era and end, of the records that this companion knew when the last status but one arrived. */
    public long knownPosition() {
        return knownPosition;
    }

    /** Load of the backend server by its reports. */
    public ServerView view() {
        return view;
    }

    /** Requests that were sent to the companion and have not ended. */
    public int inFlight() {
        return streams.size();
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
        connector.start(address);
    }

    /** Reconnects if the companion restarted at another address. */
    public void moveTo(Address newAddress) {
        if (!address.equals(newAddress)) {
            address = newAddress;
            if (channel == null) {
                connect();
            } else {
                closeChannel();
            }
        }
    }

    public void close() {
        closed = true;
        connector.stop();
        closeChannel();
    }

    /** Closes a connection on which nothing has been received for too long. */
    public void closeIfSilent(long nowNs) {
        boolean hasTimedOut = statusRequestedNs != 0 && nowNs - statusRequestedNs > CLOSE_AFTER_NS;
        if (channel != null && (hasTimedOut || nowNs - lastReceivedNs > intervals.silentAfterNs())) {
            EventLog.log(LogEvent.PEER_CONNECT_FAILED, "peer", instance, "cause", "no frame received in time");
            detachOrClose(nowNs);
        }
    }

    /**
     * Replaces a silent connection. The companion may only have paused: requests that must not run twice keep the old
     * connection until their deadline, so that their responses still arrive. Without its whole body a request does not run.
     */
    private void detachOrClose(long nowNs) {
        long lastDeadlineNs = nowNs;
        for (PeerStreams.Stream stream : streams.all()) {
            if (!stream.mayMove()) {
                lastDeadlineNs = Math.max(lastDeadlineNs, stream.deadlineNs());
            }
        }
        if (lastDeadlineNs == nowNs) {
            closeChannel();
            return;
        }
        Channel silent = channel;
        channel = null;
        // The companion may go on with what it has not started yet, so it is told what is sent elsewhere.
        streams.all().stream()
                .filter(stream -> stream.mayMove() && stream.via() == silent)
                .forEach(stream -> silent.write(Frames.cancel(stream.id())));
        silent.flush();
        loop.schedule(() -> silent.close(), lastDeadlineNs - nowNs, TimeUnit.NANOSECONDS);
        connectionLost(PeerStreams.Stream::mayMove);
    }

    public void sendRenewal(HolderReport report, long term, int sequence) {
        write(Frames.renewal(report, term, sequence));
    }

    /**
     * Sends a configuration.
     *
     * @param relayTo companions to which the receiver passes it on
     * @param written runs when the socket has accepted the configuration or the connection is lost
     */
    public void shareConfig(ConfigUpdate update, List<String> relayTo, Runnable written) {
        if (!connected) {
            written.run();
            return;
        }
        channel.writeAndFlush(Frames.sharedConfig(update, relayTo)).addListener(done -> written.run());
    }

    /** Asks the companion for a newer configuration than the given version. */
    public void requestConfig(long version) {
        write(Frame.newBuilder()
                .setConfigRequest(CompanionProto.ConfigRequest.newBuilder().setVersion(version))
                .build());
    }

    /**
     * Sends records of the control topic.
     *
     * @param complete whether they are the newest of all keys
     */
    public void shareRecords(List<SharedRecord> records, boolean complete) {
        write(Frames.sharedRecords(records, complete));
    }

    /** Sends the leaves of the backend servers beside an instance. The companion confirms them. */
    public void shareLeaves(String ofInstance, BackendLeaves leaves) {
        write(Frames.leaves(ofInstance, leaves));
    }

    public void shareEvacuations(List<Evacuation> evacuations) {
        write(EvacuationCodec.frame(evacuations));
    }

    public void shareSuspicion(Suspicion suspicion) {
        write(Frames.suspicions(suspicion));
    }

    public void requestResignation(long term) {
        write(Frames.resignation(term, false));
    }

    @Override
    public SentRequest send(ForwardedRequest request, ResponseListener listener) {
        if (!connected) {
            return streams.refuse(request, listener);
        }
        long nowNs = System.nanoTime();
        if (statusRequestedNs == 0 && nowNs - lastReceivedNs > REQUEST_STATUS_AFTER_NS) {
            statusRequestedNs = nowNs;
            write(STATUS_REQUEST);
        }
        PeerStreams.Stream stream = streams.begin(request, listener, channel);
        write(Frames.request(stream.id(), request, nowNs));
        return stream;
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

    /** Begins to use the connection if its first frame is the introduction of the companion, and closes it otherwise. */
    private void introduced(Frame frame) {
        PeerIdentity peer = PeerIdentity.of(frame.getHello());
        if (!peer.isComplete() || !peer.instance().equals(instance)) {
            EventLog.log(
                    LogEvent.PEER_NOT_EXPECTED,
                    "peer",
                    instance,
                    "address",
                    address,
                    "found",
                    peer.instance(),
                    "frame",
                    String.valueOf(frame.getKindCase()));
            closeChannel();
            return;
        }
        connected = true;
        connectionNumber++;
        write(self.introductionTo(peer.process()));
    }

    private void received(Channel via, Frame frame) {
        switch (frame.getKindCase()) {
            case STATUS -> status(frame.getStatus());
            case RESPONSE_START -> {
                updateLoad(frame.getResponseStart().getLoad());
                PeerStreams.Stream stream = streams.get(frame.getResponseStart().getStream(), via);
                if (stream != null) {
                    stream.listener().started(Frames.responseStart(frame.getResponseStart()));
                }
            }
            case RESPONSE_DATA -> data(via, frame.getResponseData());
            case CREDIT -> {
                PeerStreams.Stream stream = streams.get(frame.getCredit().getStream(), via);
                if (stream != null) {
                    stream.creditBody(frame.getCredit().getBytes());
                }
            }
            case REFUSAL -> {
                PeerStreams.Stream stream = streams.remove(frame.getRefusal().getStream(), via);
                updateLoad(frame.getRefusal().getLoad());
                if (stream != null) {
                    stream.listener().refused(Frames.refusal(frame.getRefusal()));
                }
            }
            case FAILURE -> {
                PeerStreams.Stream stream = streams.remove(frame.getFailure().getStream(), via);
                updateLoad(frame.getFailure().getLoad());
                if (stream != null) {
                    stream.listener()
                            .failed(new SendFailure(
                                    "the backend server beside " + instance + " gave no response",
                                    frame.getFailure().getTimedOut()));
                }
            }
            case SHARED_CONFIG -> {
                CompanionProto.SharedConfig config = frame.getSharedConfig();
                Frames.configUpdate(config)
                        .ifPresent(update -> events.configReceived(update, config.getRelayToList(), instance));
            }
            case BACKEND_LEAVES ->
                events.leavesCopied(
                        frame.getBackendLeaves().getInstance(), LeavesCodec.decode(frame.getBackendLeaves()));
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
        updateLoad(frame.getLoad());
        boolean isFirst = status == null;
        status = StatusCodec.decode(frame, view.load());
        if (isFirst) {
            connector.resetInterval();
            EventLog.log(LogEvent.PEER_CONNECTED, "peer", instance, "address", address);
            events.connectionChanged(instance, true);
        }
        events.statusReceived(this, status);
    }

    private void updateLoad(CompanionProto.Load reported) {
        view.reported(Frames.load(reported), streams.size(), System.nanoTime());
        sentSinceReport = 0;
    }

    private void data(Channel via, CompanionProto.ResponseData frame) {
        PeerStreams.Stream stream = streams.get(frame.getStream(), via);
        if (stream == null) {
            return;
        }
        if (stream.received(frame.getData().size()) > MAX_UNTAKEN_BYTES) {
            EventLog.log(
                    LogEvent.PEER_MALFORMED, "peer", instance, "cause", "more response data than the window allows");
            stream.cancel();
            fail(List.of(stream), "sent more than its window");
            return;
        }
        if (frame.getLast()) {
            streams.remove(frame.getStream(), via);
        }
        stream.listener().data(frame.getData().toByteArray(), frame.getLast());
    }

    /** Handles the loss of the current connection. Fails the streams for which it ends the request. */
    private void connectionLost(Predicate<PeerStreams.Stream> isEnded) {
        boolean wasReady = status != null;
        channel = null;
        connected = false;
        status = null;
        sentSinceReport = 0;
        List<PeerStreams.Stream> ended = streams.remove(isEnded);
        if (wasReady) {
            EventLog.log(LogEvent.PEER_CONNECT_FAILED, "peer", instance, "cause", "lost", "streams", ended.size());
            events.connectionChanged(instance, false);
        }
        fail(ended, LOST);
        if (!closed) {
            connector.startLater(address);
        }
    }

    private void fail(List<PeerStreams.Stream> ended, String cause) {
        PeerStreams.fail(ended, instance + " " + cause);
    }

    private final class Initializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel newChannel) {
            FrameMeter meter = new FrameMeter(traffic);
            meter.setPeer(instance);
            PeerPipeline.add(newChannel.pipeline(), PeerPipeline.MAX_RESPONSE_FRAME_BYTES, meter, new FrameReader());
        }
    }

    private final class FrameReader extends SimpleChannelInboundHandler<Frame> {
        @Override
        public void channelActive(ChannelHandlerContext context) {
            if (channel != null || closed) {
                context.close();
                return;
            }
            channel = context.channel();
            lastReceivedNs = System.nanoTime();
            statusRequestedNs = 0;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            Channel via = context.channel();
            boolean isCurrent = via == channel;
            if (isCurrent) {
                lastReceivedNs = System.nanoTime();
                statusRequestedNs = 0;
            }
            if (isCurrent && !connected) {
                introduced(frame);
            } else if (isCurrent || RESPONSE_KINDS.contains(frame.getKindCase())) {
                received(via, frame);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            Channel lost = context.channel();
            if (lost == channel) {
                connectionLost(stream -> stream.via() == lost);
            } else {
                fail(streams.remove(stream -> stream.via() == lost), LOST);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            EventLog.log(LogEvent.PEER_CONNECT_FAILED, "peer", instance, "cause", String.valueOf(cause.getMessage()));
            context.close();
        }
    }
}
