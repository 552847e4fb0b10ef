package org.siskintiller.router;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Link of a machine that all connections through it share: carries what the machine sends at a limited rate, and has buffers that
 * are small in comparison with the responses.
 */
public final class SlowLink implements AutoCloseable {
    private static final int BUFFER_BYTES = 4 * 1024;
    private static final int CHUNK_BYTES = 1024;

    private final ServerSocket server;
    private final int targetPort;
    private final long nsPerByte;
    private final List<Socket> sockets = new ArrayList<>();
    private long freeAtNs = System.nanoTime();
    private volatile boolean closed;

    /**
     * Creates a link.
     *
     * @param targetPort port of the machine on the loopback address
     * @param bytesPerSecond rate in the direction from the machine
     */
    public SlowLink(int targetPort, int bytesPerSecond) throws IOException {
        this.targetPort = targetPort;
        this.nsPerByte = TimeUnit.SECONDS.toNanos(1) / bytesPerSecond;
        this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        start(this::accept);
    }

    public int port() {
        return server.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        closed = true;
        server.close();
        synchronized (this) {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    private void accept() throws IOException {
        while (!closed) {
            Socket near = server.accept();
            Socket far = new Socket();
            far.setReceiveBufferSize(BUFFER_BYTES);
            far.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort));
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            synchronized (this) {
                sockets.add(near);
                sockets.add(far);
            }
            start(() -> carry(near, far, false));
            start(() -> carry(far, near, true));
        }
    }

    /** Carries bytes to the end of the input and passes the end on. A reset is passed on as well. */
    private void carry(Socket from, Socket to, boolean isLimited) throws IOException {
        byte[] chunk = new byte[CHUNK_BYTES];
        InputStream input = from.getInputStream();
        OutputStream output = to.getOutputStream();
        try {
            while (true) {
                int length = input.read(chunk);
                if (length < 0) {
                    to.shutdownOutput();
                    return;
                }
                if (isLimited) {
                    awaitTurn(length);
                }
                output.write(chunk, 0, length);
            }
        } catch (IOException e) {
            from.close();
            to.close();
        }
    }

    private void awaitTurn(int bytes) {
        long turnNs;
        synchronized (this) {
            freeAtNs = Math.max(freeAtNs, System.nanoTime()) + bytes * nsPerByte;
            turnNs = freeAtNs;
        }
        while (System.nanoTime() < turnNs) {
            LockSupport.parkNanos(turnNs - System.nanoTime());
        }
    }

    private static void start(Transfer transfer) {
        Thread thread = new Thread(
                () -> {
                    try {
                        transfer.run();
                    } catch (IOException e) {
                        // The connection or the link was closed.
                        return;
                    }
                },
                "slow-link");
        thread.setDaemon(true);
        thread.start();
    }

    private interface Transfer {
        void run() throws IOException;
    }
}
