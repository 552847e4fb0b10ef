import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/** Measures how many bytes a loopback connection takes whose receiver does not read. */
final class SocketBuffers {
    private SocketBuffers() {}

    static int capacityBytes(String host, int receiveWindowBytes) throws Exception {
        try (ServerSocketChannel server = ServerSocketChannel.open();
                SocketChannel receiver = SocketChannel.open()) {
            server.bind(new InetSocketAddress(InetAddress.getByName(host), 0));
            receiver.socket().setReceiveBufferSize(receiveWindowBytes);
            receiver.connect(server.getLocalAddress());
            try (SocketChannel sender = server.accept()) {
                sender.configureBlocking(false);
                int written = 0;
                for (int pauses = 0; pauses < 5; pauses++) {
                    ByteBuffer part = ByteBuffer.allocate(64 * 1024);
                    for (int count = sender.write(part); count > 0; count = sender.write(part)) {
                        written += count;
                        part.clear();
                    }
                    Thread.sleep(50);
                }
                return written;
            }
        }
    }
}
