package org.siskintiller.router.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.Consumer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import org.siskintiller.core.model.Address;
import org.siskintiller.router.ResponseDecoder;
import org.siskintiller.router.Sockets;
import org.siskintiller.router.request.HeaderNames;

/** Pool of connections to the backend server. Reuses the last used one first, so that surplus connections time out. */
public final class BackendPool {
    /** The backend server is on the same machine, where a connection takes about 1 ms. */
    private static final int CONNECT_TIMEOUT_MS = 400;

    private final Address address;
    private final EventLoop loop;
    private final HeaderNames names;
    private final Counter connects;
    private final Deque<BackendConnection> idle = new ArrayDeque<>();

    public BackendPool(Address address, EventLoop loop, HeaderNames names, MetricRegistry metrics) {
        this.address = address;
        this.loop = loop;
        this.names = names;
        this.connects = metrics.counter("backend.connects");
    }

    /**
     * Passes a connection that has not carried the request to the receiver, or null when none can be established and
     * nothing was sent.
     */
    void acquire(String requestId, Consumer<BackendConnection> receiver) {
        BackendConnection connection = takeIdle(requestId);
        if (connection != null) {
            receiver.accept(connection);
        } else {
            connect(receiver);
        }
    }

    /** Takes out the last used connection that has not carried the request, or returns null. */
    private BackendConnection takeIdle(String requestId) {
        long nowNs = System.nanoTime();
        Iterator<BackendConnection> lastUsedFirst = idle.iterator();
        while (lastUsedFirst.hasNext()) {
            BackendConnection connection = lastUsedFirst.next();
            if (!connection.isReusable(nowNs)) {
                lastUsedFirst.remove();
                connection.close();
            } else if (!connection.hasCarried(requestId)) {
                lastUsedFirst.remove();
                return connection;
            }
        }
        return null;
    }

    void release(BackendConnection connection) {
        if (connection.isReusable(System.nanoTime())) {
            idle.addFirst(connection);
        } else {
            connection.close();
        }
    }

    void connectionClosed(BackendConnection connection) {
        idle.remove(connection);
    }

    void closeIdle() {
        idle.forEach(BackendConnection::close);
        idle.clear();
    }

    private void connect(Consumer<BackendConnection> receiver) {
        connects.inc();
        BackendConnection connection = new BackendConnection(names, this);
        Sockets.connect(loop, address, CONNECT_TIMEOUT_MS, new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        connection.attach(channel);
                        channel.pipeline()
                                .addLast(new ResponseDecoder(connection), new HttpRequestEncoder(), connection);
                    }
                })
                .addListener(connected -> receiver.accept(connected.isSuccess() ? connection : null));
    }
}
