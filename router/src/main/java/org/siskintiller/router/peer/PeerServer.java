package org.siskintiller.router.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.util.concurrent.ScheduledFuture;
import org.siskintiller.core.balance.BackendLoad;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.path.LinkForecast;
import org.siskintiller.core.path.PeerProcesses;
import org.siskintiller.core.path.RequestKind;
import org.siskintiller.core.path.RequestMemory;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.router.LingeringClose;
import org.siskintiller.router.LoopLag;
import org.siskintiller.router.Sockets;
import org.siskintiller.router.backend.BackendGate;
import org.siskintiller.router.request.ForwardedRequest;
import org.siskintiller.router.request.Refusal;
import org.siskintiller.router.request.RefusalReason;
import org.siskintiller.router.request.ResponseHead;
import org.siskintiller.router.request.ResponseListener;
import org.siskintiller.router.request.SendFailure;
import org.siskintiller.router.request.SentRequest;
import org.siskintiller.wire.companion.CompanionProto;
import org.siskintiller.wire.companion.CompanionProto.Frame;

/** Accepts the connections of other companions and forwards their requests to the gate of this machine. */
public final class PeerServer {
    /** Retry-After of requests for whose bodies there is no memory: most requests end within this time. */
    private static final long MEMORY_RETRY_AFTER_MS = 250;

    /** Frames that concern a request which was received before. */
    private static final Set<Frame.KindCase> RUNNING_KINDS = EnumSet.of(Frame.KindCase.CANCEL, Frame.KindCase.CREDIT);

    private final PeerIdentity self;
    private final EventLoop loop;
    private final LoopLag lag;
    private final BackendGate gate;
    private final PeerEvents events;
    private final LinkPacer pacer;
    private final PeerTraffic traffic;
    /** Paces the credit for the bodies of requests, so that all companions together do not fill the link of this machine. */
    private final LinkPacer incoming;

    private final RequestMemory memory;
    private final Set<Connection> connections = new HashSet<>();
    private final IntroductionCheck introductions;
    private long acceptedConnections;
    private Channel server;

    public PeerServer(
            PeerIdentity self,
            LoopLag lag,
            BackendGate gate,
            PeerEvents events,
            LinkPacer pacer,
            PeerTraffic traffic,
            RequestMemory memory) {
        this.self = self;
        this.introductions = new IntroductionCheck(self);
        this.loop = pacer.loop();
        this.lag = lag;
        this.gate = gate;
        this.events = events;
        this.pacer = pacer;
        this.traffic = traffic;
        this.incoming = new LinkPacer(loop, pacer.linkBytesPerSecond());
        this.memory = memory;
    }

    public void bind(Address address) throws IOException {
        server = Sockets.bind(loop, address, new ChannelInitializer<SocketChannel>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                FrameMeter meter = new FrameMeter(traffic);
                PeerPipeline.add(
                        channel.pipeline(), PeerPipeline.MAX_REQUEST_FRAME_BYTES, meter, new Connection(meter));
            }
        });
    }

    /** Returns the bound port. */
    int port() {
        return ((InetSocketAddress) server.localAddress()).getPort();
    }

    /** Sends the status of this companion to all connected ones. */
    public void publishStatus() {
        Frame frame = StatusCodec.frame(events.status());
        for (Connection connection : connections) {
            connection.channel.writeAndFlush(frame);
        }
    }

    /** Number of parts of responses that wait for the link. */
    public int waitingWrites() {
        return pacer.waiting();
    }

    /** Accepts no more connections, and begins to close those that may still be delivering. No request may be running. */
    public void closeConnections() {
        close();
        List.copyOf(connections).forEach(Connection::closeAfterResponses);
    }

    /** Whether a companion may not have received all responses yet. */
    public boolean isDelivering() {
        return connections.stream().anyMatch(connection -> connection.isLingering && connection.mayBeDelivering());
    }

    /** Bytes of frames that have not been handed to the network yet. */
    public long unwrittenBytes() {
        return connections.stream()
                .map(connection -> connection.channel.unsafe().outboundBuffer())
                .filter(Objects::nonNull)
                .mapToLong(ChannelOutboundBuffer::totalPendingWriteBytes)
                .sum();
    }

    public void close() {
        server.close();
    }

    /** Retires the connections of earlier processes of an instance, on which their last messages may still arrive. */
    private void retireEarlierProcesses(PeerIdentity successor) {
        for (Connection connection : List.copyOf(connections)) {
            if (connection.instance().equals(successor.instance()) && !connection.peer.equals(successor)) {
                connection.retire();
            }
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<Frame> {
        private final Map<Integer, Stream> streams = new HashMap<>();
        private final FrameMeter meter;
        private Channel channel;
        /** Number of the connection in the order in which they were accepted. */
        private long number;
        /** Process at the other end; null until it has introduced itself. */
        private PeerIdentity peer;
        /** Whether a later process of the instance is known. Only the requests that run go on. */
        private boolean isRetired;

        private boolean hasResponded;
        /** Latest deadline of the requests whose responses the connection has carried. */
        private long lastDeadlineNs;

        private boolean isLingering;

        private Connection(FrameMeter meter) {
            this.meter = meter;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
            number = ++acceptedConnections;
            connections.add(this);
            channel.write(self.introduction());
            channel.writeAndFlush(StatusCodec.frame(events.status()));
        }

        private String instance() {
            return peer == null ? "" : peer.instance();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections.remove(this);
            Set<Stream> open = new HashSet<>(streams.values());
            streams.clear();
            open.forEach(Stream::cancel);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            EventLog.log(LogEvent.PEER_MALFORMED, "peer", instance(), "cause", String.valueOf(cause.getMessage()));
            context.close();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            if (!channel.isOpen() || isLingering) {
                return;
            }
            if (peer == null) {
                introduced(frame);
            } else if (!isRetired || RUNNING_KINDS.contains(frame.getKindCase())) {
                received(frame);
            } else if (frame.getKindCase() == Frame.KindCase.REQUEST) {
                Refusal refusal = new Refusal(RefusalReason.UNREACHABLE, 0, false);
                channel.writeAndFlush(Frames.refusal(frame.getRequest().getStream(), refusal, gate.load()));
            }
        }

        private void received(Frame frame) {
            switch (frame.getKindCase()) {
                // One that follows the introduction asks for the status.
                case HELLO -> channel.writeAndFlush(StatusCodec.frame(events.status()));
                case REQUEST -> request(frame.getRequest());
                case REQUEST_DATA -> requestData(frame.getRequestData());
                case CANCEL -> cancel(frame.getCancel().getStream());
                case CREDIT -> {
                    Stream stream = streams.get(frame.getCredit().getStream());
                    if (stream != null && stream.sentRequest != null) {
                        stream.sentRequest.credit(frame.getCredit().getBytes());
                    }
                }
                case RENEWAL -> {
                    CompanionProto.Renewal renewal = frame.getRenewal();
                    events.renewalReceived(
                                    Frames.renewal(renewal, instance()), renewal.getTerm(), renewal.getSequence())
                            .ifPresent(reply -> channel.writeAndFlush(Frames.leaseReply(reply)));
                }
                case SHARED_CONFIG -> {
                    CompanionProto.SharedConfig config = frame.getSharedConfig();
                    Frames.configUpdate(config)
                            .ifPresent(update -> events.configReceived(update, config.getRelayToList(), instance()));
                }
                case CONFIG_REQUEST ->
                    events.configRequested(frame.getConfigRequest().getVersion())
                            .ifPresent(update -> channel.writeAndFlush(Frames.sharedConfig(update, List.of())));
                case SHARED_RECORDS ->
                    events.recordsReceived(
                            Frames.records(frame.getSharedRecords().getRecordsList()),
                            frame.getSharedRecords().getComplete());
                case BACKEND_LEAVES -> {
                    CompanionProto.BackendLeaves leaves = frame.getBackendLeaves();
                    events.leavesReceived(leaves.getInstance(), LeavesCodec.decode(leaves));
                    // The same frame confirms the copy.
                    channel.writeAndFlush(frame);
                }
                case EVACUATIONS ->
                    events.evacuationsReceived(
                            EvacuationCodec.decode(frame.getEvacuations().getEvacuationsList()), instance());
                case SUSPICIONS -> events.suspicionsReceived(Frames.suspicions(frame.getSuspicions()));
                case RESIGNATION -> {
                    long term = frame.getResignation().getTerm();
                    if (events.resignationRequested(term)) {
                        channel.writeAndFlush(Frames.resignation(term, true));
                    }
                }
                default ->
                    EventLog.log(
                            LogEvent.PEER_MALFORMED, "peer", instance(), "frame", String.valueOf(frame.getKindCase()));
            }
        }

        private void introduced(Frame frame) {
            PeerProcesses.Standing standing = introductions.check(frame, number);
            if (standing == PeerProcesses.Standing.ENDED) {
                channel.close();
                return;
            }
            peer = PeerIdentity.of(frame.getHello());
            meter.setPeer(peer.instance());
            if (standing == PeerProcesses.Standing.SUCCESSOR) {
                retireEarlierProcesses(peer);
            }
        }

        private void writeResponse(Frame frame, long deadlineNs) {
            lastDeadlineNs = hasResponded && lastDeadlineNs - deadlineNs > 0 ? lastDeadlineNs : deadlineNs;
            hasResponded = true;
            channel.writeAndFlush(frame);
        }

        /**
         * Closes the connection when the other companion has read to its end. How much of the responses has arrived is not known:
         * the sockets and the link may hold some for seconds after they were written.
         */
        private void closeAfterResponses() {
            refuseIncomplete(RefusalReason.LEAVING);
            if (mayBeDelivering()) {
                linger();
            }
        }

        /** Whether a caller still waits for a response that the connection has carried. */
        private boolean mayBeDelivering() {
            return hasResponded && lastDeadlineNs - System.nanoTime() > 0;
        }

        private void linger() {
            if (!isLingering) {
                isLingering = true;
                LingeringClose.begin(channel, channel::close);
            }
        }

        /** Refuses the requests whose bodies are being received. */
        private void refuseIncomplete(RefusalReason reason) {
            List<Stream> incomplete = streams.values().stream()
                    .filter(stream -> stream.body != null)
                    .toList();
            incomplete.forEach(stream -> stream.refused(new Refusal(reason, 0, false)));
        }

        /** Closes the connection unless requests of it run, whose responses it still carries. */
        private void retire() {
            isRetired = true;
            refuseIncomplete(RefusalReason.UNREACHABLE);
            if (streams.isEmpty()) {
                linger();
            }
        }

        private void request(CompanionProto.Request request) {
            ForwardedRequest forwarded = Frames.request(request, lag.earliestArrivalNs());
            Stream stream = new Stream(this, request.getStream(), forwarded);
            int following = request.getBodyLength();
            if (following < 0 || following > PeerPipeline.MAX_REQUEST_FRAME_BYTES) {
                throw new CorruptedFrameException("request with a body of " + following + " bytes");
            }
            streams.put(stream.id, stream);
            if (!stream.reserveMemory(Math.max(following, forwarded.body().length))) {
                return;
            }
            if (following > 0) {
                stream.awaitBody(forwarded, following);
            } else {
                lag.runAfterPendingReads(() -> send(forwarded, stream));
            }
        }

        /** Ignores parts of a body that were under way when its request ended. */
        private void requestData(CompanionProto.RequestData part) {
            Stream stream = streams.get(part.getStream());
            if (stream == null || stream.body == null) {
                return;
            }
            if (!stream.body.receive(part.getData())) {
                throw new CorruptedFrameException("more of a request body than allowed");
            }
            if (stream.body.isComplete()) {
                ForwardedRequest request = stream.takeBody().request();
                lag.runAfterPendingReads(() -> send(request, stream));
            } else if (gate.refusesAll(stream.body.service(), System.nanoTime())) {
                stream.refused(new Refusal(RefusalReason.LEAVING, 0, false));
            }
        }

        private void send(ForwardedRequest request, Stream stream) {
            if (streams.containsKey(stream.id) && stream.reserveLink(request)) {
                stream.sentRequest = gate.send(request, stream);
            }
        }

        private void cancel(int id) {
            Stream stream = streams.remove(id);
            if (stream == null) {
                return;
            }
            PeerLog.cancelled(stream.requestId, instance(), stream.transitMs, meter.transitMs());
            stream.cancel();
        }
    }

    /** Sends the response to a request, or its failure, back to the companion that sent the request. */
    private final class Stream implements ResponseListener {
        private final Connection connection;
        private final int id;
        private final String requestId;
        private final long deadlineNs;
        /** Time that the request has waited on its way from the other companion. */
        private final long transitMs;
        /** Whether the body waits for the link. Small responses would wait for seconds behind those of downloads. */
        private final boolean isPaced;

        private SentRequest sentRequest;
        /** Body that is being received; null when the whole request has arrived. */
        private IncomingBody body;

        private ScheduledFuture<?> bodyTimer;
        /** Memory reserved for the body. */
        private int reservedBytes;
        /** Reservation of the link for a paced body. */
        private LinkForecast.Response expected;
        /** Parts of the response that wait for the link. What follows them waits too, to keep the order. */
        private int waitingWrites;

        private Stream(Connection connection, int id, ForwardedRequest request) {
            this.connection = connection;
            this.id = id;
            this.requestId = request.requestId();
            this.deadlineNs = request.deadlineNs();
            this.transitMs = connection.meter.transitMs();
            this.isPaced = request.kind() == RequestKind.DOWNLOAD;
        }

        @Override
        public void started(ResponseHead head) {
            write(Frames.responseStart(id, head, load()));
        }

        @Override
        public void data(byte[] data, boolean last) {
            if (isPaced) {
                expected.received(data.length);
                if (last) {
                    expected.completed();
                }
                writePaced(Frames.data(id, data, last), data.length, last);
                return;
            }
            pacer.countSent(data.length);
            write(Frames.data(id, data, last));
            if (last) {
                remove();
            }
        }

        @Override
        public void refused(Refusal refusal) {
            writeLast(Frames.refusal(id, refusal, load()));
        }

        @Override
        public void failed(SendFailure failure) {
            writeLast(Frames.failure(id, failure, load()));
        }

        /** Refuses a download whose response would pass the link too late. */
        private boolean reserveLink(ForwardedRequest request) {
            if (!isPaced) {
                return true;
            }
            long nowNs = System.nanoTime();
            long arrivalNs = pacer.arrivalNs(nowNs);
            LinkForecast forecast = pacer.forecast();
            if (!forecast.accepts(arrivalNs, nowNs, request.objectiveNs(), request.deadlineNs())) {
                long retryAfterMs = forecast.retryAfterMs(arrivalNs, nowNs, request.objectiveNs());
                PeerLog.refusedForLink(requestId, arrivalNs, request.objectiveNs() - nowNs, retryAfterMs);
                refused(new Refusal(RefusalReason.OVERLOADED, retryAfterMs, false));
                return false;
            }
            expected = forecast.begin();
            return true;
        }

        /** Refuses a request before the bytes of its body are read, unless there is memory for them. */
        private boolean reserveMemory(int bytes) {
            if (memory.tryReserve(bytes, bytes)) {
                reservedBytes = bytes;
                return true;
            }
            PeerLog.refusedForMemory(requestId, bytes, memory.heldBytes());
            refused(new Refusal(RefusalReason.OVERLOADED, MEMORY_RETRY_AFTER_MS, false));
            return false;
        }

        /** Lets the body follow. A body that is not complete at the deadline is dropped; its request has not run. */
        private void awaitBody(ForwardedRequest head, int length) {
            long nowNs = System.nanoTime();
            if (gate.refusesAll(head.service(), nowNs)) {
                refused(new Refusal(RefusalReason.NO_BACKEND, 0, false));
                return;
            }
            body = new IncomingBody(
                    head, length, pacer.linkBytesPerSecond(), incoming, bytes -> write(Frames.credit(id, bytes)));
            bodyTimer = loop.schedule(
                    () -> refused(new Refusal(RefusalReason.EXPIRED, 0, false)),
                    Math.max(0, body.deadlineNs() - nowNs),
                    TimeUnit.NANOSECONDS);
            body.begin();
        }

        /** Ends the reception of the body and returns it. */
        private IncomingBody takeBody() {
            IncomingBody taken = body;
            body = null;
            taken.drop();
            bodyTimer.cancel(false);
            return taken;
        }

        /** Ends the stream and releases what it holds. */
        private void remove() {
            connection.streams.remove(id);
            release();
        }

        private void release() {
            if (body != null) {
                takeBody();
            }
            memory.release(reservedBytes);
            reservedBytes = 0;
        }

        private void cancel() {
            release();
            releaseLink();
            if (sentRequest != null) {
                sentRequest.cancel();
            }
        }

        private BackendLoad load() {
            return gate.load();
        }

        private void writePaced(Frame frame, int bytes, boolean last) {
            waitingWrites++;
            pacer.write(bytes, this::isOpen, () -> {
                waitingWrites--;
                write(frame);
                if (last) {
                    remove();
                }
            });
        }

        private void releaseLink() {
            if (expected != null) {
                expected.end();
            }
        }

        private void writeLast(Frame frame) {
            releaseLink();
            if (waitingWrites > 0) {
                writePaced(frame, 0, true);
                return;
            }
            write(frame);
            remove();
        }

        private boolean isOpen() {
            return connection.streams.containsKey(id);
        }

        private void write(Frame frame) {
            if (isOpen()) {
                connection.writeResponse(frame, deadlineNs);
            }
        }
    }
}
