import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Proxy between the clients and a companion: a link whose connections share a bandwidth, with small windows. */
final class Link {
    private static final int PART_BYTES = 4 * 1024;
    static final int WINDOW_BYTES = 32 * 1024;

    private final ServerSocket server;
    private final double bytesPerNs;
    private long freeNs;

    Link(String host, String targetHost, int targetPort, double mbps) throws IOException {
        this.bytesPerNs = mbps / 8_000;
        this.server = new ServerSocket(0, 200, InetAddress.getByName(host));
        Threads.start("link", () -> {
            while (true) {
                Socket client = server.accept();
                Threads.start("link-connection", () -> connect(client, targetHost, targetPort));
            }
        });
    }

    int port() {
        return server.getLocalPort();
    }

    private void connect(Socket client, String host, int port) throws Exception {
        Socket target = new Socket();
        target.setReceiveBufferSize(WINDOW_BYTES);
        try {
            target.connect(new InetSocketAddress(InetAddress.getByName(host), port), 1_000);
        } catch (IOException e) {
            client.close();
            return;
        }
        client.setTcpNoDelay(true);
        target.setTcpNoDelay(true);
        Threads.start("link-up", () -> copy(client, target, false));
        copy(target, client, true);
    }

    /** Copies until the end of the input. Passes on a clean end as one, and a reset as one. */
    private void copy(Socket from, Socket to, boolean shaped) throws Exception {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[PART_BYTES];
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                if (shaped) {
                    Thread.sleep(Math.max(0, transmit(count)));
                }
                out.write(buffer, 0, count);
                out.flush();
            }
            to.shutdownOutput();
        } catch (IOException e) {
            reset(from);
            reset(to);
        }
    }

    private static void reset(Socket socket) throws IOException {
        if (!socket.isClosed()) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** Reserves the link for a part and returns the time in ms after which it has passed. */
    private synchronized long transmit(int bytes) {
        long nowNs = System.nanoTime();
        freeNs = Math.max(nowNs, freeNs) + Math.round(bytes / bytesPerNs);
        return (freeNs - nowNs) / 1_000_000;
    }
}
