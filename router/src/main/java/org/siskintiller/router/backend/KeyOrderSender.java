package org.siskintiller.router.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.siskintiller.core.lease.KeyOrder;
import org.siskintiller.core.lease.KeyOrders;
import org.siskintiller.core.model.Address;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.router.ResponseLimit;
import org.siskintiller.router.Sockets;

/**
 * Sends the orders that are due to the backend server of this machine.
 *
 * <p>A connection reaches one run of the backend server. After the backend server has closed one, a new one is established
 * only after a later heartbeat, so that no order for an ended run reaches the next one.
 */
public final class KeyOrderSender {
    /** The backend server is on the same machine, where a connection takes about 1 ms. */
    private static final int CONNECT_TIMEOUT_MS = 400;
    /** A grant is confirmed within a few ms. */
    private static final long GRANT_TIMEOUT_MS = 400;
    /** A release is confirmed when the running work has ended. */
    private static final long RELEASE_TIMEOUT_MS = 1_000;

    private static final int MAX_RESPONSE_BYTES = 64 * 1024;
    private static final int MAX_CONNECTIONS = 4;
    private static final int OK = 200;
    private static final int FIRST_CLIENT_ERROR = 400;
    private static final int FIRST_SERVER_ERROR = 500;

    private final Address address;
    private final EventLoop loop;
    private final KeyOrders orders;
    private final KeyOrderCodec codec;
    private final Runnable changeListener;
    private final Counter sentOrders;
    private final Deque<KeyOrder> queue = new ArrayDeque<>();
    private final Deque<Connection> idle = new ArrayDeque<>();
    private int connections;
    private boolean heartbeatSinceClose = true;

    /** Creates a sender that runs the listener after each outcome of an order. */
    public KeyOrderSender(
            Address address,
            EventLoop loop,
            KeyOrders orders,
            KeyOrderCodec codec,
            Runnable changeListener,
            MetricRegistry metrics) {
        this.address = address;
        this.loop = loop;
        this.orders = orders;
        this.codec = codec;
        this.changeListener = changeListener;
        this.sentOrders = metrics.counter("backend.orders");
    }

    /** Records that the backend server has sent a heartbeat. */
    public void heartbeatReceived() {
        heartbeatSinceClose = true;
    }

    /** Sends the orders that are due. */
    public void sendDue() {
        queue.addAll(orders.due(System.nanoTime()));
        while (!queue.isEmpty()) {
            Connection connection = idle.pollFirst();
            if (connection != null) {
                connection.send(queue.pollFirst());
            } else if (connections < MAX_CONNECTIONS && heartbeatSinceClose) {
                connect(queue.pollFirst());
            } else if (connections == 0) {
                orders.notSent(queue.pollFirst(), System.nanoTime());
            } else {
                return;
            }
        }
    }

    private void connect(KeyOrder order) {
        connections++;
        Connection connection = new Connection();
        ChannelFuture connecting =
                Sockets.connect(loop, address, CONNECT_TIMEOUT_MS, new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        ResponseLimit.addHandlers(channel, MAX_RESPONSE_BYTES);
                        channel.pipeline().addLast(connection);
                    }
                });
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                connection.channel = connecting.channel();
                connection.send(order);
                return;
            }
            connections--;
            EventLog.log(LogEvent.KEY_ORDER_FAILED, "order", order, "cause", done.cause());
            orders.notSent(order, System.nanoTime());
        });
    }

    /** Connection that carries one order at a time. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Channel channel;
        private KeyOrder order;
        private Future<?> timeout;
        private boolean ended;

        private void send(KeyOrder next) {
            long nowNs = System.nanoTime();
            long holdMs = 0;
            boolean isWanted;
            if (next instanceof KeyOrder.Grant grant) {
                holdMs = orders.beginGrant(grant, nowNs);
                isWanted = holdMs > 0;
            } else {
                isWanted = orders.beginRelease((KeyOrder.Release) next);
            }
            if (!isWanted) {
                orders.notSent(next, nowNs);
                idle.addFirst(this);
                return;
            }
            order = next;
            sentOrders.inc();
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.POST,
                    codec.path(next),
                    Unpooled.wrappedBuffer(codec.encode(next, holdMs)));
            request.headers().set(HttpHeaderNames.HOST, address.toString());
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            HttpUtil.setContentLength(request, request.content().readableBytes());
            long timeoutMs = next instanceof KeyOrder.Grant ? GRANT_TIMEOUT_MS : RELEASE_TIMEOUT_MS;
            timeout = loop.schedule(() -> fail("no response"), timeoutMs, TimeUnit.MILLISECONDS);
            ResponseLimit.requestSent(channel);
            channel.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (order == null || response.decoderResult().isFailure()) {
                fail("a response that belongs to no order");
                return;
            }
            if (ResponseLimit.isInterim(channel, response.status().code())) {
                return;
            }
            ResponseLimit.responseReceived(channel);
            // Responses carry no id. A second copy may follow, which must not end a release or refuse a grant, so only
            // a
            // confirmed grant leaves its connection to the next order.
            boolean isReusable =
                    order instanceof KeyOrder.Grant && response.status().code() == OK && HttpUtil.isKeepAlive(response);
            KeyOrder answered = takeOrder();
            complete(answered, response);
            if (isReusable && channel.isActive()) {
                idle.addFirst(this);
            } else {
                end();
            }
            changeListener.run();
        }

        private void complete(KeyOrder answered, FullHttpResponse response) {
            int status = response.status().code();
            long nowNs = System.nanoTime();
            if (answered instanceof KeyOrder.Release) {
                String handover = response.headers().get(codec.handoverHeader());
                // A response without a token may be a second copy of the response to a grant.
                if (status == OK && handover != null) {
                    orders.confirmed(answered, handover, nowNs);
                    return;
                }
            } else if (status == OK) {
                orders.confirmed(answered, "", nowNs);
                return;
            }
            EventLog.log(LogEvent.KEY_ORDER_FAILED, "order", answered, "status", status);
            if (status >= FIRST_CLIENT_ERROR && status < FIRST_SERVER_ERROR) {
                orders.refused(answered, nowNs);
            } else {
                orders.unanswered(answered, nowNs);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (!ended) {
                heartbeatSinceClose = false;
                fail("the backend server closed the connection");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            fail(String.valueOf(cause));
        }

        private KeyOrder takeOrder() {
            KeyOrder taken = order;
            order = null;
            if (timeout != null) {
                timeout.cancel(false);
            }
            return taken;
        }

        private void fail(String cause) {
            KeyOrder failed = takeOrder();
            end();
            if (failed != null) {
                EventLog.log(LogEvent.KEY_ORDER_FAILED, "order", failed, "cause", cause);
                orders.unanswered(failed, System.nanoTime());
                changeListener.run();
            }
        }

        private void end() {
            if (!ended) {
                ended = true;
                connections--;
                idle.remove(this);
                channel.close();
            }
        }
    }
}
