import java.io.IOException;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/** Free ports below those that the system chooses for connections. */
final class Ports {
    private static final int FIRST = 12_000;
    private static final int END = 31_000;
    private static final Random RANDOM = new Random();
    private static final Set<Integer> CHOSEN = new HashSet<>();

    private Ports() {}

    /** Returns a port that is free on all addresses of this machine. */
    static synchronized int free() {
        while (true) {
            int port = FIRST + RANDOM.nextInt(END - FIRST);
            try (ServerSocket socket = new ServerSocket(port)) {
                if (CHOSEN.add(socket.getLocalPort())) {
                    return port;
                }
            } catch (IOException e) {
                // Another process uses the port.
                continue;
            }
        }
    }
}
